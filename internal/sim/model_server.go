package sim

import (
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// ModelServer simulates a server that runs replicas of models, at most one of each model. It has
// no clock: the caller passes the time to each call. It also counts what a checker needs.
type ModelServer struct {
	ReplicaLease time.Duration
	// Load returns how long a load takes and whether it fails.
	Load func() (time.Duration, bool)
	// Starts is the number of replicas started so far.
	Starts int

	lastToken uint64
	models    map[string]*servedModel
}

// servedModel is a server's state of one model.
type servedModel struct {
	fencingEpoch  uint64 // the highest epoch that the server has received
	startToken    uint64 // the token that a start command must carry; 0 for none
	tokenIssuedAt time.Duration
	replica       *modelReplica
	// answers holds the replica's answers by the clients' idempotency keys; nil for a request
	// in progress. They are lost with the replica.
	answers map[string][]byte
}

// modelReplica is a replica that is loading or loaded.
type modelReplica struct {
	number         int           // among all replicas that the server has started, from 1
	readyAt        time.Duration // when the load ends
	failAt         time.Duration // when the load fails; 0 if it succeeds
	leaseEnd       time.Duration // when the replica ends unless a command renews its lease
	closed         bool          // the replica accepts no new requests
	activeRequests int
	lastRequestAt  time.Duration
}

// NewModelServer makes a server without replicas.
func NewModelServer(replicaLease time.Duration, load func() (time.Duration, bool)) *ModelServer {
	return &ModelServer{ReplicaLease: replicaLease, Load: load, models: map[string]*servedModel{}}
}

// A load takes the mean time times a random factor from 0.8 to 1.2.
const (
	minLoadFactor   = 0.8
	loadFactorRange = 0.4
)

// RandomLoad returns a function for ModelServer.Load that draws load times around a mean and lets
// a share of the loads fail.
func RandomLoad(rng *rand.Rand, mean time.Duration, failureShare float64) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		return time.Duration(float64(mean) * (minLoadFactor + loadFactorRange*rng.Float64())), rng.Float64() < failureShare
	}
}

// Crash ends all replicas and discards the server's state of all models.
func (s *ModelServer) Crash() { s.models = map[string]*servedModel{} }

// HasReplica reports whether a replica of a model is loading or loaded.
func (s *ModelServer) HasReplica(model string, now time.Duration) bool {
	return s.model(model, now).replica != nil
}

// ReplicaNumber returns the number of a model's replica among all replicas that the server has
// started; 0 if the model has none.
func (s *ModelServer) ReplicaNumber(model string, now time.Duration) int {
	if r := s.model(model, now).replica; r != nil {
		return r.number
	}
	return 0
}

// model returns the state of a model. It first ends the model's replica if its lease has expired.
func (s *ModelServer) model(name string, now time.Duration) *servedModel {
	model := s.models[name]
	if model == nil {
		model = &servedModel{}
		s.models[name] = model
	}
	if model.replica != nil && now > model.replica.leaseEnd {
		model.endReplica()
	}
	return model
}

func (m *servedModel) endReplica() { m.replica, m.answers = nil, nil }

// Command executes a command and renews the replica's lease. It rejects commands that have expired, and
// those of an epoch lower than the highest one received.
func (s *ModelServer) Command(c wake.Command, now time.Duration) wake.ReplicaStatus {
	status := wake.ReplicaStatus{State: wake.ReplicaLate}
	if c.ExpirySeconds == 0 || now <= seconds(c.ExpirySeconds) {
		status = s.execute(c, now)
	}
	status.ClockSeconds = now.Seconds()
	return status
}

// execute executes a command that has not expired.
func (s *ModelServer) execute(c wake.Command, now time.Duration) wake.ReplicaStatus {
	model := s.model(c.Model, now)
	if c.Epoch < model.fencingEpoch {
		return wake.ReplicaStatus{State: wake.ReplicaFenced}
	}
	model.fencingEpoch = c.Epoch
	if model.replica != nil {
		model.replica.leaseEnd = now + s.ReplicaLease
	}
	switch c.Verb {
	case wake.VerbProbe: // a probe only renews the lease
	case wake.VerbStart:
		s.start(model, c.StartToken, now)
	case wake.VerbClose:
		if model.replica != nil {
			model.replica.closed = true
		}
	case wake.VerbStop:
		if r := model.replica; r != nil && r.closed && r.activeRequests == 0 {
			model.endReplica()
		}
	}
	return s.status(model, now)
}

// start starts to load a replica if the start token is valid and the model has no replica.
func (s *ModelServer) start(model *servedModel, startToken uint64, now time.Duration) {
	isValid := startToken != 0 && startToken == model.startToken && now-model.tokenIssuedAt <= s.ReplicaLease
	if !isValid || model.replica != nil {
		return
	}
	model.startToken = 0
	loadTime, fails := s.Load()
	s.Starts++
	model.replica = &modelReplica{number: s.Starts, readyAt: now + loadTime, leaseEnd: now + s.ReplicaLease, lastRequestAt: now + loadTime}
	if fails {
		model.replica.failAt = now + loadTime
	}
	model.answers = map[string][]byte{}
}

// status returns the state of a model's replica. Without a replica it issues a new start token. It
// ends a replica whose load has failed.
func (s *ModelServer) status(model *servedModel, now time.Duration) wake.ReplicaStatus {
	r := model.replica
	switch {
	case r == nil:
		s.lastToken++
		model.startToken, model.tokenIssuedAt = s.lastToken, now
		return wake.ReplicaStatus{State: wake.ReplicaAbsent, StartToken: model.startToken}
	case r.failAt != 0 && now >= r.failAt:
		model.endReplica()
		return wake.ReplicaStatus{State: wake.ReplicaFailed}
	case r.closed:
		return wake.ReplicaStatus{State: wake.ReplicaClosed, InFlight: r.activeRequests}
	case now < r.readyAt:
		return wake.ReplicaStatus{State: wake.ReplicaLoading}
	}
	return wake.ReplicaStatus{State: wake.ReplicaReady, InFlight: r.activeRequests, IdleSeconds: (now - r.lastRequestAt).Seconds()}
}

// RequestResult is how a server handles a request.
type RequestResult int

// How a server handles a request: no replica accepts it; its processing starts; a request with
// the same key is in progress; a request with the same key has been answered.
const (
	RequestRejected RequestResult = iota
	RequestStarted
	RequestInProgress
	RequestAnswered
)

// HandleRequest handles a request with an idempotency key. The answer is set only for
// RequestAnswered.
func (s *ModelServer) HandleRequest(model, key string, now time.Duration) (RequestResult, []byte) {
	served := s.model(model, now)
	r := served.replica
	if r == nil || now < r.readyAt || r.failAt != 0 {
		return RequestRejected, nil
	}
	if answer, known := served.answers[key]; known {
		if answer == nil {
			return RequestInProgress, nil
		}
		return RequestAnswered, answer
	}
	if r.closed {
		return RequestRejected, nil
	}
	r.activeRequests++
	r.lastRequestAt = now
	served.answers[key] = nil
	return RequestStarted, nil
}

// Finish records the answer of a request that a replica has processed. It returns false if the
// replica has ended.
func (s *ModelServer) Finish(model, key string, answer []byte, now time.Duration) bool {
	served := s.model(model, now)
	r := served.replica
	if r == nil || r.activeRequests == 0 {
		return false
	}
	r.activeRequests--
	r.lastRequestAt = now
	served.answers[key] = answer
	return true
}
