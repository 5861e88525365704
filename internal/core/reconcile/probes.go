package reconcile

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// CanProbe reports whether the state of a machine allows a probe to be sent to it now.
func CanProbe(machine *cluster.Machine, now time.Duration) bool {
	return machine.Address != "" && !machine.ProbeOpen && now >= machine.NextProbeAt && !machine.Returning
}

// BeginProbe records that a probe is sent to a machine now.
func BeginProbe(machine *cluster.Machine, now time.Duration, timing Timing) {
	machine.ProbeOpen = true
	machine.NextProbeAt = now + 2*timing.HeartbeatInterval
}

// BeginTermAnnouncement records that this term is being announced to a worker. No probe is sent to
// the worker in the meantime.
func BeginTermAnnouncement(machine *cluster.Machine) { machine.ProbeOpen = true }

// EndProbe records that a probe or an announcement has returned.
func EndProbe(machine *cluster.Machine) { machine.ProbeOpen = false }

// RecordProbeFailure records that the probe sent at the given time was not answered.
func RecordProbeFailure(machine *cluster.Machine, sentAt time.Duration) {
	machine.LastProbeFailure = sentAt
}

// ProbeReference returns the reference machine to probe after a silent machine did not answer its
// own probe; nil if there is none or if the path was verified recently. The reference has sent a
// heartbeat recently. Only if it answers its probe is the silent machine at fault, and not the
// network path to it.
//
// The reference is in the same zone, or in any zone if that zone has no other machine. Without the
// second case, the only machine of the leader's zone was considered dead only once its lease expired
// if the heartbeats of all other machines came through other controllers: nothing showed that any
// path worked.
func (h *HealthCheck) ProbeReference(silent *cluster.Machine, machines []*cluster.Machine) *cluster.Machine {
	aloneInZone := !slices.ContainsFunc(machines, func(machine *cluster.Machine) bool {
		return machine != silent && machine.Zone == silent.Zone && machine.HeartbeatExpected()
	})
	var reference *cluster.Machine // the one with the latest heartbeat
	for _, machine := range machines {
		if !aloneInZone && machine.Zone != silent.Zone || !CanProbe(machine, h.Now) {
			continue
		}
		if reference == nil || machine.LastHeartbeat > reference.LastHeartbeat {
			reference = machine
		}
	}
	if reference == nil || h.Now-reference.LastHeartbeat >= h.HeartbeatOverdueAfter() {
		return nil
	}
	if h.Now-h.ZoneReachedAt[reference.Zone] <= h.ProbeTimeout()/2 {
		return nil // the path was verified a moment ago
	}
	return reference
}
