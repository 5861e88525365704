package core

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	leaderTerm        uint64                    // of the leader that from is about
	acknowledgedUntil time.Duration             // our clock: this leader has our digests until then
	unacknowledged    map[string]leaseExtension // leases extended, not yet known to the leader
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

// maxExtensionTime is the same as a time.
func (c *Core) maxExtensionTime() time.Duration { return maxExtensionLeases * c.workerLease() }

// acknowledgeExtensions takes in the leader's digest, on another controller.
func (c *Core) acknowledgeExtensions(d *wire.Digest) {
	extensions := &c.extensions
	if d.EchoBoot != c.incarnation || d.Term < extensions.leaderTerm {
		return
	}
	if d.Term > extensions.leaderTerm {
		extensions.leaderTerm, extensions.acknowledgedUntil = d.Term, 0
	}
	extensions.acknowledgedUntil = max(extensions.acknowledgedUntil, time.Duration(d.Echo))
	for name, x := range extensions.unacknowledged {
		// A leader of an earlier term than the worker has seen need not be the
		// one that has to know.
		if x.at < extensions.acknowledgedUntil && x.token <= extensions.leaderTerm && c.now-x.at > 2*c.workerLease() {
			delete(extensions.unacknowledged, name)
		}
	}
}

// mayExtendLeases tells whether this controller still extends leases on its own.
func (c *Core) mayExtendLeases() bool { return c.now-c.election.LeaderHeard() < c.maxExtensionTime() }

// extendLease answers a report in the leader's place.
func (c *Core) extendLease(req uint64, body []byte) bool {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok || heartbeat.FencingToken == 0 || !c.mayExtendLeases() {
		return false
	}
	extensions := &c.extensions
	if extensions.unacknowledged == nil {
		extensions.unacknowledged = map[string]leaseExtension{}
	}
	if x, ok := extensions.unacknowledged[heartbeat.Machine]; !ok || c.now-x.at > c.workerLease() {
		c.log.Debug("lease extended without the leader", "machine", heartbeat.Machine)
	}
	extensions.unacknowledged[heartbeat.Machine] = leaseExtension{c.now, max(heartbeat.FencingToken, extensions.unacknowledged[heartbeat.Machine].token)}
	c.answer(req, httpstatus.OK, wire.CommandList{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}, 0)
	return true
}

// list is what a digest says of the extensions.
func (k *leaseExtensions) list(now time.Duration) []wire.Kept {
	var out []wire.Kept
	for _, name := range sortedKeys(k.unacknowledged) {
		out = append(out, wire.Kept{Machine: name, AgeMS: int64((now - k.unacknowledged[name].at) / time.Millisecond)})
	}
	return out
}

// extensionTestimony is what a controller's digests say of the leases it extends.
type extensionTestimony struct {
	incarnation    uint64
	clock          time.Duration // its clock at its newest digest
	testifiedUntil time.Duration // our clock: it has testified for all before
	uncertainUntil time.Duration // our clock: an earlier run of it may have extended any lease until then
}

// recordTestimony takes in another controller's digest.
func (c *Core) recordTestimony(p *peerState, d *wire.Digest) {
	testimony := &p.extensionTestimony
	if d.Boot != testimony.incarnation {
		testimony.uncertainUntil = c.now
		testimony.incarnation, testimony.clock = d.Boot, 0
	}
	testimony.clock = max(testimony.clock, time.Duration(d.Clock))
	if d.EchoBoot == c.incarnation {
		testimony.testifiedUntil = max(testimony.testifiedUntil, time.Duration(d.Echo))
	}
	if c.leader == nil {
		return
	}
	for _, k := range d.Kept {
		if m := c.leader.Machines[k.Machine]; m != nil {
			m.LeaseExtendedAt = max(m.LeaseExtendedAt, c.now-time.Duration(k.AgeMS)*time.Millisecond)
		}
	}
}

// LeaseExpired tells whether a silent worker's lease has certainly run out: there
// is a span as long as the lease in which nobody has extended it.
func (l *leader) leaseExpired(m *cluster.Machine) bool {
	from := max(m.LastAnswered, m.LeaseExtendedAt)
	for _, p := range l.core.peers {
		from = max(from, p.uncertainUntil)
	}
	for _, p := range l.core.peers {
		if p.incarnation == 0 || p.testifiedUntil < from+l.leaseExpiryBound() {
			return false
		}
	}
	return l.core.now-from > l.leaseExpiryBound()
}
