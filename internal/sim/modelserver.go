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
	fence    uint64 // the highest epoch heard
	ticket   uint64
	ticketAt time.Duration
	copy     *modelCopy
	answered map[string][]byte // by the clients' keys; nil for one that is under way; ends with the copy
}

// modelCopy is a copy of a model.
type modelCopy struct {
	number          int           // of all that the server has started
	readyAt, failAt time.Duration // failAt is 0 for a load that succeeds
	lease           time.Duration // when it ends without word of a driver
	closed          bool
	busy            int
	lastAsked       time.Duration
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

// Live tells whether a copy of a model is loading or loaded.
func (s *ModelServer) Live(model string, now time.Duration) bool {
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
	m := s.models[name]
	if m == nil {
		m = &servedModel{}
		s.models[name] = m
	}
	if m.copy != nil && now > m.copy.lease {
		m.end()
	}
	return m
}

func (m *servedModel) end() { m.copy, m.answered = nil, nil }

// Command carries out a driver's command.
func (s *ModelServer) Command(c wake.Command, now time.Duration) wake.CopyReport {
	m := s.model(c.Model, now)
	if c.Epoch < m.fence {
		return wake.CopyReport{State: wake.CopyFenced}
	}
	m.fence = c.Epoch
	if m.copy != nil {
		m.copy.lease = now + s.CopyLease
	}
	switch c.Verb {
	case wake.VerbStart:
		s.start(m, c.Ticket, now)
	case wake.VerbClose:
		if m.copy != nil {
			m.copy.closed = true
		}
	case wake.VerbStop:
		if m.copy != nil && m.copy.closed && m.copy.busy == 0 {
			m.end()
		}
	}
	return s.report(m, now)
}

// start begins to load a copy, if the ticket allows it and there is none.
func (s *ModelServer) start(m *servedModel, ticket uint64, now time.Duration) {
	valid := ticket != 0 && ticket == m.ticket && now-m.ticketAt <= s.CopyLease
	if !valid || m.copy != nil {
		return
	}
	m.ticket = 0
	takes, fails := s.Load()
	s.Starts++
	m.copy = &modelCopy{number: s.Starts, readyAt: now + takes, lease: now + s.CopyLease, lastAsked: now + takes}
	if fails {
		m.copy.failAt = now + takes
	}
	m.answered = map[string][]byte{}
}

// report tells the state of a model's copy, and gives a ticket where there is none.
func (s *ModelServer) report(m *servedModel, now time.Duration) wake.CopyReport {
	c := m.copy
	switch {
	case c == nil:
		s.nextTicket++
		m.ticket, m.ticketAt = s.nextTicket, now
		return wake.CopyReport{State: wake.CopyNone, Ticket: m.ticket}
	case c.failAt != 0 && now >= c.failAt:
		m.end()
		return wake.CopyReport{State: wake.CopyFailed}
	case c.closed:
		return wake.CopyReport{State: wake.CopyClosed, Busy: c.busy}
	case now < c.readyAt:
		return wake.CopyReport{State: wake.CopyLoading}
	}
	return wake.CopyReport{State: wake.CopyReady, Busy: c.busy, IdleS: (now - c.lastAsked).Seconds()}
}

// AskResult is what a server makes of a request.
type AskResult int

// What becomes of a request: no copy takes it; it begins; it is under way already, or has
// been answered, under the same key.
const (
	AskNotTaken AskResult = iota
	AskBegun
	AskUnderWay
	AskAnswered
)

// Ask takes a request, or tells what a copy has made of it before.
func (s *ModelServer) Ask(model, key string, now time.Duration) (AskResult, []byte) {
	m := s.model(model, now)
	c := m.copy
	if c == nil || now < c.readyAt || c.failAt != 0 {
		return AskNotTaken, nil
	}
	if answer, known := m.answered[key]; known {
		if answer == nil {
			return AskUnderWay, nil
		}
		return AskAnswered, answer
	}
	if c.closed {
		return AskNotTaken, nil
	}
	c.busy++
	c.lastAsked = now
	m.answered[key] = nil
	return AskBegun, nil
}

// Finish ends a request that a copy has begun, with its answer; false if the copy has ended.
func (s *ModelServer) Finish(model, key string, answer []byte, now time.Duration) bool {
	m := s.model(model, now)
	if m.copy == nil || m.copy.busy == 0 {
		return false
	}
	m.copy.busy--
	m.copy.lastAsked = now
	m.answered[key] = answer
	return true
}
