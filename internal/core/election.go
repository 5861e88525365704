package core

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/wire"
)

// ttl is the time to live of the leader's lease: a crash, the election and the
// workers' move to another controller must all fit within one worker lease.
func (c *Core) ttl() time.Duration { return c.lease() / 5 }

// electionStore is the state service as elections use it.
type electionStore struct{ c *Core }

// Get reads a key.
func (s electionStore) Get(key string, done election.Answer) {
	s.c.get(key, func(r Result) { done(r.Status, r.Body) })
}

// Commit carries out a transaction.
func (s electionStore) Commit(txn *wire.Txn, done election.Answer) {
	s.c.commit(txn, true, func(r Result) { done(r.Status, r.Body) })
}

// Grant asks for a lease.
func (s electionStore) Grant(ttl time.Duration, done election.Answer) {
	s.c.call(Call{Dest: DestStore, Method: "POST", Path: "/grants", Urgent: true, Timeout: s.c.storeTimeout(),
		Body: encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})}, func(r Result) { done(r.Status, r.Body) })
}

// Extend renews a lease.
func (s electionStore) Extend(lease uint64, timeout time.Duration, done election.Answer) {
	s.c.call(Call{Dest: DestStore, Method: "POST", Path: "/grants/" + strconv.FormatUint(lease, 10) + "/extend", Urgent: true,
		Body: []byte("{}"), Timeout: timeout}, func(r Result) { done(r.Status, r.Body) })
}

// electionHost is this controller as elections see it.
type electionHost struct{ c *Core }

// Now is the steady time.
func (h electionHost) Now() time.Duration { return h.c.now }

// Leading returns the mandate by which this controller leads.
func (h electionHost) Leading() (election.Mandate, bool) {
	if h.c.lead == nil {
		return election.Mandate{}, false
	}
	return h.c.lead.mandate, true
}

// Lead begins to lead.
func (h electionHost) Lead(m election.Mandate) {
	h.c.lead = newLeader(h.c, m)
	h.c.lead.recover()
	h.c.sendDigest()
	h.c.flushForwards()
}

// StepDown ends this controller's leadership.
func (h electionHost) StepDown(why election.Reason) { h.c.stepDown(why) }

// NoteStore is told whether the state service answers.
func (h electionHost) NoteStore(status int) { h.c.noteStore(Result{Status: status}) }

// HearsPeer tells whether any other controller is heard.
func (h electionHost) HearsPeer() bool { return h.c.hearsPeer() }

// LeaderLost tells whether others agree that the leader is out of reach.
func (h electionHost) LeaderLost() bool { return h.c.leaderLost() }

// LeaderKnown passes on the reports that wait for a leader.
func (h electionHost) LeaderKnown() { h.c.flushForwards() }

// stepDown ends this controller's leadership.
func (c *Core) stepDown(why election.Reason) {
	c.log.Info("step down", "term", c.lead.mandate.Term, "why", why)
	c.lead.deposed = true
	c.lead = nil
	c.elect.SteppedDown()
}
