package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// leaderLeasesPerWorkerLease is how often the duration of the leader's lease fits into that of
// a worker's.
const leaderLeasesPerWorkerLease = 5

// leaderLeaseDuration is the duration of the leader's lease: a crash, the election and the
// workers' change to another controller must all fit within one worker lease.
func (c *Core) leaderLeaseDuration() time.Duration {
	return c.workerLease() / leaderLeasesPerWorkerLease
}

// electionStore is the key-value store as elections use it.
type electionStore struct{ *kv.Client }

// Commit carries out a transaction ahead of other calls.
func (s electionStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) { s.CommitUrgent(txn, done) }

// electionHost is this controller as package election sees it.
type electionHost struct{ core *Core }

// Now is the steady time.
func (h electionHost) Now() time.Duration { return h.core.now }

// Leading returns this controller's leadership; false if it does not lead.
func (h electionHost) Leading() (election.Leadership, bool) {
	if h.core.leader == nil {
		return election.Leadership{}, false
	}
	return h.core.leader.leadership, true
}

// StartLeading begins to lead: it loads the records, and tells peers and waiting workers at once.
func (h electionHost) StartLeading(won election.Leadership) {
	h.core.leader = newLeader(h.core, won)
	h.core.leader.loader.Load()
	h.core.sendDigests()
	h.core.forwardPending()
}

// StepDown ends this controller's leadership.
func (h electionHost) StepDown(reason election.StepDownReason) { h.core.stepDown(reason) }

// ObserveStore receives the status of calls that show whether the store answers.
func (h electionHost) ObserveStore(status kv.Status) { h.core.store.Observe(status) }

// HasPeerContact reports whether any other controller is heard.
func (h electionHost) HasPeerContact() bool { return h.core.membership.HasPeerContact() }

// LeaderLost reports whether the leader is lost although it may hold its key.
func (h electionHost) LeaderLost() bool { return h.core.membership.LeaderLost() }

// LeaderObserved forwards the heartbeats that wait for a leader.
func (h electionHost) LeaderObserved() { h.core.forwardPending() }

// stepDown ends this controller's leadership. Results of calls that the leader has sent are
// ignored from then on.
func (c *Core) stepDown(reason election.StepDownReason) {
	c.log.Info("step down", "term", c.leader.leadership.Term, "reason", reason)
	c.leader.steppedDown = true
	c.leader = nil
	c.election.SteppedDown()
}
