package reconcile

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

var testTiming = Timing{
	WorkerLease:       20 * time.Second,
	HeartbeatInterval: 2 * time.Second,
	MaxLeaseExtension: 240 * time.Second,
}

// newHealthCheck creates a check long after the leader's records were loaded. No lease has expired.
func newHealthCheck() *HealthCheck {
	return &HealthCheck{
		Timing:          testTiming,
		Now:             time.Hour,
		RecordsLoadedAt: time.Minute,
		PartitionedAt:   map[string]time.Duration{},
		ZoneReachedAt:   map[string]time.Duration{},
		ZoneLost:        func(string) bool { return false },
		LeaseExpired:    func(*cluster.Machine) bool { return false },
	}
}

// newMachines creates machines of a zone, the first of which have been silent for the given time.
func newMachines(check *HealthCheck, zone string, count, silent int, silence time.Duration) []*cluster.Machine {
	machines := make([]*cluster.Machine, count)
	for i := range machines {
		machine := cluster.NewMachine(fmt.Sprintf("n-%s%d", zone, i), 0)
		machine.Zone = zone
		machine.HeartbeatController = "n0"
		machine.LastHeartbeat = check.Now
		if i < silent {
			machine.LastHeartbeat = check.Now - silence
		}
		machines[i] = machine
	}
	return machines
}

// TestPartitionedZones checks that a zone counts as partitioned when most of its machines are silent
// at once, and a small zone only if its controllers are unreachable too.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name          string
		count, silent int
		silence       time.Duration
		change        func(check *HealthCheck)
		want          bool
	}{
		{name: "most machines silent", count: 5, silent: 3, silence: 7 * time.Second, want: true},
		{name: "half of the machines silent", count: 6, silent: 3, silence: 7 * time.Second},
		{name: "all machines missed only one heartbeat", count: 5, silent: 5, silence: 5 * time.Second},
		{name: "small zone", count: 2, silent: 2, silence: 7 * time.Second},
		{
			name: "small zone whose controllers are unreachable", count: 2, silent: 2, silence: 7 * time.Second,
			change: func(check *HealthCheck) { check.ZoneLost = func(zone string) bool { return zone == "a" } },
			want:   true,
		},
		{
			name: "leases expired", count: 5, silent: 5, silence: 7 * time.Second,
			change: func(check *HealthCheck) { check.LeaseExpired = func(*cluster.Machine) bool { return true } },
		},
		{name: "silent for longer than leases are extended", count: 5, silent: 5, silence: 240 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := newHealthCheck()
			if tc.change != nil {
				tc.change(check)
			}
			machines := newMachines(check, "a", tc.count, tc.silent, tc.silence)
			machines = append(machines, newMachines(check, "b", 20, 0, 0)...)
			var want []string
			if tc.want {
				want = []string{"a"}
			}
			if got := check.PartitionedZones(check.CountSilent(machines)); !slices.Equal(got, want) {
				t.Errorf("partitioned zones: got %q, want %q", got, want)
			}
		})
	}
}

// TestUnhealthyReason checks why one machine among healthy ones is returned.
func TestUnhealthyReason(t *testing.T) {
	maxSilence := 2 * testTiming.LeaseExpiryBound()
	for _, tc := range []struct {
		name   string
		change func(check *HealthCheck, machine *cluster.Machine)
		want   cluster.DrainReason
	}{
		{"healthy", func(*HealthCheck, *cluster.Machine) {}, ""},
		{"silent for two leases", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence
		}, ""},
		{"silent for longer than two leases", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
		}, cluster.DrainSilent},
		{"silent, in a zone that was partitioned recently", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.PartitionedAt["a"] = check.Now - time.Second
		}, ""},
		{"silent since before this leader's term", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.RecordsLoadedAt = check.Now - time.Second
		}, ""},
		{"silent, like most machines", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.Now += 7 * time.Second // the others' last heartbeats are as old
		}, ""},
		{"probe failed, another machine has answered since", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 1
		}, cluster.DrainDead},
		{"probe failed, no machine has answered since", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 2
		}, ""},
		{"probe failed, most machines of the zone missed a heartbeat", func(check *HealthCheck, machine *cluster.Machine) {
			check.Now += testTiming.HeartbeatOverdueAfter() + 1 // the others' last heartbeats are as old
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 1
		}, ""},
		{"probe failed before the last heartbeat", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = machine.LastHeartbeat
			check.ZoneReachedAt["a"] = check.Now - 1
		}, ""},
		{"listed as failed", func(_ *HealthCheck, machine *cluster.Machine) {
			machine.ListedAs = wire.MachineFailed
		}, cluster.DrainListedFailed},
		{"lease expired twice", func(_ *HealthCheck, machine *cluster.Machine) { machine.LeaseExpiries = 2 }, ""},
		{"lease expired three times", func(_ *HealthCheck, machine *cluster.Machine) {
			machine.LeaseExpiries = 3
		}, cluster.DrainLeaseExpiries},
		{"unreachable for a lease", func(check *HealthCheck, machine *cluster.Machine) {
			machine.UnreachableSince = check.Now - testTiming.WorkerLease
		}, ""},
		{"unreachable for longer than a lease", func(check *HealthCheck, machine *cluster.Machine) {
			machine.UnreachableSince = check.Now - testTiming.WorkerLease - 1
		}, cluster.DrainUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := newHealthCheck()
			machines := newMachines(check, "a", 5, 0, 0)
			tc.change(check, machines[0])
			if got := check.UnhealthyReason(machines[0], check.CountSilent(machines)); got != tc.want {
				t.Errorf("unhealthy reason: got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestDetectUnreachable checks that a machine counts as unreachable for commands if its heartbeats
// arrive regularly but never list a task whose start is overdue.
func TestDetectUnreachable(t *testing.T) {
	now := time.Hour
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine, task *cluster.Task)
		want   bool
	}{
		{"task never listed", func(*cluster.Machine, *cluster.Task) {}, true},
		{"placed a moment ago", func(_ *cluster.Machine, task *cluster.Task) { task.PlacedAt = now - 8*time.Second }, false},
		{"heartbeat overdue", func(machine *cluster.Machine, _ *cluster.Task) { machine.LastHeartbeat = now - 4*time.Second }, false},
		{"delayed heartbeats arrived at once", func(machine *cluster.Machine, _ *cluster.Task) { machine.HeartbeatsRegularSince = now - 8*time.Second }, false},
		{"task listed", func(_ *cluster.Machine, task *cluster.Task) { task.Observed = true }, false},
		{"placement not persisted", func(_ *cluster.Machine, task *cluster.Task) { task.Persisted = false }, false},
		{"placed in an earlier term", func(_ *cluster.Machine, task *cluster.Task) { task.PlacedThisTerm = false }, false},
		{"already known to be unreachable", func(machine *cluster.Machine, _ *cluster.Task) { machine.UnreachableSince = time.Minute }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.LastHeartbeat, machine.HeartbeatsRegularSince = now-3*time.Second, time.Minute
			placement := placeTask(machine, newTestJob("job-101"), cluster.Task{
				Attempt: 1, Persisted: true, PlacedThisTerm: true, PlacedAt: now - 9*time.Second,
			})
			tc.change(machine, placement.Task())
			known := machine.UnreachableSince
			if got := DetectUnreachable(machine, placement.Task(), now, testTiming); got != tc.want {
				t.Errorf("DetectUnreachable: got %v, want %v", got, tc.want)
			}
			want := known
			if tc.want {
				want = now
			}
			if machine.UnreachableSince != want {
				t.Errorf("UnreachableSince: got %v, want %v", machine.UnreachableSince, want)
			}
		})
	}
}

// TestIsDead checks that a machine whose probe failed is not considered dead if a partition of its
// zone, of its controller or of this leader may explain its silence.
func TestIsDead(t *testing.T) {
	for _, tc := range []struct {
		name string
		// change makes other machines silent. The machine to check is the first of zoneA.
		change func(check *HealthCheck, zoneA, zoneB []*cluster.Machine)
		want   bool
	}{
		{"no other machine silent", func(*HealthCheck, []*cluster.Machine, []*cluster.Machine) {}, true},
		{"heartbeats of its zone missed", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for i, machine := range zoneA {
				machine.HeartbeatController = fmt.Sprintf("n%d", i)
			}
			missHeartbeat(check, zoneA[1:4])
		}, false},
		{"heartbeats through its controller missed", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for _, machine := range zoneB {
				machine.HeartbeatController = "n1"
			}
			for _, machine := range zoneB[:6] {
				machine.HeartbeatController = "n0"
			}
			missHeartbeat(check, zoneB[:6])
		}, false},
		{"heartbeats through another controller missed", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for _, machine := range zoneB {
				machine.HeartbeatController = "n1"
			}
			missHeartbeat(check, zoneB[:6])
		}, true},
		{"most machines silent", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for _, machine := range zoneB {
				machine.HeartbeatController = "n1"
				machine.LastHeartbeat = check.Now - testTiming.silentAfter() - 1
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := newHealthCheck()
			zoneA := newMachines(check, "a", 5, 1, testTiming.deadAfter()+1)
			zoneB := newMachines(check, "b", 20, 0, 0)
			zoneA[0].LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 1
			tc.change(check, zoneA, zoneB)
			counts := check.CountSilent(append(append([]*cluster.Machine{}, zoneA...), zoneB...))
			if got := check.IsDead(zoneA[0], counts); got != tc.want {
				t.Errorf("IsDead: got %v, want %v", got, tc.want)
			}
		})
	}
}

// missHeartbeat makes machines miss one heartbeat.
func missHeartbeat(check *HealthCheck, machines []*cluster.Machine) {
	for _, machine := range machines {
		machine.LastHeartbeat = check.Now - testTiming.HeartbeatOverdueAfter() - 1
	}
}
