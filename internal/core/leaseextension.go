package core

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// A zone that is cut off keeps working as long as its workers' leases are
// extended. A controller that cannot reach the leader therefore answers
// reports in its place, without commands, under the token that the worker has
// seen. The leader counts a silent worker's tasks until nobody can have
// extended the lease for as long as it lasts:
//
//   - a controller's digests list the leases it has extended, until the leader
//     is known to have received that. A digest that echoes the leader's clock
//     was made after that time; so it testifies for all until then;
//   - a controller that has been restarted testifies only for its own run: an
//     earlier one may have extended any lease until the new one was heard;
//   - of a controller that is out of reach nothing is known. Machines that
//     stay silent then go by their return to the cloud (case 3), not by case 4.
//
// Workers that have not seen the leader's term are none of this: case 4 does
// not apply to them, since a deposed leader may extend their leases as well.

// leaseExtensions is what a controller knows of the leases it has extended.
type leaseExtensions struct {
	term     uint64                    // of the leader that from is about
	from     time.Duration             // our clock: this leader has our digests until then
	extended map[string]leaseExtension // leases extended, not yet known to the leader
}

// leaseExtension is the latest extension of a worker's lease.
type leaseExtension struct {
	at    time.Duration
	token uint64 // under which it was
}

// maxExtensionLeases is how long a controller extends leases without having
// heard a leader, in worker leases: long enough for a zone's cut, and an end to
// holding on to what cannot be reached.
const maxExtensionLeases = 12

// maxExtension is the same as a time.
func (c *Core) maxExtension() time.Duration { return maxExtensionLeases * c.lease() }

// noteEcho takes in the leader's digest, on another controller.
func (c *Core) noteEcho(d *wire.Digest) {
	k := &c.extensions
	if d.EchoBoot != c.boot || d.Term < k.term {
		return
	}
	if d.Term > k.term {
		k.term, k.from = d.Term, 0
	}
	k.from = max(k.from, time.Duration(d.Echo))
	for name, x := range k.extended {
		// A leader of an earlier term than the worker has seen need not be the
		// one that has to know.
		if x.at < k.from && x.token <= k.term && c.now-x.at > 2*c.lease() {
			delete(k.extended, name)
		}
	}
}

// mayExtendLeases tells whether this controller still extends leases on its own.
func (c *Core) mayExtendLeases() bool { return c.now-c.elect.LeaderHeard() < c.maxExtension() }

// extendLease answers a report in the leader's place.
func (c *Core) extendLease(req uint64, body []byte) bool {
	r, ok := decodeReport(body)
	if !ok || r.Token == 0 || !c.mayExtendLeases() {
		return false
	}
	k := &c.extensions
	if k.extended == nil {
		k.extended = map[string]leaseExtension{}
	}
	if x, ok := k.extended[r.Machine]; !ok || c.now-x.at > c.lease() {
		c.log.Debug("lease extended without the leader", "machine", r.Machine)
	}
	k.extended[r.Machine] = leaseExtension{c.now, max(r.Token, k.extended[r.Machine].token)}
	c.answer(req, httpstatus.OK, wire.Orders{Token: r.Token, Commands: []wire.Command{}}, 0)
	return true
}

// list is what a digest says of the extensions.
func (k *leaseExtensions) list(now time.Duration) []wire.Kept {
	var out []wire.Kept
	for _, name := range sortedKeys(k.extended) {
		out = append(out, wire.Kept{Machine: name, AgeMS: int64((now - k.extended[name].at) / time.Millisecond)})
	}
	return out
}

// peerExtensions is what a controller's digests say of the leases it extends.
type peerExtensions struct {
	boot   uint64
	clock  time.Duration // its clock at its newest digest
	until  time.Duration // our clock: it has testified for all before
	unsure time.Duration // our clock: an earlier run of it may have extended any lease until then
}

// noteExtensions takes in another controller's digest.
func (c *Core) noteExtensions(p *peerState, d *wire.Digest) {
	t := &p.peerExtensions
	if d.Boot != t.boot {
		t.unsure = c.now
		t.boot, t.clock = d.Boot, 0
	}
	t.clock = max(t.clock, time.Duration(d.Clock))
	if d.EchoBoot == c.boot {
		t.until = max(t.until, time.Duration(d.Echo))
	}
	if c.lead == nil {
		return
	}
	for _, k := range d.Kept {
		if m := c.lead.machines[k.Machine]; m != nil {
			m.extended = max(m.extended, c.now-time.Duration(k.AgeMS)*time.Millisecond)
		}
	}
}

// leaseOver tells whether a silent worker's lease has certainly run out: there
// is a span as long as the lease in which nobody has extended it.
func (l *leader) leaseOver(m *machine) bool {
	from := max(m.answered, m.extended)
	for _, p := range l.c.peers {
		from = max(from, p.unsure)
	}
	for _, p := range l.c.peers {
		if p.boot == 0 || p.until < from+l.leaseBound() {
			return false
		}
	}
	return l.c.now-from > l.leaseBound()
}
