package sim

import (
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// ModelServer stands in for a server that holds replicas of models, one of each model at the
// most. It keeps no clock: each call names the time, in the time of its caller. It also counts
// what a checker needs.
type ModelServer struct {
	ReplicaLease time.Duration
	// Load draws how long a load takes and whether it fails.
	Load func() (time.Duration, bool)
	// Starts is how many replicas were started so far.
	Starts int

	lastToken uint64
	models    map[string]*servedModel
}

// servedModel is what a server knows of a model.
type servedModel struct {
	fencingEpoch  uint64 // the highest epoch that the server has heard
	startToken    uint64 // allows a start; 0 for none
	tokenIssuedAt time.Duration
	replica       *modelReplica
	// answers of the replica by the clients' keys; nil for a request in progress. They are
	// lost with the replica.
	answers map[string][]byte
}

// modelReplica is a replica that is loading or loaded.
type modelReplica struct {
	number         int           // of all that the server has started
	readyAt        time.Duration // end of the load
	failAt         time.Duration // 0 for a load that succeeds
	leaseEnd       time.Duration // when the replica ends unless a driver renews its lease
	closed         bool          // it takes no new requests
	activeRequests int
	lastRequestAt  time.Duration
}

// NewModelServer makes a server without replicas.
func NewModelServer(replicaLease time.Duration, load func() (time.Duration, bool)) *ModelServer {
	return &ModelServer{ReplicaLease: replicaLease, Load: load, models: map[string]*servedModel{}}
}

// Loads vary between these parts of their mean time.
const (
	minLoadFactor   = 0.8
	loadFactorRange = 0.4
)

// RandomLoad draws loads of a mean time, a share of which fail.
func RandomLoad(rng *rand.Rand, mean time.Duration, failingShare float64) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		return time.Duration(float64(mean) * (minLoadFactor + loadFactorRange*rng.Float64())), rng.Float64() < failingShare
	}
}

// Crash ends all replicas; the server forgets everything.
func (s *ModelServer) Crash() { s.models = map[string]*servedModel{} }

// HasReplica reports whether a replica of a model is loading or loaded.
func (s *ModelServer) HasReplica(model string, now time.Duration) bool {
	return s.model(model, now).replica != nil
}

// ReplicaNumber returns the number of a model's replica among all that the server has started;
// 0 if there is none.
func (s *ModelServer) ReplicaNumber(model string, now time.Duration) int {
	if r := s.model(model, now).replica; r != nil {
		return r.number
	}
	return 0
}

// model finds what is known of a model, after ending a replica whose lease has expired.
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

// Command carries out a driver's command and renews the replica's lease.
func (s *ModelServer) Command(c wake.Command, now time.Duration) wake.ReplicaStatus {
	model := s.model(c.Model, now)
	if c.Epoch < model.fencingEpoch {
		return wake.ReplicaStatus{State: wake.ReplicaFenced}
	}
	model.fencingEpoch = c.Epoch
	if model.replica != nil {
		model.replica.leaseEnd = now + s.ReplicaLease
	}
	switch c.Verb {
	case wake.VerbProbe: // has no other effect
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

// start begins to load a replica, if the start token is valid and there is no replica.
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

// status is the state of a model's replica, with a new start token where there is none. It
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

// AskResult is what a server does with a request.
type AskResult int

// What a server does with a request: no replica takes it; it is started; it is in progress, or
// has been answered, under the same key.
const (
	AskRejected AskResult = iota
	AskStarted
	AskInProgress
	AskAnswered
)

// Ask handles a request. The answer is set for AskAnswered only.
func (s *ModelServer) Ask(model, key string, now time.Duration) (AskResult, []byte) {
	served := s.model(model, now)
	r := served.replica
	if r == nil || now < r.readyAt || r.failAt != 0 {
		return AskRejected, nil
	}
	if answer, known := served.answers[key]; known {
		if answer == nil {
			return AskInProgress, nil
		}
		return AskAnswered, answer
	}
	if r.closed {
		return AskRejected, nil
	}
	r.activeRequests++
	r.lastRequestAt = now
	served.answers[key] = nil
	return AskStarted, nil
}

// Finish ends a request that a replica has started, with its answer; false if the replica has
// ended.
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
