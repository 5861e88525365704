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

// newHealthCheck makes a check long after the leader's records were loaded. No lease has expired.
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

// newMachines makes machines of a zone, the first of which have been silent for some time.
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

// TestPartitionedZones checks that a zone counts as partitioned when most of its machines are
// silent at once, and a small one only if its controllers are lost too.
func TestPartitionedZones(t *testing.T) {
	for _, tc := range []struct {
		name          string
		count, silent int
		silence       time.Duration
		change        func(check *HealthCheck)
		want          bool
	}{
		{name: "most are silent", count: 5, silent: 3, silence: 7 * time.Second, want: true},
		{name: "half are silent", count: 6, silent: 3, silence: 7 * time.Second},
		{name: "they only missed a heartbeat", count: 5, silent: 5, silence: 5 * time.Second},
		{name: "a small zone", count: 2, silent: 2, silence: 7 * time.Second},
		{
			name: "a small zone whose controllers are lost", count: 2, silent: 2, silence: 7 * time.Second,
			change: func(check *HealthCheck) { check.ZoneLost = func(zone string) bool { return zone == "a" } },
			want:   true,
		},
		{
			name: "their leases have expired", count: 5, silent: 5, silence: 7 * time.Second,
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
			if got := check.PartitionedZones(check.Survey(machines)); !slices.Equal(got, want) {
				t.Errorf("partitioned zones %q, want %q", got, want)
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
		{"silent for longer", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
		}, cluster.DrainSilent},
		{"silent, in a zone that was partitioned lately", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.PartitionedAt["a"] = check.Now - time.Second
		}, ""},
		{"silent since before this leader's term", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.RecordsLoadedAt = check.Now - time.Second
		}, ""},
		{"silent, while most machines are", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - maxSilence - 1
			check.Now += 7 * time.Second // the others' last heartbeats are as old
		}, ""},
		{"its probe failed, and another machine answered since", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 1
		}, cluster.DrainDead},
		{"its probe failed, and no machine answered since", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 2
		}, ""},
		{"its probe failed, while most machines of its zone miss a heartbeat", func(check *HealthCheck, machine *cluster.Machine) {
			check.Now += testTiming.HeartbeatOverdueAfter() + 1 // the others' last heartbeats are as old
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = check.Now - 2
			check.ZoneReachedAt["a"] = check.Now - 1
		}, ""},
		{"its probe failed before its last heartbeat", func(check *HealthCheck, machine *cluster.Machine) {
			machine.LastHeartbeat = check.Now - testTiming.deadAfter() - 1
			machine.LastProbeFailure = machine.LastHeartbeat
			check.ZoneReachedAt["a"] = check.Now - 1
		}, ""},
		{"listed as failed", func(_ *HealthCheck, machine *cluster.Machine) {
			machine.ListedAs = wire.MachineFailed
		}, cluster.DrainListedFailed},
		{"its lease expired twice", func(_ *HealthCheck, machine *cluster.Machine) { machine.LeaseExpiries = 2 }, ""},
		{"its lease expired three times", func(_ *HealthCheck, machine *cluster.Machine) {
			machine.LeaseExpiries = 3
		}, cluster.DrainLeaseExpiries},
		{"unreachable for a lease", func(check *HealthCheck, machine *cluster.Machine) {
			machine.UnreachableSince = check.Now - testTiming.WorkerLease
		}, ""},
		{"unreachable for longer", func(check *HealthCheck, machine *cluster.Machine) {
			machine.UnreachableSince = check.Now - testTiming.WorkerLease - 1
		}, cluster.DrainUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := newHealthCheck()
			machines := newMachines(check, "a", 5, 0, 0)
			tc.change(check, machines[0])
			if got := check.UnhealthyReason(machines[0], check.Survey(machines)); got != tc.want {
				t.Errorf("reason %q, want %q", got, tc.want)
			}
		})
	}
}

// TestDetectUnreachable checks that a machine whose heartbeats arrive regularly, while the start
// of a task never shows in them, counts as unreachable for commands.
func TestDetectUnreachable(t *testing.T) {
	now := time.Hour
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine, task *cluster.Task)
		want   bool
	}{
		{"the start does not show", func(*cluster.Machine, *cluster.Task) {}, true},
		{"placed a moment ago", func(_ *cluster.Machine, task *cluster.Task) { task.PlacedAt = now - 8*time.Second }, false},
		{"silent", func(machine *cluster.Machine, _ *cluster.Task) { machine.LastHeartbeat = now - 4*time.Second }, false},
		{"heartbeats that were held back", func(machine *cluster.Machine, _ *cluster.Task) { machine.RegularSince = now - 8*time.Second }, false},
		{"the start has shown", func(_ *cluster.Machine, task *cluster.Task) { task.Observed = true }, false},
		{"the placement is not on record", func(_ *cluster.Machine, task *cluster.Task) { task.Persisted = false }, false},
		{"placed in an earlier term", func(_ *cluster.Machine, task *cluster.Task) { task.PlacedThisTerm = false }, false},
		{"known already", func(machine *cluster.Machine, _ *cluster.Task) { machine.UnreachableSince = time.Minute }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.LastHeartbeat, machine.RegularSince = now-3*time.Second, time.Minute
			placement := placeTask(machine, newTestJob("job-101"), cluster.Task{
				Attempt: 1, Persisted: true, PlacedThisTerm: true, PlacedAt: now - 9*time.Second,
			})
			tc.change(machine, placement.Task())
			known := machine.UnreachableSince
			if got := DetectUnreachable(machine, placement.Task(), now, testTiming); got != tc.want {
				t.Errorf("detected %v, want %v", got, tc.want)
			}
			want := known
			if tc.want {
				want = now
			}
			if machine.UnreachableSince != want {
				t.Errorf("unreachable since %v, want %v", machine.UnreachableSince, want)
			}
		})
	}
}

// TestDeadAmongOthers checks that a machine whose probe failed is not considered dead while its
// silence may be that of its zone, of its controller or of this leader's network.
func TestDeadAmongOthers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// change sets who else is silent: the machine is the first of zoneA.
		change func(check *HealthCheck, zoneA, zoneB []*cluster.Machine)
		want   bool
	}{
		{"it alone is silent", func(*HealthCheck, []*cluster.Machine, []*cluster.Machine) {}, true},
		{"its zone misses heartbeats", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for i, machine := range zoneA {
				machine.HeartbeatController = fmt.Sprintf("n%d", i)
			}
			missHeartbeat(check, zoneA[1:4])
		}, false},
		{"its controller's machines miss heartbeats", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for _, machine := range zoneB {
				machine.HeartbeatController = "n1"
			}
			for _, machine := range zoneB[:6] {
				machine.HeartbeatController = "n0"
			}
			missHeartbeat(check, zoneB[:6])
		}, false},
		{"another controller's machines miss heartbeats", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
			for _, machine := range zoneB {
				machine.HeartbeatController = "n1"
			}
			missHeartbeat(check, zoneB[:6])
		}, true},
		{"most machines are silent", func(check *HealthCheck, zoneA, zoneB []*cluster.Machine) {
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
			survey := check.Survey(append(append([]*cluster.Machine{}, zoneA...), zoneB...))
			if got := check.IsDead(zoneA[0], survey); got != tc.want {
				t.Errorf("dead %v, want %v", got, tc.want)
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
