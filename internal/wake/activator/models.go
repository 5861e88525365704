package activator

import (
	"errors"
	"net/url"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/segmentio/encoding/json"
)

// commandTimeout bounds the commands to model servers.
func (s *Server) commandTimeout() time.Duration { return s.leaseMultiple(1) }

// Command sends an owner's command to a model server.
func (s *Server) Command(server string, command wake.Command, done func(wake.ReplicaStatus)) {
	client := s.clientFor(server)
	go func() {
		response, err := client.Do(methodPost, "/copy", kv.Encode(command), s.commandTimeout())
		s.withLock(func() { done(replicaStatus(response, err)) })
	}()
}

// replicaStatus returns the status in a model server's response to a command. A response that cannot
// be decoded counts as no answer.
func replicaStatus(response *httpwire.Response, err error) wake.ReplicaStatus {
	if errors.Is(err, httpwire.ErrNotSent) {
		return wake.ReplicaStatus{State: wake.ReplicaNotSent}
	}
	var status wake.ReplicaStatus
	if err != nil || response.Status != httpstatus.OK || json.Unmarshal(response.Body, &status) != nil {
		return wake.ReplicaStatus{State: wake.ReplicaUnreachable}
	}
	return status
}

// Forward sends a request to a model server once fewer than maxForwards requests are being
// forwarded.
func (s *Server) Forward(server string, request *wake.Request, done func(wake.Outcome, []byte)) {
	client, timeout := s.clientFor(server), request.Deadline-s.Now()
	go func() {
		outcome, body := s.forward(client, request, timeout)
		s.withLock(func() { done(outcome, body) })
	}()
}

// forward sends a request to a model server and blocks until it has been answered or has timed
// out.
func (s *Server) forward(client *httpwire.Client, request *wake.Request, timeout time.Duration) (wake.Outcome, []byte) {
	deadline := time.Now().Add(timeout)
	if !s.forwardSlots.Acquire(timeout) {
		return wake.OutcomeRejected, nil
	}
	defer s.forwardSlots.Release()
	path := "/ask/" + url.PathEscape(request.Model) + "/" + url.PathEscape(request.IdempotencyKey)
	response, err := client.Do(methodPost, path, request.Body, time.Until(deadline))
	if err != nil {
		return wake.OutcomeUnknown, nil
	}
	switch response.Status {
	case httpstatus.OK:
		return wake.OutcomeServed, response.Body
	case httpstatus.Conflict: // the server has no replica that accepts the request
		return wake.OutcomeRejected, nil
	default:
		return wake.OutcomeUnknown, nil
	}
}

// clientFor returns the client of a model server. It is called with the state machine locked.
func (s *Server) clientFor(address string) *httpwire.Client {
	client := s.modelClients[address]
	if client == nil {
		client = &httpwire.Client{Addr: address, MaxIdle: maxIdleConnections}
		s.modelClients[address] = client
	}
	return client
}
