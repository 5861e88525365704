// Package scalein decides which machines are returned to the cloud because they are not needed:
// idle and drained machines, those with a preemption notice, those that fail to boot and those that
// the cloud no longer lists.
//
// The package owns these rules and no state: it reads package cluster, changes nothing, does no I/O
// and takes the time from its caller. The leader of package core evaluates the policy for each
// machine at every tick and returns the machines that are not needed. It also returns unhealthy
// machines, by separate rules in health.go.
package scalein

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// MinBilledTime is the minimum time that the cloud bills for a machine.
const MinBilledTime = 60 * time.Second

// failedBootFactor is the multiple of its type's boot time after which a machine has failed to boot.
const failedBootFactor = 4

// A machine is returned as unlisted once it has been absent from the cloud's list for longer than
// unlistedListLagFactor times the list's lag and has sent no heartbeat for longer than
// unlistedHeartbeatFactor heartbeat intervals.
const (
	unlistedListLagFactor   = 3
	unlistedHeartbeatFactor = 3
)

// A Host provides what other parts of the leader know about a machine.
type Host interface {
	// BootTimeRatio returns how long a machine has been booting, as a multiple of its type's boot
	// time; 0 if it has booted or its type is unknown.
	BootTimeRatio(machine *cluster.Machine) float64
	// MayBeHealthy reports whether a machine that is drained because tasks failed on it may
	// still turn out to be healthy.
	MayBeHealthy(machine *cluster.Machine) bool
	// Planned reports whether the last scale-out plan uses a machine.
	Planned(machine *cluster.Machine) bool
}

// A Policy decides which machines are returned at the time Now.
type Policy struct {
	Host              Host
	Now               time.Duration
	RecordsLoadedAt   time.Duration // when this leader loaded the records and began to schedule
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration
	ListLag           time.Duration // maximum age of the cloud's machine list
	MaxIdleTime       time.Duration // how long an empty machine is kept
}

// ReturnReason returns why a machine is no longer needed; empty if it is needed.
func (p *Policy) ReturnReason(machine *cluster.Machine) cluster.DrainReason {
	if machine.LastHeartbeat == 0 {
		if p.bootFailed(machine) {
			return cluster.DrainBootTimeout
		}
		return ""
	}
	switch {
	case len(machine.Placements) > 0:
		return ""
	case machine.DrainReason != "" && !p.Host.MayBeHealthy(machine):
		return machine.DrainReason
	case machine.PreemptionAt != 0:
		return cluster.DrainPreemptionNotice
	case machine.DrainReason == "" && p.idleTooLong(machine):
		return cluster.DrainIdle
	}
	return ""
}

// bootFailed reports whether a machine without a heartbeat has failed to boot. A new leader first
// waits for the duration of a worker lease, so that a machine that booted in an earlier term can
// send it a heartbeat. A machine with placements has booted, and its heartbeats may reach another
// controller.
func (p *Policy) bootFailed(machine *cluster.Machine) bool {
	return p.Host.BootTimeRatio(machine) > failedBootFactor &&
		p.Now-p.RecordsLoadedAt > p.WorkerLease &&
		len(machine.Placements) == 0 && machine.LastContact == 0
}

// idleTooLong reports whether an empty machine has been idle for long enough to be returned.
func (p *Policy) idleTooLong(machine *cluster.Machine) bool {
	if p.Host.Planned(machine) || p.Now-p.RecordsLoadedAt < p.MaxIdleTime {
		return false
	}
	return p.Now-machine.IdleSince >= p.MaxIdleTime && p.Now-machine.CreatedAt >= MinBilledTime
}

// UnlistedTooLong reports whether a machine that is missing from a complete read of the cloud's list
// has to be returned. The cloud lists a machine until it is terminated, but a list may be stale:
// absence does not prove termination, and the return ensures it.
func (p *Policy) UnlistedTooLong(machine *cluster.Machine) bool {
	if machine.Returning {
		return false
	}
	listedAt := machine.ListedAt
	if listedAt == 0 && machine.LastHeartbeat == 0 && len(machine.Placements) > 0 {
		// A machine known from the records alone dates from an earlier leader, which may have
		// returned it without being able to record that its tasks ended. Treated as
		// partitioned, such a machine delayed those tasks for minutes.
		listedAt = p.RecordsLoadedAt
	}
	if listedAt == 0 {
		return false
	}
	return p.Now-listedAt > unlistedListLagFactor*p.ListLag && p.Now-machine.LastHeartbeat > unlistedHeartbeatFactor*p.HeartbeatInterval
}
