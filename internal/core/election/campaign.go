package election

import (
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// campaign tries to win an election for the next term, given the version of the leader key: it reads
// the term key, requests a lease, and writes the leader key and the term key.
func (e *Election) campaign(leaderVersion uint64) {
	e.callPending = true
	e.store.Get(KeyTerm, func(r kv.GetResult) {
		term, ok := e.parseTerm(r)
		if !ok {
			e.callPending = false
			return
		}
		e.grantLease(func(lease uint64) { e.claimTerm(leaderVersion, term, lease) })
	})
}

// parseTerm returns the term that was read; 0, with version 0, before the first election.
func (e *Election) parseTerm(r kv.GetResult) (term kv.Versioned[uint64], ok bool) {
	switch r.Status {
	case kv.OK:
		term, err := decodeTerm(r.Item)
		if err != nil {
			e.log.Error("cannot decode term key", "value", string(r.Item.Value), "error", err)
		}
		return term, err == nil
	case kv.NotFound:
		return term, true
	default:
		return term, false
	}
}

// grantLease requests a lease from the store and calls next with it. If that fails, the election
// ends.
func (e *Election) grantLease(next func(lease uint64)) {
	e.store.Grant(e.leaseDuration, func(r kv.GrantResult) {
		if r.Status != kv.OK {
			e.callPending = false
			return
		}
		next(r.Lease)
	})
}

// tokensPerTerm is the number of fencing tokens of a term. A leader uses at most one per worker and
// heartbeat.
const tokensPerTerm = 100_000_000

// claimTerm writes the leader key and a term that is higher than last, on the condition that neither
// key has changed (compare-and-swap).
func (e *Election) claimTerm(leaderVersion uint64, last kv.Versioned[uint64], lease uint64) {
	term := last.Value + tokensPerTerm
	txn := &wire.Txn{
		Conditions: []wire.Condition{
			{Key: KeyLeader, Version: leaderVersion},
			{Key: KeyTerm, Version: last.Version},
		},
		Writes: []wire.Write{
			{Put: KeyLeader, Value: kv.Encode(LeaderValue{Name: e.name, Term: term}), Lease: lease},
			{Put: KeyTerm, Value: kv.Encode(term)},
		},
	}
	e.store.Commit(txn, func(r kv.TxnResult) {
		e.callPending = false
		if !r.Committed() {
			return
		}
		e.becomeLeader(Leadership{FirstToken: last.Value + 1, Term: term, TermVersion: r.Revision, Lease: lease})
	})
}

// becomeLeader makes this controller the leader for the term it has won, unless another controller
// is known by now to lead in that or a later term.
func (e *Election) becomeLeader(won Leadership) {
	otherLeads := e.leader != "" && e.leader != e.name
	if otherLeads && e.term >= won.Term {
		return
	}
	e.term, e.leader = won.Term, e.name
	e.nextPollAt = e.host.Now() + e.leaseDuration/pollsPerLease
	e.log.Info("elected", "term", won.Term, "term_version", won.TermVersion, "lease", won.Lease)
	e.host.StartLeading(won)
}

// renew renews the lease of the leader key, on the leader.
func (e *Election) renew(leadership Leadership) {
	e.store.Renew(leadership.Lease, e.leaseDuration/timeoutsPerLease, func(status kv.Status) {
		e.host.ObserveStore(status)
		e.callPending = false
		if !e.leadsUnder(leadership) {
			return
		}
		if status == kv.NotFound {
			e.host.StepDown(ReasonLeaseExpired)
			return
		}
		if !e.host.HasPeerContact() {
			e.verifyKey(leadership)
		}
	})
}

// verifyKey reads the leader key, on a leader without contact with any peer: another controller may
// have replaced it.
func (e *Election) verifyKey(leadership Leadership) {
	e.store.Get(KeyLeader, func(r kv.GetResult) {
		if r.Status != kv.OK || !e.leadsUnder(leadership) {
			return
		}
		key, err := decodeLeader(r.Item)
		if err != nil {
			e.log.Error("cannot decode leader key", "value", string(r.Item.Value), "error", err)
			return
		}
		e.ObserveLeader(key.Value.Term, key.Value.Name)
	})
}

// leadsUnder reports whether the given leadership of this controller is still current.
func (e *Election) leadsUnder(leadership Leadership) bool {
	current, leads := e.host.Leading()
	return leads && current == leadership
}
