package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// HealthCheck determines which machines are silent, dead or unreachable at the time Now. The maps
// and functions belong to the leader; the check only reads them.
type HealthCheck struct {
	Timing
	Now             time.Duration
	RecordsLoadedAt time.Duration            // when this leader's records were loaded
	PartitionedAt   map[string]time.Duration // when a zone was last found partitioned, by zone
	ZoneReachedAt   map[string]time.Duration // when a machine of a zone last answered directly, by zone

	// ZoneLost reports whether a zone has controllers and none of them is reachable.
	ZoneLost func(zone string) bool
	// LeaseExpired reports whether a silent worker's lease is guaranteed to have expired.
	LeaseExpired func(machine *cluster.Machine) bool
}

// silenceCount counts the machines of a zone, or those whose last heartbeat came through one
// controller.
type silenceCount struct {
	expected int // machines from which heartbeats are expected
	overdue  int // machines that missed a heartbeat
	silent   int // machines that missed several, and whose leases are not known to have expired
}

// mostOverdue reports whether more than two machines, and more than half, missed a heartbeat.
func (c silenceCount) mostOverdue() bool { return isMajority(c.overdue, c.expected) }

// mostSilent reports whether more than two machines, and more than half, missed several heartbeats.
func (c silenceCount) mostSilent() bool { return isMajority(c.silent, c.expected) }

// isMajority reports whether part is more than half of all, and more than two.
func isMajority(part, all int) bool { return part > 2 && part*2 > all }

// SilenceCounts holds the numbers of silent machines by zone and by controller.
type SilenceCounts struct {
	byZone       map[string]silenceCount
	byController map[string]silenceCount
	// mostSilent is true if most machines of all zones are silent. A partition of this controller
	// is then more likely than the failure of the machines.
	mostSilent bool
}

// CountSilent counts the silent machines.
func (h *HealthCheck) CountSilent(machines []*cluster.Machine) *SilenceCounts {
	counts := &SilenceCounts{byZone: map[string]silenceCount{}, byController: map[string]silenceCount{}}
	silent, expected := 0, 0
	for _, machine := range machines {
		if !machine.HeartbeatExpected() {
			continue
		}
		expected++
		if h.countMachine(counts, machine) {
			silent++
		}
	}
	counts.mostSilent = isMajority(silent, expected)
	return counts
}

// countMachine adds a machine to the counts of its zone and controller, and reports whether it is
// silent.
func (h *HealthCheck) countMachine(counts *SilenceCounts, machine *cluster.Machine) (silent bool) {
	zone, controller := counts.byZone[machine.Zone], counts.byController[machine.HeartbeatController]
	zone.expected++
	controller.expected++
	silence := h.Now - max(machine.LastHeartbeat, machine.LastContact, h.RecordsLoadedAt)
	if silence > h.HeartbeatOverdueAfter() {
		zone.overdue++
		controller.overdue++
	}
	silent = silence > h.silentAfter()
	// A machine without a heartbeat in this term may still send its heartbeats to a leader of an
	// earlier term, so its lease is not checked.
	if silent && silence < h.MaxLeaseExtension && (machine.LastHeartbeat == 0 || !h.LeaseExpired(machine)) {
		zone.silent++
	}
	counts.byZone[machine.Zone], counts.byController[machine.HeartbeatController] = zone, controller
	return silent
}

// PartitionedZones lists, in no particular order, the zones that are partitioned from this
// controller. If most machines of a zone become silent at once, a partition is more likely than
// their failure, and the machines keep running under a controller in that zone. The same holds for
// a zone with only one or two machines if all of them are silent and none of its controllers is
// reachable.
func (h *HealthCheck) PartitionedZones(counts *SilenceCounts) []string {
	var partitioned []string
	for zone, count := range counts.byZone {
		allSilent := count.silent > 0 && count.silent == count.expected
		if count.mostSilent() || allSilent && h.ZoneLost(zone) {
			partitioned = append(partitioned, zone)
		}
	}
	return partitioned
}

// ProbeDue reports whether a machine is to be probed because its heartbeat is overdue.
func (h *HealthCheck) ProbeDue(machine *cluster.Machine) bool {
	if machine.LastHeartbeat != 0 && h.Now-machine.LastHeartbeat <= h.HeartbeatOverdueAfter() {
		return false
	}
	return machine.HeartbeatExpected() || machine.ListedAs == wire.MachineRunning
}

// maxLeaseExpiries is the number of lease expiries after which a machine is returned although its
// worker still responds.
const maxLeaseExpiries = 3

// UnhealthyReason returns why a machine is to be returned to the cloud; empty if it is healthy.
func (h *HealthCheck) UnhealthyReason(machine *cluster.Machine, counts *SilenceCounts) cluster.DrainReason {
	maxSilence := 2 * h.LeaseExpiryBound()
	if counts.mostSilent {
		maxSilence *= 2
	}
	switch {
	case h.IsDead(machine, counts):
		return cluster.DrainDead
	case machine.ListedAs == wire.MachineFailed:
		return cluster.DrainListedFailed
	case machine.HeartbeatExpected() && h.silence(machine) > maxSilence:
		return cluster.DrainSilent
	case machine.LeaseExpiries >= maxLeaseExpiries:
		return cluster.DrainLeaseExpiries
	case machine.UnreachableSince != 0 && h.Now-machine.UnreachableSince > h.WorkerLease:
		return cluster.DrainUnreachable
	}
	return ""
}

// silence returns the time since the last heartbeat or direct response of a machine. The time before
// this leader loaded its records, and before the zone was last found partitioned, does not count.
func (h *HealthCheck) silence(machine *cluster.Machine) time.Duration {
	return h.Now - max(machine.LastHeartbeat, machine.LastContact, h.RecordsLoadedAt, h.PartitionedAt[machine.Zone])
}

// IsDead reports whether a silent machine has failed, hangs, or is the only one partitioned: it does
// not answer this controller's probes, although other machines of its zone do, and it has had enough
// time to switch to another controller. Returning such a machine releases its tasks before its lease
// expires, no matter how many machines fail at once. Without these conditions, a leader that was
// partitioned from the workers returned those that took longest to switch controllers.
//
// A machine of a zone that has just been partitioned must not be considered dead only because its
// heartbeat was due slightly earlier than those of the other machines. By the time it would be
// considered dead, all machines of the zone have missed a heartbeat, so the machine is not
// considered dead while most machines of its zone are overdue. Without this rule, and with a
// heartbeat interval as long as workerFailoverTime, a third of a partitioned zone was returned
// before the zone counted as partitioned. The same rule applies to the machines whose last
// heartbeats came through the same controller, which may have become unreachable. It does not apply
// to the machines that have not sent a heartbeat to a new leader yet: when they were treated as such
// a group, machines that hung during a failover were considered dead only once their leases expired.
func (h *HealthCheck) IsDead(machine *cluster.Machine, counts *SilenceCounts) bool {
	probeFailed := machine.LastProbeFailure > max(machine.LastHeartbeat, h.RecordsLoadedAt)
	if !machine.HeartbeatExpected() || !probeFailed || h.silence(machine) <= h.deadAfter() {
		return false
	}
	zone, controller := counts.byZone[machine.Zone], counts.byController[machine.HeartbeatController]
	if counts.mostSilent || zone.mostOverdue() || machine.HeartbeatController != "" && controller.mostOverdue() {
		return false
	}
	return h.pathVerified(machine, zone.expected)
}

// pathVerified reports whether the network path to a silent machine works: another machine of its
// zone has answered since the failed probe. If the machine is the only one of its zone, an answer
// from any zone is sufficient, unless the zone's controllers are unreachable too.
func (h *HealthCheck) pathVerified(machine *cluster.Machine, machinesInZone int) bool {
	if machinesInZone > 1 {
		return h.ZoneReachedAt[machine.Zone] > machine.LastProbeFailure
	}
	for _, reachedAt := range h.ZoneReachedAt { // order does not matter: one is enough
		if reachedAt > machine.LastProbeFailure {
			return !h.ZoneLost(machine.Zone)
		}
	}
	return false
}
