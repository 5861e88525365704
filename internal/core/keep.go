package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// A zone that is cut off keeps working as long as its workers' leases are
// extended. A controller that cannot reach the leader therefore answers
// reports in its name, without commands, for as long as it has authority: it
// holds that by the leader's term, from the last digest of its own that the
// leader is known to have received. The leader counts a silent worker's tasks
// until no such controller can have extended the lease:
//
//   - a controller's digests list the leases it has extended, until the leader
//     is known to have received that. A digest that echoes the leader's clock
//     was made after that time; so it testifies for all until then;
//   - where there is no testimony, authority ends at last a fixed time after
//     the leader last heard the controller;
//   - a controller that has been restarted testifies only for its own run.
//
// All of it holds for this term alone: workers that have seen it drop the
// answers of earlier ones.

// keeper is what a controller knows of its authority.
type keeper struct {
	term uint64
	from time.Duration            // our clock: the leader was heard and heard us
	kept map[string]time.Duration // leases extended, not yet known to the leader
}

// keepMax is how long a controller extends leases on its own, in worker
// leases: long enough for a zone's cut, and an end to holding on to what
// cannot be reached.
const keepMax = 12

func (c *Core) keepFor() time.Duration { return keepMax * c.lease() }

// noteAuthority takes in the leader's digest, on another controller.
func (c *Core) noteAuthority(d *wire.Digest) {
	k := &c.keep
	if d.EchoBoot != c.boot || d.Term < k.term {
		return
	}
	if d.Term > k.term {
		*k = keeper{term: d.Term, kept: map[string]time.Duration{}}
	}
	k.from = max(k.from, time.Duration(d.Echo))
	for name, at := range k.kept {
		if at < k.from && c.now-at > 2*c.lease() {
			delete(k.kept, name)
		}
	}
}

// keepLease answers a report in the leader's name, if this controller has the
// authority.
func (c *Core) keepLease(req uint64, body []byte) bool {
	k := &c.keep
	if !c.mayKeep() {
		return false
	}
	r, ok := decodeReport(body)
	if !ok || r.Token > k.term {
		return false
	}
	if _, ok := k.kept[r.Machine]; !ok {
		c.log.Debug("lease kept without the leader", "machine", r.Machine)
	}
	k.kept[r.Machine] = c.now
	c.answer(req, 200, wire.Orders{Token: k.term, Commands: []wire.Command{}}, 0)
	return true
}

// mayKeep tells whether this controller has authority under some term. That a
// later term exists does not end it: workers that have seen that one drop our
// answers, and for the others the later leader counts on somebody keeping them.
func (c *Core) mayKeep() bool { return c.keep.from != 0 && c.now-c.keep.from < c.keepFor() }

// deposed gives a leader that has stepped down the authority to keep those
// workers that have heard of no later term.
func (k *keeper) deposed(term uint64, now time.Duration) {
	*k = keeper{term: term, from: now, kept: map[string]time.Duration{}}
}

func (k *keeper) list(now time.Duration) []wire.Kept {
	var out []wire.Kept
	for _, name := range sortedKeys(k.kept) {
		out = append(out, wire.Kept{Machine: name, AgeMS: int64((now - k.kept[name]) / time.Millisecond)})
	}
	return out
}

// testimony is what a controller's digests say of the leases it extends.
type testimony struct {
	boot    uint64
	clock   time.Duration // its clock at its newest digest
	arrived time.Duration // when that one arrived
	until   time.Duration // our clock: it has testified for all before
	unsure  time.Duration // our clock: an earlier run of it may have extended any lease until then
}

// noteTestimony takes in another controller's digest.
func (c *Core) noteTestimony(p *peerState, d *wire.Digest) {
	t := &p.testimony
	if d.Boot != t.boot {
		if t.boot != 0 {
			t.unsure = c.now
		}
		t.boot, t.clock = d.Boot, 0
	}
	t.clock = max(t.clock, time.Duration(d.Clock))
	t.arrived = c.now
	if d.EchoBoot == c.boot {
		t.until = max(t.until, time.Duration(d.Echo))
	}
	if c.lead == nil {
		return
	}
	for _, k := range d.Kept {
		if m := c.lead.machines[k.Machine]; m != nil {
			m.kept = max(m.kept, c.now-time.Duration(k.AgeMS)*time.Millisecond)
		}
	}
}

// leaseOver tells whether a silent worker's lease has certainly run out: there
// is a span as long as the lease in which nobody can have extended it.
func (l *leader) leaseOver(m *machine) bool {
	c := l.c
	from := max(m.answered, m.kept)
	for _, p := range c.peers {
		from = max(from, p.unsure)
	}
	for moved := true; moved; {
		moved = false
		for _, p := range c.peers {
			// The clocks may drift apart while its authority lasts.
			end := p.arrived + c.keepFor() + c.lease()/20
			if p.arrived == 0 || p.until > from+l.leaseBound() || end <= from {
				continue
			}
			from, moved = end, true
		}
	}
	return c.now-from > l.leaseBound()
}
