package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// HealthCheck finds the machines that are silent, dead or unreachable at one moment. The maps
// and functions are the leader's; the check only reads them.
type HealthCheck struct {
	Timing
	Now             time.Duration
	RecordsLoadedAt time.Duration            // when this leader's records were loaded
	PartitionedAt   map[string]time.Duration // when a zone was last seen partitioned
	ZoneReachedAt   map[string]time.Duration // when a machine of a zone was last reached directly

	// ZoneLost reports whether a zone has controllers and none of them is heard.
	ZoneLost func(zone string) bool
	// LeaseExpired reports whether a silent worker's lease has certainly expired.
	LeaseExpired func(machine *cluster.Machine) bool
}

// silenceCount counts the machines of a zone, or those whose heartbeats came by one controller.
type silenceCount struct {
	expected int // machines of which heartbeats are expected
	overdue  int // that missed a heartbeat
	silent   int // that missed several, their leases not known to have expired
}

// mostOverdue reports whether most of the machines missed a heartbeat, and more than a few.
func (c silenceCount) mostOverdue() bool { return isMajority(c.overdue, c.expected) }

// mostSilent reports whether most of the machines missed several heartbeats, and more than a few.
func (c silenceCount) mostSilent() bool { return isMajority(c.silent, c.expected) }

// isMajority reports whether a part is more than half of all, and more than two.
func isMajority(part, all int) bool { return part > 2 && part*2 > all }

// SilenceSurvey is how many machines are silent at a moment, and where.
type SilenceSurvey struct {
	byZone       map[string]silenceCount
	byController map[string]silenceCount
	// mostSilent: a partition of this controller is more likely than the machines' death.
	mostSilent bool
}

// Survey counts the silent machines.
func (h *HealthCheck) Survey(machines []*cluster.Machine) *SilenceSurvey {
	survey := &SilenceSurvey{byZone: map[string]silenceCount{}, byController: map[string]silenceCount{}}
	silent, expected := 0, 0
	for _, machine := range machines {
		if !machine.HeartbeatExpected() {
			continue
		}
		expected++
		if h.count(survey, machine) {
			silent++
		}
	}
	survey.mostSilent = isMajority(silent, expected)
	return survey
}

// count adds a machine to a survey, and reports whether it is silent.
func (h *HealthCheck) count(survey *SilenceSurvey, machine *cluster.Machine) (silent bool) {
	zone, controller := survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController]
	zone.expected++
	controller.expected++
	silence := h.Now - max(machine.LastHeartbeat, machine.LastContact, h.RecordsLoadedAt)
	if silence > h.HeartbeatOverdueAfter() {
		zone.overdue++
		controller.overdue++
	}
	silent = silence > h.silentAfter()
	// The heartbeats of one that a new leader has not heard yet may go to a leader of an
	// earlier term.
	if silent && silence < h.MaxLeaseExtension && (machine.LastHeartbeat == 0 || !h.LeaseExpired(machine)) {
		zone.silent++
	}
	survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController] = zone, controller
	return silent
}

// PartitionedZones lists, in no order, the zones that are partitioned from this controller. Most
// machines of a zone at once are more likely partitioned, and run on under a controller there,
// than dead; so is a zone of a machine or two, if its controllers are unreachable along with all
// of them.
func (h *HealthCheck) PartitionedZones(survey *SilenceSurvey) []string {
	var partitioned []string
	for zone, count := range survey.byZone {
		allSilent := count.silent > 0 && count.silent == count.expected
		if count.mostSilent() || allSilent && h.ZoneLost(zone) {
			partitioned = append(partitioned, zone)
		}
	}
	return partitioned
}

// ProbeDue reports whether a machine's heartbeat is overdue, so that the machine is to be probed.
func (h *HealthCheck) ProbeDue(machine *cluster.Machine) bool {
	if machine.LastHeartbeat != 0 && h.Now-machine.LastHeartbeat <= h.HeartbeatOverdueAfter() {
		return false
	}
	return machine.HeartbeatExpected() || machine.ListedAs == wire.MachineRunning
}

// maxLeaseExpiries is how often a worker's lease may expire though the worker answers.
const maxLeaseExpiries = 3

// UnhealthyReason returns why a machine is to be returned; empty if it is not.
func (h *HealthCheck) UnhealthyReason(machine *cluster.Machine, survey *SilenceSurvey) cluster.DrainReason {
	maxSilence := 2 * h.LeaseExpiryBound()
	if survey.mostSilent {
		maxSilence *= 2
	}
	switch {
	case h.IsDead(machine, survey):
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

// silence is how long nothing was heard of a machine while it could have been.
func (h *HealthCheck) silence(machine *cluster.Machine) time.Duration {
	return h.Now - max(machine.LastHeartbeat, machine.LastContact, h.RecordsLoadedAt, h.PartitionedAt[machine.Zone])
}

// IsDead reports whether a silent machine is dead, hangs or is partitioned alone: it does not
// answer this controller either, though others of its zone do and it has had the time to find
// another controller. Its return frees its tasks sooner than its lease, however many fail at
// once. A leader that was partitioned from the workers once returned those that took longest to
// find another controller.
//
// A machine of a zone that has just been partitioned must not be mistaken for a dead one because
// its heartbeat was due a little earlier than the others': by the time it seems dead all of the
// zone has missed a heartbeat. With heartbeats as far apart as the workers' change of controllers
// takes, a third of a partitioned zone was returned before the zone counted as partitioned. The
// same holds for those whose heartbeats came by a controller which is now unreachable. Those that a
// new leader has not heard yet are not such a group, though all of them are silent: when they were
// treated as one, machines that hung at a failover were considered dead no sooner than their
// leases expired.
func (h *HealthCheck) IsDead(machine *cluster.Machine, survey *SilenceSurvey) bool {
	probeFailed := machine.LastProbeFailure > max(machine.LastHeartbeat, h.RecordsLoadedAt)
	if !machine.HeartbeatExpected() || !probeFailed || h.silence(machine) <= h.deadAfter() {
		return false
	}
	zone, controller := survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController]
	if survey.mostSilent || zone.mostOverdue() || machine.HeartbeatController != "" && controller.mostOverdue() {
		return false
	}
	return h.pathVerified(machine, zone.expected)
}

// pathVerified reports whether the network path to a silent machine works: another machine of
// its zone has answered since the probe that failed. Where it is the zone's only one, a machine
// of any zone counts, unless the zone's controllers are lost too.
func (h *HealthCheck) pathVerified(machine *cluster.Machine, machinesInZone int) bool {
	if machinesInZone > 1 {
		return h.ZoneReachedAt[machine.Zone] > machine.LastProbeFailure
	}
	for _, reachedAt := range h.ZoneReachedAt { // in any order: one suffices
		if reachedAt > machine.LastProbeFailure {
			return !h.ZoneLost(machine.Zone)
		}
	}
	return false
}
