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

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
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

// Reason tells why a controller gives up its leadership.
type Reason string

// Reasons that the election itself finds.
const (
	ReasonHigherTerm Reason = "a higher term exists"
	ReasonLeaseEnded Reason = "the lease ran out"
)

// Status codes of the state service's answers.
const (
	statusOK     = 200
	statusAbsent = 404
)

// Mandate is what the winner of an election leads by.
type Mandate struct {
	Term        uint64
	TermVersion uint64 // of the term key, on which every write is conditional
	Lease       uint64 // of the leader key
}

// Answer is called with the status and the body of an answer of the state service;
// status 0 if none came.
type Answer func(status int, body []byte)

// Store is the state service. Its answers come later.
type Store interface {
	// Get reads a key: an Item, or 404.
	Get(key string, done Answer)
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done Answer)
	// Grant asks for a lease: a Grant.
	Grant(ttl time.Duration, done Answer)
	// Extend renews a lease: 404 if it has ended.
	Extend(lease uint64, timeout time.Duration, done Answer)
}

// Host is the controller that takes part in elections.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// Leading returns the mandate by which this controller leads; false if it does not.
	Leading() (Mandate, bool)
	// Lead begins to lead.
	Lead(Mandate)
	// StepDown ends this controller's leadership, and calls SteppedDown.
	StepDown(Reason)
	// NoteStore is told whether the state service answers.
	NoteStore(status int)
	// HearsPeer tells whether any other controller is heard.
	HearsPeer() bool
	// LeaderLost tells whether others agree that the leader is out of reach.
	LeaderLost() bool
	// LeaderKnown is called when it is known who leads.
	LeaderKnown()
}

// Election is what a controller knows of who leads.
type Election struct {
	name  string
	ttl   time.Duration // of the leader's lease
	store Store
	host  Host
	log   *slog.Logger

	busy     bool
	nextPoll time.Duration
	term     uint64 // highest term known
	leader   string // who holds it, if known
	heard    time.Duration
	keyAt    time.Duration // when the leader's key was last read
	asked    bool          // the leader key was read since the start
}

// New makes the state of a controller that has just started. ttl is the time to live of
// the leader's lease.
func New(name string, ttl time.Duration, store Store, host Host, log *slog.Logger) *Election {
	return &Election{name: name, ttl: ttl, store: store, host: host, log: log}
}

// Term is the highest term known.
func (e *Election) Term() uint64 { return e.term }

// Leader is who leads, as far as is known; empty if nobody is known to.
func (e *Election) Leader() string { return e.leader }

// LeaderHeard is when the leader was last heard.
func (e *Election) LeaderHeard() time.Duration { return e.heard }

// NoteLeaderHeard notes that the leader was heard now.
func (e *Election) NoteLeaderHeard() { e.heard = e.host.Now() }

// KeyRead is when the key of another leader was last read; 0 for never.
func (e *Election) KeyRead() time.Duration { return e.keyAt }

// Tick renews this controller's leadership, or looks at who leads.
func (e *Election) Tick() {
	now := e.host.Now()
	if e.busy || now < e.nextPoll {
		return
	}
	e.busy = true
	e.nextPoll = now + e.ttl/4
	if m, leads := e.host.Leading(); leads {
		e.renew(m)
		return
	}
	e.store.Get(KeyLeader, func(status int, body []byte) {
		e.host.NoteStore(status)
		e.busy = false
		if e.leads() {
			return
		}
		switch status {
		case statusOK:
			e.onLeaderKey(body)
		case statusAbsent:
			e.asked = true
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
func (e *Election) onLeaderKey(body []byte) {
	version, v, ok := decodeLeader(body)
	if !ok {
		e.log.Error("leader key is not readable", "body", string(body))
		return
	}
	first := !e.asked
	e.asked = true
	if v.Name == e.name {
		// Our own key, of an earlier process or of an election whose answer got
		// lost: nobody else acts under it.
		if first || v.Term >= e.term {
			e.campaign(version)
		}
		return
	}
	e.Learn(v.Term, v.Name)
	e.keyAt = e.host.Now()
	if e.host.LeaderLost() {
		// It still holds its key, but neither we nor another controller hear
		// it, so the workers' reports do not reach it and their leases run out.
		// Its key gives way; its writes and commands do by the term.
		e.log.Info("take over", "from", v.Name, "term", v.Term)
		e.campaign(version)
	}
}

// decodeLeader parses the leader key's record.
func decodeLeader(body []byte) (version uint64, v LeaderValue, ok bool) {
	var it wire.Item
	if json.Unmarshal(body, &it) != nil || json.Unmarshal(it.Value, &v) != nil {
		return 0, LeaderValue{}, false
	}
	return it.Version, v, true
}

// Learn takes in that a controller leads under a term.
func (e *Election) Learn(term uint64, name string) {
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
		e.NoteLeaderHeard()
		e.log.Info("leader", "name", name, "term", term)
	}
	e.host.LeaderKnown()
}

// campaign tries to win the next term, given the version of the leader key: it
// reads the term, takes a lease for the key, and writes both.
func (e *Election) campaign(leaderVersion uint64) {
	e.busy = true
	e.store.Get(KeyTerm, func(status int, body []byte) {
		term, version, ok := e.decodeTerm(status, body)
		if !ok {
			e.busy = false
			return
		}
		e.takeGrant(func(lease uint64) { e.claimTerm(leaderVersion, term+1, version, lease) })
	})
}

// decodeTerm parses the answer to a read of the term key. There is none before
// the first election.
func (e *Election) decodeTerm(status int, body []byte) (term, version uint64, ok bool) {
	switch status {
	case statusOK:
		var it wire.Item
		if json.Unmarshal(body, &it) != nil || json.Unmarshal(it.Value, &term) != nil {
			e.log.Error("term key is not readable", "body", string(body))
			return 0, 0, false
		}
		return term, it.Version, true
	case statusAbsent:
		return 0, 0, true
	}
	return 0, 0, false
}

// takeGrant asks the state service for a lease, for an election that goes on
// with it.
func (e *Election) takeGrant(next func(lease uint64)) {
	e.store.Grant(e.ttl, func(status int, body []byte) {
		var g wire.Grant
		if status != statusOK || json.Unmarshal(body, &g) != nil {
			e.busy = false
			return
		}
		next(g.Lease)
	})
}

// claimTerm writes the leader key and the next term, on the condition that
// neither has changed.
func (e *Election) claimTerm(leaderVersion, term, termVersion, lease uint64) {
	txn := &wire.Txn{
		If:     []wire.Cond{{Key: KeyLeader, Version: leaderVersion}, {Key: KeyTerm, Version: termVersion}},
		Writes: []wire.Write{{Put: KeyLeader, Value: encode(LeaderValue{e.name, term}), Lease: lease}, {Put: KeyTerm, Value: encode(term)}},
	}
	e.store.Commit(txn, func(status int, body []byte) {
		e.busy = false
		var r wire.TxnResult
		if status != statusOK || json.Unmarshal(body, &r) != nil {
			return
		}
		e.win(Mandate{Term: term, TermVersion: r.Revision, Lease: lease})
	})
}

// encode encodes a value of a key of this package.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("election: encode: " + err.Error()) // only own types and numbers come here
	}
	return b
}

// win begins to lead under a term that was won, unless another controller has won a
// later one meanwhile.
func (e *Election) win(m Mandate) {
	if m.Term <= e.term && e.leader != "" && e.leader != e.name {
		return
	}
	e.term, e.leader = m.Term, e.name
	e.nextPoll = e.host.Now() + e.ttl/4
	e.log.Info("elected", "term", m.Term)
	e.host.Lead(m)
}

// renew extends the lease of this controller's leader key.
func (e *Election) renew(m Mandate) {
	e.store.Extend(m.Lease, e.ttl/2, func(status int, _ []byte) {
		e.host.NoteStore(status)
		e.busy = false
		if !e.leadsBy(m) {
			return
		}
		if status == statusAbsent {
			e.host.StepDown(ReasonLeaseEnded)
			return
		}
		if e.host.HearsPeer() {
			return
		}
		// Nobody is heard: another controller may have taken the key over.
		e.store.Get(KeyLeader, func(status int, body []byte) {
			if !e.leadsBy(m) || status != statusOK {
				return
			}
			if _, v, ok := decodeLeader(body); ok {
				e.Learn(v.Term, v.Name)
			}
		})
	})
}

// leadsBy tells whether this controller still leads by a mandate.
func (e *Election) leadsBy(m Mandate) bool {
	now, leads := e.host.Leading()
	return leads && now == m
}

// SteppedDown notes that this controller does not lead any more.
func (e *Election) SteppedDown() {
	e.NoteLeaderHeard()
	e.leader = ""
	e.busy = false
	e.nextPoll = e.host.Now()
}
