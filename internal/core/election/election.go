// Package election decides which controller of a region leads. It is a state machine: package core,
// which calls it, passes it ticks and the leaders that peers name; it reads and writes the
// key-value store through Store, and begins and ends leadership through Host. It has no clock,
// socket or goroutine.
//
// The leader key is attached to a lease and shows who leads; it only decides when to hold an
// election. Safety rests on the term key: every election raises it, every write of a leader is
// conditional on its version, and the term is the fencing token of commands.
package election

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// StepDownReason is why a controller steps down.
type StepDownReason string

// Reasons to step down that the election itself finds.
const (
	ReasonHigherTerm   StepDownReason = "a higher term exists"
	ReasonLeaseExpired StepDownReason = "the lease expired"
)

// Leadership identifies the leadership that was won by one election.
type Leadership struct {
	Term        uint64
	TermVersion uint64 // of the term key; every write of the leader is conditional on it
	Lease       uint64 // of the leader key
}

// Store is the key-value store. Its results come later.
type Store interface {
	// Get reads a key.
	Get(key string, done func(kv.GetResult))
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
	// Grant asks for a lease.
	Grant(duration time.Duration, done func(kv.GrantResult))
	// Renew renews a lease; the status is NotFound if it has expired.
	Renew(lease uint64, timeout time.Duration, done func(kv.Status))
}

// Host is the controller that takes part in elections.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// Leading returns this controller's leadership; false if it does not lead.
	Leading() (Leadership, bool)
	// Lead begins to lead.
	Lead(Leadership)
	// StepDown ends this controller's leadership, and calls Election.SteppedDown.
	StepDown(StepDownReason)
	// ObserveStore records the status of a call that shows whether the store answers.
	ObserveStore(kv.Status)
	// HearsPeer reports whether any other controller is heard.
	HearsPeer() bool
	// LeaderLost reports whether the leader is lost although it may hold its key.
	LeaderLost() bool
	// LeaderKnown is called when it is known which other controller leads.
	LeaderKnown()
}

// The interval of polls and the timeout of a renewal, as parts of the leader's lease: several
// renewals fit into one lease.
const (
	pollsPerLease    = 4
	timeoutsPerLease = 2
)

// Election is what a controller knows of who leads.
type Election struct {
	name          string        // of this controller
	leaseDuration time.Duration // of the leader key's lease
	store         Store
	host          Host
	log           *slog.Logger

	callPending bool // a poll, a renewal or an election waits for the store
	nextPollAt  time.Duration

	term          uint64 // highest term known
	leader        string // who holds it; empty if that is not known
	leaderHeardAt time.Duration
	keyReadAt     time.Duration // when the key of another leader was last read
	keyReadOnce   bool          // the leader key was read since this controller started
}

// New makes the state of a controller that has just started. leaseDuration is that of the
// lease to which the leader key is attached.
func New(name string, leaseDuration time.Duration, store Store, host Host, log *slog.Logger) *Election {
	return &Election{name: name, leaseDuration: leaseDuration, store: store, host: host, log: log}
}

// Term is the highest term known.
func (e *Election) Term() uint64 { return e.term }

// Leader is the name of the leader; empty if none is known.
func (e *Election) Leader() string { return e.leader }

// LeaderHeard is when the leader was last heard.
func (e *Election) LeaderHeard() time.Duration { return e.leaderHeardAt }

// RecordLeaderHeard records that the leader was heard now.
func (e *Election) RecordLeaderHeard() { e.leaderHeardAt = e.host.Now() }

// LeaderKeyRead is when the key of another leader was last read; 0 for never.
func (e *Election) LeaderKeyRead() time.Duration { return e.keyReadAt }

// Tick renews this controller's leadership, or reads who leads.
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

// poll reads the leader key, on a controller that does not lead.
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
		default: // the next poll reads it again
		}
	})
}

// isLeader reports whether this controller leads.
func (e *Election) isLeader() bool {
	_, leads := e.host.Leading()
	return leads
}

// onLeaderKey handles the leader key, on a controller that does not lead. It campaigns where
// nobody leads under the key, or where the leader is lost.
func (e *Election) onLeaderKey(item wire.Item) {
	key, err := decodeLeader(item)
	if err != nil {
		e.log.Error("cannot decode leader key", "value", string(item.Value), "error", err)
		return
	}
	firstRead := !e.keyReadOnce
	e.keyReadOnce = true
	if key.Value.Name == e.name {
		// This controller's own key, of an earlier process or of an election whose answer
		// was lost: nobody else acts under it.
		if firstRead || key.Value.Term >= e.term {
			e.campaign(key.Version)
		}
		return
	}
	e.ObserveLeader(key.Value.Term, key.Value.Name)
	e.keyReadAt = e.host.Now()
	if e.host.LeaderLost() {
		// The leader still holds its key, but neither this controller nor another one hears
		// it, so the workers' heartbeats do not reach it and their leases expire. Its key
		// is replaced; its writes and commands fail by the term.
		e.log.Info("replacing lost leader", "controller", key.Value.Name, "term", key.Value.Term)
		e.campaign(key.Version)
	}
}

// ObserveLeader records that a controller leads under a term. A leader that learns of a higher
// term steps down.
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
		e.RecordLeaderHeard()
		e.log.Info("new leader", "controller", name, "term", term)
	}
	e.host.LeaderKnown()
}

// SteppedDown records that this controller no longer leads.
func (e *Election) SteppedDown() {
	e.RecordLeaderHeard()
	e.leader = ""
	e.callPending = false
	e.nextPollAt = e.host.Now()
}
