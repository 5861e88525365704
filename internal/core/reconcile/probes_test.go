package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// TestCanProbe checks that a machine gets one probe at a time, and the next one two heartbeat
// intervals later at the earliest.
func TestCanProbe(t *testing.T) {
	now := time.Hour
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine)
		want   bool
	}{
		{"never probed", func(*cluster.Machine) {}, true},
		{"its address is not known", func(machine *cluster.Machine) { machine.Address = "" }, false},
		{"being returned", func(machine *cluster.Machine) { machine.Returning = true }, false},
		{"a probe is open", func(machine *cluster.Machine) { BeginProbe(machine, now-time.Minute, testTiming) }, false},
		{"the term is being announced", BeginAnnouncement, false},
		{"probed a moment ago", func(machine *cluster.Machine) {
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
				t.Errorf("can probe %v, want %v", got, tc.want)
			}
		})
	}
}

// TestProbeReference checks which machine is probed when a silent one does not answer.
func TestProbeReference(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(check *HealthCheck, zoneA []*cluster.Machine, zoneB []*cluster.Machine)
		want   string
	}{
		{"the one of its zone that was heard last", func(*HealthCheck, []*cluster.Machine, []*cluster.Machine) {}, "n-a1"},
		{"not one that cannot be probed", func(_ *HealthCheck, zoneA, _ []*cluster.Machine) { zoneA[1].ProbeOpen = true }, "n-a2"},
		{"none whose heartbeat is overdue", func(check *HealthCheck, zoneA, _ []*cluster.Machine) {
			zoneA[1].LastHeartbeat = check.Now - time.Minute
			zoneA[2].LastHeartbeat = check.Now - time.Minute
		}, ""},
		{"none if the path worked just now", func(check *HealthCheck, _, _ []*cluster.Machine) {
			check.ZoneReachedAt["a"] = check.Now - check.ProbeTimeout()/2
		}, ""},
		{"any zone's if it is alone in its own", func(_ *HealthCheck, zoneA, _ []*cluster.Machine) {
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
			zoneA[0].ProbeOpen = true // it is the silent one
			tc.change(check, zoneA, zoneB)
			got := ""
			if reference := check.ProbeReference(zoneA[0], machines); reference != nil {
				got = reference.Name
			}
			if got != tc.want {
				t.Errorf("reference %q, want %q", got, tc.want)
			}
		})
	}
}
