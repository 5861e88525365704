package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// TestCanProbe checks that a machine is sent one probe at a time, at least two heartbeat intervals
// apart.
func TestCanProbe(t *testing.T) {
	now := time.Hour
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine)
		want   bool
	}{
		{"never probed", func(*cluster.Machine) {}, true},
		{"address unknown", func(machine *cluster.Machine) { machine.Address = "" }, false},
		{"being returned", func(machine *cluster.Machine) { machine.Returning = true }, false},
		{"probe in progress", func(machine *cluster.Machine) { BeginProbe(machine, now-time.Minute, testTiming) }, false},
		{"term announcement in progress", BeginTermAnnouncement, false},
		{"probed less than two intervals ago", func(machine *cluster.Machine) {
			BeginProbe(machine, now-2*testTiming.HeartbeatInterval+1, testTiming)
			EndProbe(machine)
		}, false},
		{"probed two intervals ago", func(machine *cluster.Machine) {
			BeginProbe(machine, now-2*testTiming.HeartbeatInterval, testTiming)
			EndProbe(machine)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.Address = "10.1.0.1:9000"
			tc.change(machine)
			if got := CanProbe(machine, now); got != tc.want {
				t.Errorf("CanProbe: got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestProbeReference checks which machine is probed after a silent one did not answer its probe.
func TestProbeReference(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(check *HealthCheck, zoneA []*cluster.Machine, zoneB []*cluster.Machine)
		want   string
	}{
		{"machine of its zone with the latest heartbeat", func(*HealthCheck, []*cluster.Machine, []*cluster.Machine) {}, "n-a1"},
		{"machine that cannot be probed is skipped", func(_ *HealthCheck, zoneA, _ []*cluster.Machine) { zoneA[1].ProbeOpen = true }, "n-a2"},
		{"none if all heartbeats of the zone are overdue", func(check *HealthCheck, zoneA, _ []*cluster.Machine) {
			zoneA[1].LastHeartbeat = check.Now - time.Minute
			zoneA[2].LastHeartbeat = check.Now - time.Minute
		}, ""},
		{"none if the path was verified a moment ago", func(check *HealthCheck, _, _ []*cluster.Machine) {
			check.ZoneReachedAt["a"] = check.Now - check.ProbeTimeout()/2
		}, ""},
		{"machine of another zone if it is the only one of its zone", func(_ *HealthCheck, zoneA, _ []*cluster.Machine) {
			zoneA[1].LastHeartbeat, zoneA[2].LastHeartbeat = 0, 0
		}, "n-b0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := newHealthCheck()
			zoneA, zoneB := newMachines(check, "a", 3, 1, time.Minute), newMachines(check, "b", 1, 0, 0)
			zoneA[2].LastHeartbeat -= time.Second
			machines := append(append([]*cluster.Machine{}, zoneA...), zoneB...)
			for _, machine := range machines {
				machine.Address = "10.1.0.1:9000"
			}
			zoneA[0].ProbeOpen = true // the silent machine
			tc.change(check, zoneA, zoneB)
			got := ""
			if reference := check.ProbeReference(zoneA[0], machines); reference != nil {
				got = reference.Name
			}
			if got != tc.want {
				t.Errorf("probe reference: got %q, want %q", got, tc.want)
			}
		})
	}
}
