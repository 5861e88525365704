package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// A zone that is cut off keeps working as long as its workers' leases are extended. A
// controller that cannot reach the leader therefore answers heartbeats in the leader's place,
// without commands, under the fencing token that the worker has seen. The leader counts the
// tasks of a worker with missed heartbeats until nobody can have extended the lease for as
// long as it lasts:
//
//   - a controller's digests list the leases it has extended, until the leader is known to
//     have received that. A digest that echoes the leader's clock was made after that time,
//     so it testifies for all extensions until then;
//   - a controller that has been restarted testifies only for its own incarnation: an earlier
//     one may have extended any lease until the new one was heard;
//   - of a controller that is not heard nothing is known. Machines that stay silent then
//     count as terminated once the cloud confirms their return, not by lease expiry.
//
// Workers that have not seen the leader's term are not covered: lease expiry does not apply
// to them, since a leader that has stepped down may extend their leases as well.

// leaseExtensions is what a controller knows of the leases it has extended.
type leaseExtensions struct {
	leaderTerm        uint64                    // of the leader that acknowledged
	acknowledgedUntil time.Duration             // by our clock: that leader has our digests until then
	unacknowledged    map[string]leaseExtension // by machine; not known to the leader yet
}

// leaseExtension is the latest extension of a worker's lease.
type leaseExtension struct {
	at           time.Duration
	fencingToken uint64 // under which it was extended
}

// maxExtensionLeases is how long a controller extends leases without having heard a leader,
// in worker leases: long enough for a zone that is cut off, and a limit to holding on to what
// cannot be reached.
const maxExtensionLeases = 12

// MaxExtensionTime is how long a controller that does not hear a leader extends leases.
func (m *Membership) MaxExtensionTime() time.Duration {
	return maxExtensionLeases * m.config.WorkerLease
}

// mayExtendLeases reports whether this controller still extends leases on its own.
func (m *Membership) mayExtendLeases() bool {
	return m.since(m.election.LeaderHeard()) < m.MaxExtensionTime()
}

// ExtendLease records that this controller extends the lease of a worker, in the leader's
// place and under the fencing token that the worker has seen. It returns false if the lease
// may not be extended: the worker has seen no term, or no leader was heard for too long.
func (m *Membership) ExtendLease(machine string, fencingToken uint64) bool {
	if fencingToken == 0 || !m.mayExtendLeases() {
		return false
	}
	last, extended := m.extensions.unacknowledged[machine]
	if !extended || m.since(last.at) > m.config.WorkerLease {
		m.log.Debug("worker lease extended without leader", "machine", machine)
	}
	m.extensions.unacknowledged[machine] = leaseExtension{
		at:           m.host.Now(),
		fencingToken: max(fencingToken, last.fencingToken),
	}
	return true
}

// RecordAcknowledgement drops the extensions that the leader knows of, as its digest shows.
func (m *Membership) RecordAcknowledgement(digest *wire.Digest) {
	extensions := &m.extensions
	if digest.EchoBoot != m.config.Incarnation || digest.Term < extensions.leaderTerm {
		return
	}
	if digest.Term > extensions.leaderTerm {
		extensions.leaderTerm, extensions.acknowledgedUntil = digest.Term, 0
	}
	extensions.acknowledgedUntil = max(extensions.acknowledgedUntil, time.Duration(digest.Echo))
	for machine, extension := range extensions.unacknowledged {
		if extensions.isAcknowledged(extension) && m.since(extension.at) > 2*m.config.WorkerLease {
			delete(extensions.unacknowledged, machine)
		}
	}
}

// isAcknowledged reports whether the leader knows of an extension. A leader of an earlier term
// than the worker has seen need not be the one that has to know of it.
func (e *leaseExtensions) isAcknowledged(extension leaseExtension) bool {
	return extension.at < e.acknowledgedUntil && extension.fencingToken <= e.leaderTerm
}

// extendedLeases lists the extensions for a digest, by machine.
func (m *Membership) extendedLeases() []wire.Kept {
	var list []wire.Kept
	for _, machine := range slices.Sorted(maps.Keys(m.extensions.unacknowledged)) {
		age := m.since(m.extensions.unacknowledged[machine].at)
		list = append(list, wire.Kept{Machine: machine, AgeMS: age.Milliseconds()})
	}
	return list
}

// extensionTestimony is the time up to which a peer's digests have listed the leases that it has
// extended.
type extensionTestimony struct {
	incarnation    uint64        // of the peer; 0 before its first digest
	clock          time.Duration // by its clock: when it made its newest digest
	testifiedUntil time.Duration // by our clock: it has listed all extensions until then
	uncertainUntil time.Duration // by our clock: an earlier incarnation may have extended any lease until then
}

// recordTestimony records the time up to which a peer's digest testifies.
func (m *Membership) recordTestimony(testimony *extensionTestimony, digest *wire.Digest) {
	if digest.Boot != testimony.incarnation {
		testimony.uncertainUntil = m.host.Now()
		testimony.incarnation, testimony.clock = digest.Boot, 0
	}
	testimony.clock = max(testimony.clock, time.Duration(digest.Clock))
	if digest.EchoBoot == m.config.Incarnation {
		testimony.testifiedUntil = max(testimony.testifiedUntil, time.Duration(digest.Echo))
	}
}

// LeaseExpired reports, on the leader, whether the lease of a worker has certainly expired:
// there was a span of at least bound in which nobody can have extended it. lastRenewal is when
// the leader last renewed the lease, or a peer is known to have extended it.
func (m *Membership) LeaseExpired(lastRenewal, bound time.Duration) bool {
	spanBegin := lastRenewal
	for _, p := range m.peers {
		spanBegin = max(spanBegin, p.testimony.uncertainUntil)
	}
	for _, p := range m.peers {
		if p.testimony.incarnation == 0 || p.testimony.testifiedUntil < spanBegin+bound {
			return false
		}
	}
	return m.since(spanBegin) > bound
}
