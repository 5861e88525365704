package core

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// Boot times are usually 0.6 to 1.5 times the type's. A machine that takes longer may take several
// times as long: at lateBootFactor it is no longer counted on, so that another is provisioned in
// time, and much later it is returned, see package scalein.
const (
	slowBootFactor = 1.5
	lateBootFactor = bootlatency.LateFactor
)

// recordProvisioningLatency records the first heartbeat of a machine, if this leader requested it.
func (l *leader) recordProvisioningLatency(machine *cluster.Machine) {
	machineType := l.typeOf(machine)
	if machineType == nil || machine.ProvisionRequestedAt == 0 {
		return
	}
	latency := l.core.now - machine.ProvisionRequestedAt
	l.provisioningLatencies.RecordBoot(machine.ProvisioningKind(), l.core.now, latency, config.Seconds(machineType.BootS))
}

// bootTimeRatio is how many times its type's boot time a booting machine has taken; 0 for one that
// has booted or whose type is not known.
func (l *leader) bootTimeRatio(machine *cluster.Machine) float64 {
	machineType := l.core.machineTypes[machine.TypeName]
	if machineType == nil || machineType.BootS <= 0 || machine.LastHeartbeat != 0 {
		return 0
	}
	return (l.core.now - machine.CreatedAt).Seconds() / machineType.BootS
}

// willBeUsable reports whether a machine is usable or about to be. One that has just sent a
// heartbeat and will hear of this term by the answer to its next one counts: without it for that
// moment, a second machine was provisioned for the same work.
func (l *leader) willBeUsable(machine *cluster.Machine) bool {
	if machine.LastHeartbeat == 0 {
		return l.bootTimeRatio(machine) <= lateBootFactor
	}
	heardEarlierTerm := machine.FencingToken < l.leadership.Term
	return l.usable(machine) || heardEarlierTerm && l.core.now-machine.LastHeartbeat < 3*l.core.heartbeatInterval()
}
