// Package scalein decides which machines are returned to the cloud because nothing needs them: idle
// and drained ones, those with a preemption notice, those that do not boot, and those that the
// cloud no longer lists.
//
// The package owns these rules and no state: it reads package cluster, changes nothing, does no I/O
// and is given the time. The leader of package core asks for each machine at every tick and returns
// what is not needed; it also returns unhealthy machines, by rules of its own (health.go).
package scalein

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// MinBilledTime is the least time that the cloud charges for a machine.
const MinBilledTime = 60 * time.Second

// failedBootFactor times its type's boot time is when a machine has failed to boot.
const failedBootFactor = 4

// A silent machine is returned as unlisted once neither the list nor a heartbeat has shown it for
// that many times the lag of the list and the interval of the heartbeats.
const (
	unlistedLags       = 3
	unlistedHeartbeats = 3
)

// A Host answers what other parts of the leader know of a machine.
type Host interface {
	// BootTimeRatio is how many times its type's boot time a booting machine has taken; 0 for
	// one that has booted or whose type is not known.
	BootTimeRatio(machine *cluster.Machine) float64
	// MayBeHealthy reports whether a machine that failures were attributed to may turn out to be
	// healthy.
	MayBeHealthy(machine *cluster.Machine) bool
	// Planned reports whether the last scale-out plan uses a machine.
	Planned(machine *cluster.Machine) bool
}

// A Policy decides at one moment.
type Policy struct {
	Host              Host
	Now               time.Duration
	RecordsLoadedAt   time.Duration // when this leader began to decide
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration
	ListLag           time.Duration // how old the cloud's list may be
	MaxIdleTime       time.Duration // for which an empty machine is kept
}

// ReturnReason is why a machine is no longer needed; empty if it is needed.
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

// bootFailed reports whether a machine without a heartbeat is considered failed. A new leader has
// to give one that booted in an earlier term the time to send it a heartbeat. One that has
// placements did boot: another controller may have its heartbeats.
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

// UnlistedTooLong reports whether a machine that a whole reading of the list did not show is to be
// returned. A machine is listed until it is terminated, but lists may be old: its absence proves
// nothing, and the return makes it certain.
func (p *Policy) UnlistedTooLong(machine *cluster.Machine) bool {
	if machine.Returning {
		return false
	}
	listedAt := machine.ListedAt
	if listedAt == 0 && machine.LastHeartbeat == 0 && len(machine.Placements) > 0 {
		// One that only the records know existed before this leader: an earlier one may have
		// returned it when it could not record the ends of its tasks. Mistaken for a
		// partitioned one, it delayed those tasks for minutes.
		listedAt = p.RecordsLoadedAt
	}
	if listedAt == 0 {
		return false
	}
	return p.Now-listedAt > unlistedLags*p.ListLag && p.Now-machine.LastHeartbeat > unlistedHeartbeats*p.HeartbeatInterval
}
