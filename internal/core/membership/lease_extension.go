package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// A partitioned zone keeps working as long as its workers' leases are extended. A controller that
// cannot reach the leader therefore answers heartbeats in place of the leader, without commands,
// under the fencing token that the worker has seen. The leader keeps counting the tasks of a worker
// with missed heartbeats until no controller can have extended the worker's lease for the duration
// of a lease:
//
//   - The digests of a controller list the leases that it has extended, until the leader is known to
//     have received them. A digest that echoes a time of the leader's clock was created after that
//     time, so it reports all extensions until then.
//   - A controller that has restarted reports only the extensions of its current incarnation. An
//     earlier incarnation may have extended any lease until the first digest of the new one arrived.
//   - Nothing is known of a controller from which no digests arrive. Machines that stay silent then
//     count as terminated once the cloud confirms their return, and not by lease expiry.
//
// Workers that have not seen the leader's term are not covered: lease expiry does not apply to them,
// since a leader that has stepped down may extend their leases as well.

// leaseExtensions is the state of the leases that this controller has extended.
type leaseExtensions struct {
	leaderTerm        uint64                    // term of the leader that acknowledged extensions
	acknowledgedUntil time.Duration             // by this controller's clock: that leader has its digests until then
	unacknowledged    map[string]leaseExtension // by machine; extensions that the leader may not know of
}

// leaseExtension is the latest extension of a worker's lease.
type leaseExtension struct {
	at           time.Duration
	fencingToken uint64 // token under which it was extended
}

// maxExtensionLeases is how long a controller without contact with a leader extends leases, in worker
// leases. It is long enough to bridge the partition of a zone, and limits how long tasks that the
// leader cannot reach keep running.
const maxExtensionLeases = 12

// MaxExtensionTime returns how long a controller without contact with a leader extends leases.
func (m *Membership) MaxExtensionTime() time.Duration {
	return maxExtensionLeases * m.config.WorkerLease
}

// mayExtendLeases reports whether this controller may still extend leases without the leader.
func (m *Membership) mayExtendLeases() bool {
	return m.since(m.election.LeaderLastContact()) < m.MaxExtensionTime()
}

// ExtendLease records that this controller extends the lease of a worker, in place of the leader
// and under the fencing token that the worker has seen. It returns false if the lease must not be
// extended: the worker has not seen any term, or the last contact with a leader was too long ago.
func (m *Membership) ExtendLease(machine string, fencingToken uint64) bool {
	if fencingToken == 0 || !m.mayExtendLeases() {
		return false
	}
	last, extended := m.extensions.unacknowledged[machine]
	if !extended || m.since(last.at) > m.config.WorkerLease {
		m.log.Debug("leader unreachable; worker lease extended by this controller", "machine", machine)
	}
	m.extensions.unacknowledged[machine] = leaseExtension{
		at:           m.host.Now(),
		fencingToken: max(fencingToken, last.fencingToken),
	}
	return true
}

// RecordAcknowledgement removes the extensions that the leader, according to its digest, knows of.
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

// isAcknowledged reports whether the leader knows of an extension. An acknowledgement by a leader of
// an earlier term than the worker has seen is not sufficient: the leader of the later term has to
// know of the extension.
func (e *leaseExtensions) isAcknowledged(extension leaseExtension) bool {
	return extension.at < e.acknowledgedUntil && extension.fencingToken <= e.leaderTerm
}

// extendedLeases lists the unacknowledged extensions for a digest, in order of machine name.
func (m *Membership) extendedLeases() []wire.Kept {
	var list []wire.Kept
	for _, machine := range slices.Sorted(maps.Keys(m.extensions.unacknowledged)) {
		age := m.since(m.extensions.unacknowledged[machine].at)
		list = append(list, wire.Kept{Machine: machine, AgeMS: age.Milliseconds()})
	}
	return list
}

// extensionReports is the state of a peer's reports on the leases that it has extended.
type extensionReports struct {
	incarnation uint64        // of the peer; 0 before its first digest
	clock       time.Duration // by the peer's clock: when it created its newest digest
	// reportedUntil is a time by this controller's clock. The peer has listed all its
	// extensions until then.
	reportedUntil time.Duration
	// uncertainUntil is a time by this controller's clock. An earlier incarnation of the peer may
	// have extended any lease until then.
	uncertainUntil time.Duration
}

// recordExtensionReports records the time up to which a peer's digest reports its extensions.
func (m *Membership) recordExtensionReports(reports *extensionReports, digest *wire.Digest) {
	if digest.Boot != reports.incarnation {
		reports.uncertainUntil = m.host.Now()
		reports.incarnation, reports.clock = digest.Boot, 0
	}
	reports.clock = max(reports.clock, time.Duration(digest.Clock))
	if digest.EchoBoot == m.config.Incarnation {
		reports.reportedUntil = max(reports.reportedUntil, time.Duration(digest.Echo))
	}
}

// LeaseExpired reports, on the leader, whether the lease of a worker is guaranteed to have expired:
// no controller can have extended it for at least the time bound. lastRenewal is when the leader
// last renewed the lease or a peer is known to have last extended it, whichever is later.
func (m *Membership) LeaseExpired(lastRenewal, bound time.Duration) bool {
	spanBegin := lastRenewal
	for _, p := range m.peers {
		spanBegin = max(spanBegin, p.reports.uncertainUntil)
	}
	for _, p := range m.peers {
		if p.reports.incarnation == 0 || p.reports.reportedUntil < spanBegin+bound {
			return false
		}
	}
	return m.since(spanBegin) > bound
}
