package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// pendingCandidate is a job of team vision whose tasks are all pending.
func pendingCandidate(spec wire.Job, tasks int) *candidate {
	spec.Team = "vision"
	c := &candidate{Job: &cluster.Job{Job: spec, TaskStates: make([]cluster.Task, tasks)}}
	for i := range tasks {
		c.Pending = append(c.Pending, i)
	}
	return c
}

// offer names an offer.
func offer(machineType, zone string, spot bool) provisioning.Offer {
	return provisioning.Offer{Type: machineType, Zone: zone, Spot: spot}
}

// shortfallsWithoutPurpose is what a plan wants to provision, without the purposes.
func shortfallsWithoutPurpose(plan *scaleOutPlan) []provisioning.Shortfall {
	var out []provisioning.Shortfall
	for _, shortfall := range plan.Shortfalls() {
		shortfall.Purpose = ""
		out = append(out, shortfall)
	}
	return out
}

// bootingMachine adds a machine that boots.
func bootingMachine(leader *leader, name, machineType, zone string) *cluster.Machine {
	machine := leader.machineNamed(name)
	leader.describe(machine, "", machineType, zone, false)
	machine.CreatedAt = leader.core.now
	return machine
}

// refuse records that the cloud has refused an offer, for a second.
func refuse(leader *leader, offer provisioning.Offer) {
	leader.fleet.availability.RecordRefusal(offer, leader.core.now+time.Second)
}

// refuseType records that the cloud has refused all that it offers of a machine type in a zone.
func refuseType(leader *leader, machineType, zone string) {
	refuse(leader, offer(machineType, zone, false))
	refuse(leader, offer(machineType, zone, true))
}

// refuseZone records that the cloud has refused all that it offers in a zone.
func refuseZone(leader *leader, zone string) {
	for _, machineType := range sortedKeys(leader.core.machineTypes) {
		refuseType(leader, machineType, zone)
	}
}

// TestScaleOutPlan plans for pending tasks, from an empty fleet unless a case adds machines.
func TestScaleOutPlan(t *testing.T) {
	for _, tc := range []struct {
		name       string
		setUp      func(leader *leader)
		candidates []*candidate
		want       []provisioning.Shortfall
		used       []string
	}{
		{
			name:       "the cheapest offer per task, not per machine",
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1, AllowSpot: true}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", true), Count: 1}},
		},
		{
			name:       "no spot machines unless the job takes them",
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:       "tasks share a machine while it has capacity, then the zones alternate",
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 5)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 2}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:       "a job in one zone",
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 5)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 3}},
		},
		{
			name:       "a job in one zone, in the zone that has capacity for all of it",
			setUp:      func(leader *leader) { bootingMachine(leader, "n-1", "large", "b"); refuseZone(leader, "b") },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 2}},
		},
		{
			name:       "a job in one zone, where the least has to be provisioned",
			setUp:      func(leader *leader) { bootingMachine(leader, "n-1", "large", "b") },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
			used:       []string{"n-1"},
		},
		{
			name: "a job in one zone, in the one with most capacity where none has enough",
			setUp: func(leader *leader) {
				bootingMachine(leader, "n-1", "large", "b")
				refuseZone(leader, "a")
				refuseZone(leader, "b")
			},
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			used:       []string{"n-1"},
		},
		{
			name: "a job in one zone, where it has a task",
			setUp: func(leader *leader) {
				bootingMachine(leader, "n-1", "large", "a")
				bootingMachine(leader, "n-2", "large", "a")
			},
			candidates: []*candidate{func() *candidate {
				c := pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)
				c.Job.TaskStates[0] = cluster.Task{Machine: &cluster.Machine{}, Zone: "b"}
				c.Job.TasksPlaced, c.Pending = 1, c.Pending[1:]
				return c
			}()},
			want: []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:       "a machine that boots is used first",
			setUp:      func(leader *leader) { bootingMachine(leader, "n-1", "large", "b") },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 3)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
			used:       []string{"n-1"},
		},
		{
			name: "the tightest machine is used",
			setUp: func(leader *leader) {
				bootingMachine(leader, "n-1", "large", "b")
				bootingMachine(leader, "n-2", "small", "b")
			},
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			used:       []string{"n-2"},
		},
		{
			name:       "a cordoned machine is not used",
			setUp:      func(leader *leader) { bootingMachine(leader, "n-1", "large", "b").DrainReason = "faulty" },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:       "a machine that boots for too long is not counted on",
			setUp:      func(leader *leader) { bootingMachine(leader, "n-1", "large", "b").CreatedAt -= 100 * time.Second },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "what is requested is not requested again",
			setUp: func(leader *leader) {
				leader.fleet.requests.Replace([]provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 2}})
				leader.fleet.requests.Next(leader.core.now)
			},
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 4)},
		},
		{
			name:       "an offer that was refused lately",
			setUp:      func(leader *leader) { refuse(leader, offer("large", "a", false)) },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:       "a partitioned zone",
			setUp:      func(leader *leader) { leader.fleet.partitionedAt["a"] = leader.core.now },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:       "the team's limit",
			setUp:      func(leader *leader) { leader.core.team("vision").CPUsMax = 4 },
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 10)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "a job that fails everywhere",
			candidates: []*candidate{func() *candidate {
				c := pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)
				c.Faulty = true
				return c
			}()},
		},
		{
			name:       "the first candidate's machines first",
			candidates: []*candidate{pendingCandidate(wire.Job{CPUs: 4, MemGB: 1}, 1), pendingCandidate(wire.Job{CPUs: 1, MemGB: 1, AllowSpot: true}, 1)},
			want:       []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", true), Count: 1}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			if tc.setUp != nil {
				tc.setUp(leader)
			}
			plan := newScaleOutPlan(leader)
			plan.packPending(tc.candidates, map[string]topology.Resources{})
			if got := shortfallsWithoutPurpose(plan); !slices.Equal(got, tc.want) {
				t.Errorf("shortfalls %v, want %v", got, tc.want)
			}
			if got := slices.Sorted(maps.Keys(plan.usedMachines())); !slices.Equal(got, tc.used) {
				t.Errorf("uses %v, want %v", got, tc.used)
			}
		})
	}
}

// TestRequestShortfalls requests more than one request may ask for, and more than the cloud's rate
// allows at once.
func TestRequestShortfalls(t *testing.T) {
	leader := newForecastLeader(t)
	shortfalls := []provisioning.Shortfall{
		{Offer: offer("large", "a", false), Count: provisioning.MaxMachinesPerRequest + 1},
		{Offer: offer("large", "b", false), Count: 1},
	}
	leader.requestShortfalls(shortfalls)
	open := leader.fleet.requests.OpenRequests()
	if len(open) != 1 || open[0].Count != provisioning.MaxMachinesPerRequest {
		t.Fatalf("%d requests, the first one %+v", len(open), open[0])
	}
	if !leader.passes.requested {
		t.Error("the rest is not planned again")
	}
	for range 2 * provisioning.MaxOpenRequests {
		leader.core.now += time.Second
		leader.requestShortfalls(shortfalls)
	}
	if n := len(leader.fleet.requests.OpenRequests()); n != provisioning.MaxOpenRequests {
		t.Errorf("%d requests without an answer, at most %d allowed", n, provisioning.MaxOpenRequests)
	}
}
