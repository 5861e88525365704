package core

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Keys of the state service that leadership uses. The leader key is attached
// to a lease and shows who leads; it only decides when to hold an election.
// Safety rests on the term key: every election raises it, every write of a
// leader is conditional on its version, and it is the token of commands.
const (
	keyLeader = "leader"
	keyTerm   = "term"
)

// leaderValue is the value of the key of the leader. Versions share the records:
// keys and JSON names never change, see compat_test.go.
type leaderValue struct {
	Name string `json:"name"`
	Term uint64 `json:"term"`
}

// election is what a controller knows of who leads.
type election struct {
	busy        bool
	nextPoll    time.Duration
	term        uint64 // highest term known
	leader      string // who holds it, if known
	leaderHeard time.Duration
	keyAt       time.Duration // when the leader's key was last read
	asked       bool          // the leader key was read since the start
}

// ttl is the time to live of the leader's lease: a crash, the election and the
// workers' move to another controller must all fit within one worker lease.
func (c *Core) ttl() time.Duration { return c.lease() / 5 }

// tickElection renews this controller's leadership, or looks at who leads.
func (c *Core) tickElection() {
	e := &c.elect
	if e.busy || c.now < e.nextPoll {
		return
	}
	e.busy = true
	e.nextPoll = c.now + c.ttl()/4
	if c.lead != nil {
		c.renew()
		return
	}
	c.get(keyLeader, func(r Result) {
		c.noteStore(r)
		e.busy = false
		if c.lead != nil {
			return
		}
		switch r.Status {
		case 200:
			c.onLeaderKey(r.Body)
		case 404:
			e.asked = true
			c.campaign(0)
		}
	})
}

// onLeaderKey takes in the leader key, on a controller that does not lead. It
// campaigns where nobody leads under the key, or where the leader is lost.
func (c *Core) onLeaderKey(body []byte) {
	e := &c.elect
	version, v, ok := decodeLeader(body)
	if !ok {
		c.log.Error("leader key is not readable", "body", string(body))
		return
	}
	first := !e.asked
	e.asked = true
	if v.Name == c.cfg.Name {
		// Our own key, of an earlier process or of an election whose answer got
		// lost: nobody else acts under it.
		if first || v.Term >= e.term {
			c.campaign(version)
		}
		return
	}
	c.learn(v.Term, v.Name)
	e.keyAt = c.now
	if c.leaderLost() {
		// It still holds its key, but neither we nor another controller hear
		// it, so the workers' reports do not reach it and their leases run out.
		// Its key gives way; its writes and commands do by the term.
		c.log.Info("take over", "from", v.Name, "term", v.Term)
		c.campaign(version)
	}
}

// decodeLeader parses the leader key's record.
func decodeLeader(body []byte) (version uint64, v leaderValue, ok bool) {
	var it wire.Item
	if json.Unmarshal(body, &it) != nil || json.Unmarshal(it.Value, &v) != nil {
		return 0, leaderValue{}, false
	}
	return it.Version, v, true
}

// learn takes in that a controller leads under a term.
func (c *Core) learn(term uint64, name string) {
	e := &c.elect
	if term < e.term {
		return
	}
	if c.lead != nil && term > c.lead.term {
		c.stepDown(stepDownHigherTerm)
	}
	if c.lead != nil {
		return
	}
	if term > e.term || e.leader != name {
		e.term, e.leader = term, name
		e.leaderHeard = c.now
		c.log.Info("leader", "name", name, "term", term)
	}
	c.flushForwards()
}

// campaign tries to win the next term, given the version of the leader key: it
// reads the term, takes a lease for the key, and writes both.
func (c *Core) campaign(leaderVersion uint64) {
	c.elect.busy = true
	c.get(keyTerm, func(r Result) {
		term, version, ok := c.decodeTerm(r)
		if !ok {
			c.elect.busy = false
			return
		}
		c.takeGrant(func(grant uint64) { c.claimTerm(leaderVersion, term+1, version, grant) })
	})
}

// decodeTerm parses the answer to a read of the term key. There is none before
// the first election.
func (c *Core) decodeTerm(r Result) (term, version uint64, ok bool) {
	switch r.Status {
	case 200:
		var it wire.Item
		if json.Unmarshal(r.Body, &it) != nil || json.Unmarshal(it.Value, &term) != nil {
			c.log.Error("term key is not readable", "body", string(r.Body))
			return 0, 0, false
		}
		return term, it.Version, true
	case 404:
		return 0, 0, true
	}
	return 0, 0, false
}

// takeGrant asks the state service for a lease, for an election that goes on
// with it.
func (c *Core) takeGrant(next func(grant uint64)) {
	c.call(Call{Dest: DestStore, Method: "POST", Path: "/grants", Urgent: true, Timeout: c.storeTimeout(),
		Body: encode(wire.GrantRequest{TTLMs: int(c.ttl() / time.Millisecond)})}, func(r Result) {
		var g wire.Grant
		if r.Status != 200 || json.Unmarshal(r.Body, &g) != nil {
			c.elect.busy = false
			return
		}
		next(g.Lease)
	})
}

// claimTerm writes the leader key and the next term, on the condition that
// neither has changed.
func (c *Core) claimTerm(leaderVersion, term, termVersion, grant uint64) {
	txn := &wire.Txn{
		If: []wire.Cond{{Key: keyLeader, Version: leaderVersion}, {Key: keyTerm, Version: termVersion}},
		Writes: []wire.Write{
			{Put: keyLeader, Value: encode(leaderValue{c.cfg.Name, term}), Lease: grant},
			{Put: keyTerm, Value: encode(term)},
		},
	}
	c.commit(txn, true, func(r Result) {
		c.elect.busy = false
		if r.Status != 200 {
			return
		}
		var tr wire.TxnResult
		if json.Unmarshal(r.Body, &tr) != nil {
			return
		}
		c.becomeLeader(term, tr.Revision, grant)
	})
}

// renew extends the lease of this controller's leader key.
func (c *Core) renew() {
	l := c.lead
	c.call(Call{Dest: DestStore, Method: "POST", Path: "/grants/" + strconv.FormatUint(l.grant, 10) + "/extend", Urgent: true,
		Body: []byte("{}"), Timeout: c.ttl() / 2}, func(r Result) {
		c.noteStore(r)
		c.elect.busy = false
		if c.lead != l {
			return
		}
		if r.Status == 404 {
			c.stepDown(stepDownLeaseEnded)
			return
		}
		if c.hearsPeer() {
			return
		}
		// Nobody is heard: another controller may have taken the key over.
		c.get(keyLeader, func(r Result) {
			if c.lead != l || r.Status != 200 {
				return
			}
			if _, v, ok := decodeLeader(r.Body); ok {
				c.learn(v.Term, v.Name)
			}
		})
	})
}

// becomeLeader starts to lead under a term that was won.
func (c *Core) becomeLeader(term, termVersion, grant uint64) {
	if term <= c.elect.term && c.elect.leader != "" && c.elect.leader != c.cfg.Name {
		return
	}
	c.elect.term, c.elect.leader = term, c.cfg.Name
	c.elect.nextPoll = c.now + c.ttl()/4
	c.log.Info("elected", "term", term)
	c.lead = newLeader(c, term, termVersion, grant)
	c.lead.recover()
	c.sendDigest()
	c.flushForwards()
}

// stepDown ends this controller's leadership.
func (c *Core) stepDown(why stepDownReason) {
	c.log.Info("step down", "term", c.lead.term, "why", why)
	c.lead.deposed = true
	c.elect.leaderHeard = c.now
	c.lead = nil
	c.elect.leader = ""
	c.elect.busy = false
	c.elect.nextPoll = c.now
}
