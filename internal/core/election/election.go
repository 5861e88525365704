// Package election decides which controller of a region is the leader. It is a state machine: package
// core calls it with ticks and with the leaders that peers report. It reads and writes the key-value
// store through Store, and starts and ends leadership through Host. It has no clock, socket or
// goroutine.
//
// The leader key is attached to a lease and names the leader; it only determines when to hold an
// election. Safety depends on the term key: every election increases it, and every write of a leader is
// conditional on its version. An election increases the term by tokensPerTerm, so that the leader owns a
// range of fencing tokens, see package reconcile. Leaders of earlier versions of the program increase the
// term by one and own one token.
package election

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// StepDownReason is why a controller steps down.
type StepDownReason string

// Reasons to step down that this package detects.
const (
	ReasonHigherTerm   StepDownReason = "a higher term exists"
	ReasonLeaseExpired StepDownReason = "the lease of the leader key expired"
)

// Leadership identifies the leadership that was won by one election. The leader owns the fencing tokens
// from FirstToken to Term.
type Leadership struct {
	FirstToken  uint64 // above the tokens of all earlier terms
	Term        uint64 // value of the term key
	TermVersion uint64 // version of the term key; every write of the leader is conditional on it
	Lease       uint64 // ID of the lease of the leader key
}

// Store is the key-value store. Its calls are asynchronous: done is called with the result later.
type Store interface {
	// Get reads a key.
	Get(key string, done func(kv.GetResult))
	// Commit executes a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
	// Grant requests a new lease.
	Grant(duration time.Duration, done func(kv.GrantResult))
	// Renew renews a lease; the status is NotFound if it has expired.
	Renew(lease uint64, timeout time.Duration, done func(kv.Status))
}

// Host is the controller that takes part in elections.
type Host interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// Leading returns this controller's leadership; false if it is not the leader.
	Leading() (Leadership, bool)
	// StartLeading makes this controller the leader.
	StartLeading(Leadership)
	// StepDown ends this controller's leadership, and calls Election.SteppedDown.
	StepDown(StepDownReason)
	// ObserveStore records the status of a call that shows whether the store is available.
	ObserveStore(kv.Status)
	// HasPeerContact reports whether this controller has contact with any other controller.
	HasPeerContact() bool
	// LeaderLost reports whether the leader is to be replaced although it may still hold its key.
	LeaderLost() bool
	// LeaderObserved is called whenever another controller is observed to be the leader.
	LeaderObserved()
}

// The interval between polls and the timeout of a renewal, as fractions of the leader's lease.
// Several renewals fit into one lease.
const (
	pollsPerLease    = 4
	timeoutsPerLease = 2
)

// Election is one controller's state of leader election.
type Election struct {
	name          string        // of this controller
	leaseDuration time.Duration // duration of the leader key's lease
	store         Store
	host          Host
	log           *slog.Logger

	callPending bool          // a poll, a renewal or an election waits for the store
	nextPollAt  time.Duration // time of the next poll or renewal

	term              uint64        // highest term known
	leader            string        // leader of that term; empty if unknown
	leaderLastContact time.Duration // last contact with the leader
	keyReadAt         time.Duration // when the leader key last named another controller
	keyReadOnce       bool          // the leader key was read since this controller started
}

// New creates the state of a controller that has just started. leaseDuration is the duration of the
// lease to which the leader key is attached.
func New(name string, leaseDuration time.Duration, store Store, host Host, log *slog.Logger) *Election {
	return &Election{name: name, leaseDuration: leaseDuration, store: store, host: host, log: log}
}

// Term returns the highest term known.
func (e *Election) Term() uint64 { return e.term }

// Leader returns the name of the leader; empty if none is known.
func (e *Election) Leader() string { return e.leader }

// LeaderLastContact returns the time of the last contact with the leader.
func (e *Election) LeaderLastContact() time.Duration { return e.leaderLastContact }

// RecordLeaderContact records contact with the leader now.
func (e *Election) RecordLeaderContact() { e.leaderLastContact = e.host.Now() }

// LeaderKeyReadAt returns when the leader key was last found to name another controller; 0 for never.
func (e *Election) LeaderKeyReadAt() time.Duration { return e.keyReadAt }

// Tick renews the lease of the leader key on the leader, and reads the leader key on other
// controllers.
func (e *Election) Tick() {
	now := e.host.Now()
	if e.callPending || now < e.nextPollAt {
		return
	}
	e.callPending = true
	e.nextPollAt = now + e.leaseDuration/pollsPerLease
	if leadership, leads := e.host.Leading(); leads {
		e.renew(leadership)
		return
	}
	e.poll()
}

// poll reads the leader key, on a controller that is not the leader.
func (e *Election) poll() {
	e.store.Get(KeyLeader, func(r kv.GetResult) {
		e.host.ObserveStore(r.Status)
		e.callPending = false
		if e.isLeader() {
			return
		}
		switch r.Status {
		case kv.OK:
			e.onLeaderKey(r.Item)
		case kv.NotFound:
			e.keyReadOnce = true
			e.campaign(0)
		default: // the next poll tries again
		}
	})
}

// isLeader reports whether this controller is the leader.
func (e *Election) isLeader() bool {
	_, leads := e.host.Leading()
	return leads
}

// onLeaderKey handles the leader key that was read, on a controller that is not the leader. It starts
// an election if the key belongs to no active leader, or if the leader is lost.
func (e *Election) onLeaderKey(item wire.Item) {
	key, err := decodeLeader(item)
	if err != nil {
		e.log.Error("cannot decode leader key", "value", string(item.Value), "error", err)
		return
	}
	firstRead := !e.keyReadOnce
	e.keyReadOnce = true
	if key.Value.Name == e.name {
		// The key was written by an earlier process of this controller, or in an election whose
		// response was lost. No other controller leads under it.
		if firstRead || key.Value.Term >= e.term {
			e.campaign(key.Version)
		}
		return
	}
	e.ObserveLeader(key.Value.Term, key.Value.Name)
	e.keyReadAt = e.host.Now()
	if e.host.LeaderLost() {
		// The leader still holds its key but has no contact with this controller or its peers,
		// so the workers' heartbeats do not reach it and their leases expire. Replacing its key
		// in a new term makes its writes and commands fail.
		e.log.Info("leader unreachable; starting an election to replace it", "controller", key.Value.Name, "term", key.Value.Term)
		e.campaign(key.Version)
	}
}

// ObserveLeader records that a controller is the leader of a term. If this controller is the leader
// of a lower term, it steps down.
func (e *Election) ObserveLeader(term uint64, name string) {
	if term < e.term {
		return
	}
	if own, leads := e.host.Leading(); leads && term > own.Term {
		e.host.StepDown(ReasonHigherTerm)
	}
	if e.isLeader() {
		return
	}
	if term > e.term || e.leader != name {
		e.term, e.leader = term, name
		e.RecordLeaderContact()
		e.log.Info("new leader", "controller", name, "term", term)
	}
	e.host.LeaderObserved()
}

// SteppedDown records that this controller is no longer the leader.
func (e *Election) SteppedDown() {
	e.RecordLeaderContact()
	e.leader = ""
	e.callPending = false
	e.nextPollAt = e.host.Now()
}
