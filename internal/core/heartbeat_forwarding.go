package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Workers send their heartbeats to any controller. Only the leader answers them from its state,
// see leader.handleHeartbeat; this file forwards those that arrive at a follower, redirects
// workers, and extends their leases while the leader is not heard. Package membership decides
// which of these applies.

// forwardedHeartbeat is a heartbeat that waits on a follower for the leader's answer.
type forwardedHeartbeat struct {
	requestID uint64
	worker    *membership.Worker
	body      []byte
	deadline  time.Duration // for the leader's answer
	sentTo    string        // the leader that has it; empty for none
}

// forwardTimeout is how long a heartbeat waits for the leader's answer. The worker waits 4 s;
// this controller's answer reaches it well before.
const forwardTimeout = 2500 * time.Millisecond

// onHeartbeat handles a worker's heartbeat. A follower forwards it to the leader, or holds it
// for forwardTimeout while none is known.
func (c *Core) onHeartbeat(requestID uint64, body []byte) {
	worker, redirectTo := c.recordWorker(body)
	if redirectTo != "" {
		c.redirect(requestID, redirectTo)
		return
	}
	if c.leader != nil {
		c.membership.RecordAnswer(worker)
		c.answerHeartbeat(requestID, body)
		return
	}
	if !c.membership.HasLeaderContact() && c.answerWithoutLeader(requestID, worker, body) {
		return
	}
	c.nextForwardID++
	c.forwardedHeartbeats[c.nextForwardID] = &forwardedHeartbeat{
		requestID: requestID,
		worker:    worker,
		body:      body,
		deadline:  c.now + forwardTimeout,
	}
	c.forwardToLeader(c.nextForwardID)
}

// recordWorker records the sender of a heartbeat. It returns the worker, and the controller
// that it is to be redirected to; empty if it stays here. A heartbeat that cannot be decoded
// is recorded for no machine.
func (c *Core) recordWorker(body []byte) (worker *membership.Worker, redirectTo string) {
	var heartbeat struct {
		Machine string     `json:"host"`
		Zone    string     `json:"berth"`
		Tasks   []struct{} `json:"shards"`
	}
	if json.Unmarshal(body, &heartbeat) != nil || heartbeat.Machine == "" {
		return &membership.Worker{}, ""
	}
	return c.membership.RecordHeartbeat(membership.Heartbeat{
		Machine: heartbeat.Machine,
		Zone:    heartbeat.Zone,
		Idle:    len(heartbeat.Tasks) == 0,
	})
}

// redirect tells a worker to send its heartbeats to another controller.
func (c *Core) redirect(requestID uint64, controller string) {
	c.answer(requestID, httpstatus.MisdirectedRequest, wire.Redirect{Controller: controller}, 0)
}

// answerHeartbeat answers a heartbeat as the leader.
func (c *Core) answerHeartbeat(requestID uint64, body []byte) {
	status, answer := c.leader.handleHeartbeat(body, c.settings.Name)
	c.out.Answers = append(c.out.Answers, Answer{ID: requestID, Status: status, Body: answer})
}

// answerWithoutLeader answers a heartbeat while the leader is not heard: with a redirection,
// an extension of the worker's lease, or an error if there is nobody to wait for. It returns
// false if the heartbeat is to wait for a leader.
func (c *Core) answerWithoutLeader(requestID uint64, worker *membership.Worker, body []byte) bool {
	if controller := c.membership.RedirectWithoutLeader(worker); controller != "" {
		c.redirect(requestID, controller)
		return true
	}
	if c.extendLease(requestID, body) {
		return true
	}
	if !c.store.Available() && !c.membership.HasPeerContact() {
		// No election can succeed from here; another controller may know more.
		c.answer(requestID, httpstatus.ServiceUnavailable, nil, 0)
		return true
	}
	return false
}

// extendLease answers a heartbeat on behalf of the leader, without commands. It returns false if
// this controller may not extend the worker's lease.
func (c *Core) extendLease(requestID uint64, body []byte) bool {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok || !c.membership.ExtendLease(heartbeat.Machine, heartbeat.FencingToken) {
		return false
	}
	commands := wire.CommandList{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}
	c.answer(requestID, httpstatus.OK, commands, 0)
	return true
}

// forwardPending forwards all heartbeats that wait, to a leader that is known now.
func (c *Core) forwardPending() {
	for _, id := range c.pendingForwardIDs() {
		c.forwardToLeader(id)
	}
}

// forwardToLeader forwards a heartbeat to the leader, unless that one has it already. If this
// controller leads by now, it answers itself.
func (c *Core) forwardToLeader(id uint64) {
	heartbeat := c.forwardedHeartbeats[id]
	leader := c.election.Leader()
	switch {
	case c.leader != nil:
		delete(c.forwardedHeartbeats, id)
		c.answerHeartbeat(heartbeat.requestID, heartbeat.body)
	case leader != "" && leader != c.settings.Name && leader != heartbeat.sentTo:
		heartbeat.sentTo = leader
		body := heartbeat.body
		if !c.membership.PeerSupports(leader, wire.PeerVersionPlacementRanges) {
			body = newestAttemptFirst(body)
		}
		c.send(leader, &wire.PeerMessage{Forward: &wire.Forward{ID: id, Body: body}})
	}
}

// newestAttemptFirst sorts the rows of a heartbeat that lists a task twice, the newest attempt
// at a task first. A leader of a version before wire.PeerVersionPlacementRanges takes the first row
// of a task for its present attempt: with an ended earlier attempt before it, a running task
// seemed to have vanished and ran twice. Such a leader sorts the rows by task, which leaves
// those that are in order as they are. No row is left out, and the protocol gives rows no
// order; a heartbeat that lists no task twice is forwarded as it came.
func newestAttemptFirst(body []byte) []byte {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok {
		return body
	}
	seen := make(map[string]bool, len(heartbeat.Tasks))
	for _, task := range heartbeat.Tasks {
		seen[task.Task] = true
	}
	if len(seen) == len(heartbeat.Tasks) {
		return body
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(b.Attempt, a.Attempt))
	})
	return kv.Encode(heartbeat)
}

// pendingForwardIDs lists the heartbeats that wait, in the order of their arrival.
func (c *Core) pendingForwardIDs() []uint64 {
	ids := make([]uint64, 0, len(c.forwardedHeartbeats))
	for id := range c.forwardedHeartbeats {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireForwards answers the heartbeats that have waited for forwardTimeout.
func (c *Core) expireForwards() {
	for _, id := range c.pendingForwardIDs() {
		heartbeat := c.forwardedHeartbeats[id]
		if c.now < heartbeat.deadline {
			continue
		}
		delete(c.forwardedHeartbeats, id)
		if c.extendLease(heartbeat.requestID, heartbeat.body) {
			continue
		}
		c.log.Debug("forwarded heartbeat timed out", "controller", heartbeat.sentTo)
		c.answer(heartbeat.requestID, httpstatus.ServiceUnavailable, nil, 0)
	}
}

// onForward answers, on the leader, a heartbeat that another controller forwards. A
// controller that does not lead refuses it.
func (c *Core) onForward(from string, forward *wire.Forward) {
	reply := &wire.Reply{ID: forward.ID, Status: httpstatus.ServiceUnavailable, Body: []byte("{}")}
	if c.leader != nil {
		reply.Status, reply.Body = c.leader.handleHeartbeat(forward.Body, from)
	}
	c.send(from, &wire.PeerMessage{Reply: reply})
}

// onForwardReply passes the leader's answer on to the worker whose heartbeat was forwarded.
func (c *Core) onForwardReply(from string, reply *wire.Reply) {
	heartbeat := c.forwardedHeartbeats[reply.ID]
	if heartbeat == nil || heartbeat.sentTo != from {
		return
	}
	delete(c.forwardedHeartbeats, reply.ID)
	if reply.Status == httpstatus.OK {
		c.membership.RecordAnswer(heartbeat.worker)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: heartbeat.requestID, Status: reply.Status, Body: reply.Body})
}

// decodeHeartbeat decodes a worker's heartbeat; not ok if it is malformed or names no machine.
func decodeHeartbeat(body []byte) (heartbeat *wire.Heartbeat, ok bool) {
	heartbeat = new(wire.Heartbeat)
	if json.Unmarshal(body, heartbeat) != nil || heartbeat.Machine == "" {
		return nil, false
	}
	return heartbeat, true
}
