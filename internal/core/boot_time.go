package core

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// Boot times are usually 0.6 to 1.5 times the boot time of the machine type. A machine that takes
// longer may take several times as long. From lateBootFactor on, plans no longer rely on it, so
// that another machine is provisioned in time. Much later it is returned, see package scalein.
const (
	slowBootFactor = 1.5
	lateBootFactor = bootlatency.LateFactor
)

// recordProvisioningLatency records how long a machine took from its request to its first
// heartbeat, if this leader requested the machine.
func (l *leader) recordProvisioningLatency(machine *cluster.Machine) {
	machineType := l.typeOf(machine)
	if machineType == nil || machine.ProvisionRequestedAt == 0 {
		return
	}
	latency := l.core.now - machine.ProvisionRequestedAt
	l.provisioningLatencies.RecordBoot(machine.ProvisioningKind(), l.core.now, latency, config.Seconds(machineType.BootS))
}

// bootTimeRatio returns how long a machine has been booting, as a multiple of its type's boot time;
// 0 if it has booted or its type is not known.
func (l *leader) bootTimeRatio(machine *cluster.Machine) float64 {
	machineType := l.core.machineTypes[machine.TypeName]
	if machineType == nil || machineType.BootS <= 0 || machine.LastHeartbeat != 0 {
		return 0
	}
	return (l.core.now - machine.CreatedAt).Seconds() / machineType.BootS
}

// willBeUsable reports whether a machine is usable now or soon. This includes a machine that has
// recently sent a heartbeat but has not reported this term's fencing token: it receives the token
// with the response to its next heartbeat. When such machines were left out, a second machine was
// provisioned for the same tasks.
func (l *leader) willBeUsable(machine *cluster.Machine) bool {
	if machine.LastHeartbeat == 0 {
		return l.bootTimeRatio(machine) <= lateBootFactor
	}
	termNotReported := machine.FencingToken < l.leadership.FirstToken
	return l.usable(machine) || termNotReported && l.core.now-machine.LastHeartbeat < 3*l.core.heartbeatInterval()
}
