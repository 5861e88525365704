package sim

import (
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// ModelServer stands in for a server that holds copies of models. It keeps no clock: each
// call names the time. It also notes what a checker wants to know.
type ModelServer struct {
	CopyLease time.Duration
	// Load draws how long a load takes and whether it fails.
	Load func() (time.Duration, bool)

	nextTicket uint64
	models     map[string]*servedModel

	Starts int // copies started so far
}

// servedModel is what a server knows of a model.
type servedModel struct {
	fencingEpoch   uint64 // the highest epoch heard
	ticket         uint64
	ticketIssuedAt time.Duration
	copy           *modelCopy
	answered       map[string][]byte // by the clients' keys; nil for one that is under way; ends with the copy
}

// modelCopy is a copy of a model.
type modelCopy struct {
	number          int           // of all that the server has started
	readyAt, failAt time.Duration // failAt is 0 for a load that succeeds
	leaseEnd        time.Duration // when it ends without word of a driver
	closed          bool
	activeRequests  int
	lastRequestAt   time.Duration
}

// NewModelServer makes a server without copies.
func NewModelServer(copyLease time.Duration, load func() (time.Duration, bool)) *ModelServer {
	return &ModelServer{CopyLease: copyLease, Load: load, models: map[string]*servedModel{}}
}

// RandomLoad draws loads of about a time, a share of which fail.
func RandomLoad(r *rand.Rand, about time.Duration, failing float64) func() (time.Duration, bool) {
	return func() (time.Duration, bool) {
		return time.Duration(float64(about) * (0.8 + 0.4*r.Float64())), r.Float64() < failing
	}
}

// Crash ends all copies; the server forgets everything.
func (s *ModelServer) Crash() { s.models = map[string]*servedModel{} }

// HasCopy tells whether a copy of a model is loading or loaded.
func (s *ModelServer) HasCopy(model string, now time.Duration) bool {
	return s.model(model, now).copy != nil
}

// CopyNumber numbers the copy that is there among all that the server has started; 0 for
// none.
func (s *ModelServer) CopyNumber(model string, now time.Duration) int {
	if c := s.model(model, now).copy; c != nil {
		return c.number
	}
	return 0
}

// model finds what is known of a model; a copy whose time is over has ended.
func (s *ModelServer) model(name string, now time.Duration) *servedModel {
	model := s.models[name]
	if model == nil {
		model = &servedModel{}
		s.models[name] = model
	}
	if model.copy != nil && now > model.copy.leaseEnd {
		model.endCopy()
	}
	return model
}

func (m *servedModel) endCopy() { m.copy, m.answered = nil, nil }

// Command carries out a driver's command.
func (s *ModelServer) Command(c wake.Command, now time.Duration) wake.ReplicaStatus {
	model := s.model(c.Model, now)
	if c.Epoch < model.fencingEpoch {
		return wake.ReplicaStatus{State: wake.ReplicaFenced}
	}
	model.fencingEpoch = c.Epoch
	if model.copy != nil {
		model.copy.leaseEnd = now + s.CopyLease
	}
	switch c.Verb {
	case wake.VerbStart:
		s.start(model, c.StartToken, now)
	case wake.VerbClose:
		if model.copy != nil {
			model.copy.closed = true
		}
	case wake.VerbStop:
		if model.copy != nil && model.copy.closed && model.copy.activeRequests == 0 {
			model.endCopy()
		}
	}
	return s.report(model, now)
}

// start begins to load a copy, if the ticket allows it and there is none.
func (s *ModelServer) start(model *servedModel, ticket uint64, now time.Duration) {
	valid := ticket != 0 && ticket == model.ticket && now-model.ticketIssuedAt <= s.CopyLease
	if !valid || model.copy != nil {
		return
	}
	model.ticket = 0
	takes, fails := s.Load()
	s.Starts++
	model.copy = &modelCopy{number: s.Starts, readyAt: now + takes, leaseEnd: now + s.CopyLease, lastRequestAt: now + takes}
	if fails {
		model.copy.failAt = now + takes
	}
	model.answered = map[string][]byte{}
}

// report tells the state of a model's copy, and gives a ticket where there is none.
func (s *ModelServer) report(model *servedModel, now time.Duration) wake.ReplicaStatus {
	c := model.copy
	switch {
	case c == nil:
		s.nextTicket++
		model.ticket, model.ticketIssuedAt = s.nextTicket, now
		return wake.ReplicaStatus{State: wake.ReplicaAbsent, StartToken: model.ticket}
	case c.failAt != 0 && now >= c.failAt:
		model.endCopy()
		return wake.ReplicaStatus{State: wake.ReplicaFailed}
	case c.closed:
		return wake.ReplicaStatus{State: wake.ReplicaClosed, InFlight: c.activeRequests}
	case now < c.readyAt:
		return wake.ReplicaStatus{State: wake.ReplicaLoading}
	}
	return wake.ReplicaStatus{State: wake.ReplicaReady, InFlight: c.activeRequests, IdleSeconds: (now - c.lastRequestAt).Seconds()}
}

// AskResult is what a server makes of a request.
type AskResult int

// What becomes of a request: no copy takes it; it begins; it is under way already, or has
// been answered, under the same key.
const (
	AskRejected AskResult = iota
	AskStarted
	AskInProgress
	AskAnswered
)

// Ask takes a request, or tells what a copy has made of it before.
func (s *ModelServer) Ask(model, key string, now time.Duration) (AskResult, []byte) {
	m := s.model(model, now)
	c := m.copy
	if c == nil || now < c.readyAt || c.failAt != 0 {
		return AskRejected, nil
	}
	if answer, known := m.answered[key]; known {
		if answer == nil {
			return AskInProgress, nil
		}
		return AskAnswered, answer
	}
	if c.closed {
		return AskRejected, nil
	}
	c.activeRequests++
	c.lastRequestAt = now
	m.answered[key] = nil
	return AskStarted, nil
}

// Finish ends a request that a copy has begun, with its answer; false if the copy has ended.
func (s *ModelServer) Finish(model, key string, answer []byte, now time.Duration) bool {
	m := s.model(model, now)
	if m.copy == nil || m.copy.activeRequests == 0 {
		return false
	}
	m.copy.activeRequests--
	m.copy.lastRequestAt = now
	m.answered[key] = answer
	return true
}
