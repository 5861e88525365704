// Package election decides which controller leads. It is a state machine: it is told of
// ticks, of leaders that others name and of the state service's answers, and asks its
// host to read, to write, to begin and to end leading. It keeps no clock.
//
// The key of the leader is attached to a lease and shows who leads; it only decides when
// to hold an election. Safety rests on the term key: every election raises it, every
// write of a leader is conditional on its version, and it is the token of commands.
package election

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Keys of the state service that leadership uses. Versions share them: they never
// change.
const (
	KeyLeader = "leader"
	KeyTerm   = "term"
)

// LeaderValue is the value of the key of the leader. Versions share the records: JSON
// names never change, see compat_test.go of internal/core.
type LeaderValue struct {
	Name string `json:"name"`
	Term uint64 `json:"term"`
}

// StepDownReason tells why a controller gives up its leadership.
type StepDownReason string

// Reasons that the election itself finds.
const (
	ReasonHigherTerm   StepDownReason = "a higher term exists"
	ReasonLeaseExpired StepDownReason = "the lease ran out"
)

// Leadership is what the winner of an election leads by.
type Leadership struct {
	Term        uint64
	TermVersion uint64 // of the term key, on which every write is conditional
	Lease       uint64 // of the leader key
}

// Store is the key-value store. Its results come later.
type Store interface {
	// Get reads a key.
	Get(key string, done func(kv.GetResult))
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
	// Grant asks for a lease.
	Grant(ttl time.Duration, done func(kv.GrantResult))
	// Renew renews a lease; the status is NotFound if it has expired.
	Renew(lease uint64, timeout time.Duration, done func(kv.Status))
}

// Host is the controller that takes part in elections.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// Leading returns the mandate by which this controller leads; false if it does not.
	Leading() (Leadership, bool)
	// Lead begins to lead.
	Lead(Leadership)
	// StepDown ends this controller's leadership, and calls SteppedDown.
	StepDown(StepDownReason)
	// ObserveStore is told whether the store answers.
	ObserveStore(status kv.Status)
	// HearsPeer tells whether any other controller is heard.
	HearsPeer() bool
	// LeaderLost tells whether others agree that the leader is out of reach.
	LeaderLost() bool
	// LeaderKnown is called when it is known who leads.
	LeaderKnown()
}

// Election is what a controller knows of who leads.
type Election struct {
	name          string
	leaseDuration time.Duration // of the leader's lease
	store         Store
	host          Host
	log           *slog.Logger

	callPending   bool
	nextPoll      time.Duration
	term          uint64 // highest term known
	leader        string // who holds it, if known
	leaderHeardAt time.Duration
	keyReadAt     time.Duration // when the leader's key was last read
	keyReadOnce   bool          // the leader key was read since the start
}

// New makes the state of a controller that has just started. ttl is the time to live of
// the leader's lease.
func New(name string, ttl time.Duration, store Store, host Host, log *slog.Logger) *Election {
	return &Election{name: name, leaseDuration: ttl, store: store, host: host, log: log}
}

// Term is the highest term known.
func (e *Election) Term() uint64 { return e.term }

// Leader is who leads, as far as is known; empty if nobody is known to.
func (e *Election) Leader() string { return e.leader }

// LeaderHeard is when the leader was last heard.
func (e *Election) LeaderHeard() time.Duration { return e.leaderHeardAt }

// RecordLeaderHeard notes that the leader was heard now.
func (e *Election) RecordLeaderHeard() { e.leaderHeardAt = e.host.Now() }

// LeaderKeyRead is when the key of another leader was last read; 0 for never.
func (e *Election) LeaderKeyRead() time.Duration { return e.keyReadAt }

// Tick renews this controller's leadership, or looks at who leads.
func (e *Election) Tick() {
	now := e.host.Now()
	if e.callPending || now < e.nextPoll {
		return
	}
	e.callPending = true
	e.nextPoll = now + e.leaseDuration/4
	if m, leads := e.host.Leading(); leads {
		e.renew(m)
		return
	}
	e.store.Get(KeyLeader, func(r kv.GetResult) {
		e.host.ObserveStore(r.Status)
		e.callPending = false
		if e.leads() {
			return
		}
		switch r.Status {
		case kv.OK:
			e.onLeaderKey(r.Item)
		case kv.NotFound:
			e.keyReadOnce = true
			e.campaign(0)
		}
	})
}

// leads tells whether this controller leads.
func (e *Election) leads() bool {
	_, leads := e.host.Leading()
	return leads
}

// onLeaderKey takes in the leader key, on a controller that does not lead. It
// campaigns where nobody leads under the key, or where the leader is lost.
func (e *Election) onLeaderKey(item wire.Item) {
	key, err := kv.Decode[LeaderValue](item.Value, item.Version)
	if err != nil {
		e.log.Error("leader key is not readable", "value", string(item.Value), "error", err)
		return
	}
	value, version := key.Value, key.Version
	first := !e.keyReadOnce
	e.keyReadOnce = true
	if value.Name == e.name {
		// Our own key, of an earlier process or of an election whose answer got
		// lost: nobody else acts under it.
		if first || value.Term >= e.term {
			e.campaign(version)
		}
		return
	}
	e.ObserveLeader(value.Term, value.Name)
	e.keyReadAt = e.host.Now()
	if e.host.LeaderLost() {
		// It still holds its key, but neither we nor another controller hear
		// it, so the workers' reports do not reach it and their leases run out.
		// Its key gives way; its writes and commands do by the term.
		e.log.Info("take over", "from", value.Name, "term", value.Term)
		e.campaign(version)
	}
}

// ObserveLeader takes in that a controller leads under a term.
func (e *Election) ObserveLeader(term uint64, name string) {
	if term < e.term {
		return
	}
	if m, leads := e.host.Leading(); leads && term > m.Term {
		e.host.StepDown(ReasonHigherTerm)
	}
	if e.leads() {
		return
	}
	if term > e.term || e.leader != name {
		e.term, e.leader = term, name
		e.RecordLeaderHeard()
		e.log.Info("leader", "name", name, "term", term)
	}
	e.host.LeaderKnown()
}

// campaign tries to win the next term, given the version of the leader key: it
// reads the term, takes a lease for the key, and writes both.
func (e *Election) campaign(leaderVersion uint64) {
	e.callPending = true
	e.store.Get(KeyTerm, func(r kv.GetResult) {
		term, ok := e.decodeTerm(r)
		if !ok {
			e.callPending = false
			return
		}
		e.grantLease(func(lease uint64) { e.claimTerm(leaderVersion, term.Value+1, term.Version, lease) })
	})
}

// decodeTerm parses the answer to a read of the term key. There is none before
// the first election.
func (e *Election) decodeTerm(r kv.GetResult) (term kv.Versioned[uint64], ok bool) {
	switch r.Status {
	case kv.OK:
		term, err := kv.Decode[uint64](r.Item.Value, r.Item.Version)
		if err != nil {
			e.log.Error("term key is not readable", "value", string(r.Item.Value), "error", err)
		}
		return term, err == nil
	case kv.NotFound:
		return term, true
	default:
		return term, false
	}
}

// grantLease asks the state service for a lease, for an election that goes on
// with it.
func (e *Election) grantLease(next func(lease uint64)) {
	e.store.Grant(e.leaseDuration, func(r kv.GrantResult) {
		if r.Status != kv.OK {
			e.callPending = false
			return
		}
		next(r.Lease)
	})
}

// claimTerm writes the leader key and the next term, on the condition that
// neither has changed.
func (e *Election) claimTerm(leaderVersion, term, termVersion, lease uint64) {
	txn := &wire.Txn{
		Conditions: []wire.Condition{{Key: KeyLeader, Version: leaderVersion}, {Key: KeyTerm, Version: termVersion}},
		Writes:     []wire.Write{{Put: KeyLeader, Value: kv.Encode(LeaderValue{e.name, term}), Lease: lease}, {Put: KeyTerm, Value: kv.Encode(term)}},
	}
	e.store.Commit(txn, func(r kv.TxnResult) {
		e.callPending = false
		if !r.Committed() {
			return
		}
		e.becomeLeader(Leadership{Term: term, TermVersion: r.Revision, Lease: lease})
	})
}

// becomeLeader begins to lead under a term that was won, unless another controller has won a
// later one meanwhile.
func (e *Election) becomeLeader(m Leadership) {
	if m.Term <= e.term && e.leader != "" && e.leader != e.name {
		return
	}
	e.term, e.leader = m.Term, e.name
	e.nextPoll = e.host.Now() + e.leaseDuration/4
	e.log.Info("elected", "term", m.Term)
	e.host.Lead(m)
}

// renew extends the lease of this controller's leader key.
func (e *Election) renew(leadership Leadership) {
	e.store.Renew(leadership.Lease, e.leaseDuration/2, func(status kv.Status) {
		e.host.ObserveStore(status)
		e.callPending = false
		if !e.leadsUnder(leadership) {
			return
		}
		if status == kv.NotFound {
			e.host.StepDown(ReasonLeaseExpired)
			return
		}
		if e.host.HearsPeer() {
			return
		}
		// Nobody is heard: another controller may have taken the key over.
		e.store.Get(KeyLeader, func(r kv.GetResult) {
			if !e.leadsUnder(leadership) || r.Status != kv.OK {
				return
			}
			if key, err := kv.Decode[LeaderValue](r.Item.Value, r.Item.Version); err == nil {
				e.ObserveLeader(key.Value.Term, key.Value.Name)
			}
		})
	})
}

// leadsUnder tells whether this controller still leads by a mandate.
func (e *Election) leadsUnder(m Leadership) bool {
	now, leads := e.host.Leading()
	return leads && now == m
}

// SteppedDown notes that this controller does not lead any more.
func (e *Election) SteppedDown() {
	e.RecordLeaderHeard()
	e.leader = ""
	e.callPending = false
	e.nextPoll = e.host.Now()
}
