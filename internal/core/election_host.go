package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// leaderLeaseDuration is the time to live of the leader's lease: a crash, the election and the
// workers' move to another controller must all fit within one worker lease.
func (c *Core) leaderLeaseDuration() time.Duration { return c.workerLease() / 5 }

// electionStore is the key-value store as elections use it.
type electionStore struct{ *kv.Client }

// Commit carries out a transaction ahead of other calls.
func (s electionStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) { s.CommitUrgent(txn, done) }

// electionHost is this controller as elections see it.
type electionHost struct{ c *Core }

// Now is the steady time.
func (h electionHost) Now() time.Duration { return h.c.now }

// Leading returns the mandate by which this controller leads.
func (h electionHost) Leading() (election.Leadership, bool) {
	if h.c.leader == nil {
		return election.Leadership{}, false
	}
	return h.c.leader.leadership, true
}

// Lead begins to lead.
func (h electionHost) Lead(m election.Leadership) {
	h.c.leader = newLeader(h.c, m)
	h.c.leader.loader.Load()
	h.c.sendDigests()
	h.c.forwardPending()
}

// StepDown ends this controller's leadership.
func (h electionHost) StepDown(why election.StepDownReason) { h.c.stepDown(why) }

// ObserveStore is told whether the store answers.
func (h electionHost) ObserveStore(status kv.Status) { h.c.store.Observe(status) }

// HearsPeer tells whether any other controller is heard.
func (h electionHost) HearsPeer() bool { return h.c.membership.HearsPeer() }

// LeaderLost tells whether others agree that the leader is out of reach.
func (h electionHost) LeaderLost() bool { return h.c.membership.LeaderLost() }

// LeaderKnown passes on the reports that wait for a leader.
func (h electionHost) LeaderKnown() { h.c.forwardPending() }

// stepDown ends this controller's leadership.
func (c *Core) stepDown(why election.StepDownReason) {
	c.log.Info("step down", "term", c.leader.leadership.Term, "why", why)
	c.leader.steppedDown = true
	c.leader = nil
	c.election.SteppedDown()
}
