package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// leaderLeasesPerWorkerLease is the ratio of the duration of a worker's lease to that of the
// leader's lease.
const leaderLeasesPerWorkerLease = 5

// leaderLeaseDuration returns the duration of the leader's lease. It is a fraction of a worker's
// lease, because the detection of a leader's crash, the election and the workers' change to another
// controller must all complete within one worker lease.
func (c *Core) leaderLeaseDuration() time.Duration {
	return c.workerLease() / leaderLeasesPerWorkerLease
}

// electionStore adapts the key-value store's client for package election.
type electionStore struct{ *kv.Client }

// Commit commits a transaction with precedence over other calls.
func (s electionStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) { s.CommitUrgent(txn, done) }

// electionHost implements election.Host.
type electionHost struct{ core *Core }

// Now returns the monotonic time.
func (h electionHost) Now() time.Duration { return h.core.now }

// Leading returns this controller's leadership; false if it is not the leader.
func (h electionHost) Leading() (election.Leadership, bool) {
	if h.core.leader == nil {
		return election.Leadership{}, false
	}
	return h.core.leader.leadership, true
}

// StartLeading makes this controller the leader: it starts to load the records, notifies the peers,
// and answers the waiting heartbeats.
func (h electionHost) StartLeading(won election.Leadership) {
	h.core.leader = newLeader(h.core, won)
	h.core.leader.loader.Load()
	h.core.sendDigests()
	h.core.forwardPending()
}

// StepDown ends this controller's leadership.
func (h electionHost) StepDown(reason election.StepDownReason) { h.core.stepDown(reason) }

// ObserveStore records the status of a call that shows whether the store is available.
func (h electionHost) ObserveStore(status kv.Status) { h.core.store.Observe(status) }

// HasPeerContact reports whether this controller has contact with any other controller.
func (h electionHost) HasPeerContact() bool { return h.core.membership.HasPeerContact() }

// LeaderLost reports whether the leader is to be replaced although it may still hold its key.
func (h electionHost) LeaderLost() bool { return h.core.membership.LeaderLost() }

// LeaderObserved forwards the heartbeats that wait for a leader, one of which has become known.
func (h electionHost) LeaderObserved() { h.core.forwardPending() }

// stepDown ends this controller's leadership. Results of the leader's pending calls are ignored
// from then on.
func (c *Core) stepDown(reason election.StepDownReason) {
	c.log.Info("leader stepped down", "term", c.leader.leadership.Term, "reason", reason)
	c.leader.steppedDown = true
	c.leader = nil
	c.election.SteppedDown()
}
