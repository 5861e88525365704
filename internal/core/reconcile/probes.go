package reconcile

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// CanProbe reports whether a probe may be sent to a machine now, as far as the machine goes.
func CanProbe(machine *cluster.Machine, now time.Duration) bool {
	return machine.Address != "" && !machine.ProbeOpen && now >= machine.NextProbeAt && !machine.Returning
}

// BeginProbe records that a probe is sent to a machine now.
func BeginProbe(machine *cluster.Machine, now time.Duration, timing Timing) {
	machine.ProbeOpen = true
	machine.NextProbeAt = now + 2*timing.HeartbeatInterval
}

// BeginAnnouncement records that this term is announced to a worker; no probe is sent meanwhile.
func BeginAnnouncement(machine *cluster.Machine) { machine.ProbeOpen = true }

// EndProbe records that a probe or an announcement has returned.
func EndProbe(machine *cluster.Machine) { machine.ProbeOpen = false }

// RecordProbeFailure records that a probe which was sent at a time got no answer.
func RecordProbeFailure(machine *cluster.Machine, sentAt time.Duration) {
	machine.LastProbeFailure = sentAt
}

// ProbeReference finds a machine to probe when a silent one does not answer its probe; nil if there
// is none to probe. Only if the reference, which was heard lately, does answer is the silent
// machine at fault, and not the network path to it. The reference is of the same zone, or of any if
// that zone has no other machine: the only machine of the leader's own zone was considered dead no
// sooner than its lease expired where the heartbeats of all others came by other controllers, since
// nothing showed that any path worked.
func (h *HealthCheck) ProbeReference(silent *cluster.Machine, machines []*cluster.Machine) *cluster.Machine {
	aloneInZone := !slices.ContainsFunc(machines, func(machine *cluster.Machine) bool {
		return machine != silent && machine.Zone == silent.Zone && machine.HeartbeatExpected()
	})
	var reference *cluster.Machine // the one heard last
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
		return nil // the path was verified just now
	}
	return reference
}
