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

// pendingCandidate is a job of team vision whose tasks all wait for room.
func pendingCandidate(spec wire.Job, tasks int) *candidate {
	spec.Team = "vision"
	c := &candidate{Job: &cluster.Job{Job: spec, TaskStates: make([]cluster.Task, tasks)}}
	for i := range tasks {
		c.Pending = append(c.Pending, i)
	}
	return c
}

// offer names an offer.
func offer(typ, zone string, spot bool) provisioning.Offer {
	return provisioning.Offer{Type: typ, Zone: zone, Spot: spot}
}

// shortfallsWithoutPurpose is what a plan wants rented, without what it is for.
func shortfallsWithoutPurpose(p *scaleOutPlan) []provisioning.Shortfall {
	var out []provisioning.Shortfall
	for _, w := range p.Shortfalls() {
		w.Purpose = ""
		out = append(out, w)
	}
	return out
}

// bootingMachine adds a machine that boots.
func bootingMachine(l *leader, name, typ, zone string) *cluster.Machine {
	m := l.machineNamed(name)
	l.describe(m, "", typ, zone, false)
	m.CreatedAt = l.core.now
	return m
}

// refuseZone has the cloud refuse all that it offers in a zone.
func refuseZone(l *leader, zone string) {
	for _, typ := range sortedKeys(l.core.machineTypes) {
		for _, spot := range []bool{false, true} {
			l.fleet.refusedUntil[offer(typ, zone, spot)] = l.core.now + time.Second
		}
	}
}

func TestScaleOutPlan(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(l *leader)
		cands []*candidate
		want  []provisioning.Shortfall
		used  []string
	}{
		{
			name:  "the cheapest offer per task, not per machine",
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1, AllowSpot: true}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", true), Count: 1}},
		},
		{
			name:  "no spot machines unless the job takes them",
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:  "tasks share a machine while it has room, then the zones take turns",
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 5)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 2}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a job in one zone",
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 5)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 3}},
		},
		{
			name:  "a job in one zone, in the zone that has room for all of it",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "b"); refuseZone(l, "b") },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 2}},
		},
		{
			name:  "a job in one zone, where the least has to be rented",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "b") },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
			used:  []string{"n-1"},
		},
		{
			name: "a job in one zone, in the one with most room where none has enough",
			setUp: func(l *leader) {
				bootingMachine(l, "n-1", "large", "b")
				refuseZone(l, "a")
				refuseZone(l, "b")
			},
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			used:  []string{"n-1"},
		},
		{
			name:  "a job in one zone, where it has a task",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "a"); bootingMachine(l, "n-2", "large", "a") },
			cands: []*candidate{func() *candidate {
				c := pendingCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)
				c.Job.TaskStates[0] = cluster.Task{Machine: &cluster.Machine{}, Zone: "b"}
				c.Job.TasksPlaced, c.Pending = 1, c.Pending[1:]
				return c
			}()},
			want: []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a machine that boots is used first",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "b") },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 3)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
			used:  []string{"n-1"},
		},
		{
			name: "the tightest machine is used",
			setUp: func(l *leader) {
				bootingMachine(l, "n-1", "large", "b")
				bootingMachine(l, "n-2", "small", "b")
			},
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			used:  []string{"n-2"},
		},
		{
			name:  "a cordoned machine is not used",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "b").DrainReason = "faulty" },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:  "a machine that boots too long is not counted on",
			setUp: func(l *leader) { bootingMachine(l, "n-1", "large", "b").CreatedAt -= 100 * time.Second },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "what is asked for is not asked for again",
			setUp: func(l *leader) {
				l.fleet.scaleOuts = []*scaleOutRequest{{message: wire.ProvisionRequest{Type: "large", Zone: "a", Count: 2}}}
			},
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 4)},
		},
		{
			name: "an offer that was refused lately",
			setUp: func(l *leader) {
				l.fleet.refusedUntil[offer("large", "a", false)] = l.core.now + time.Second
			},
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a zone that is cut off",
			setUp: func(l *leader) { l.fleet.partitionedAt["a"] = l.core.now },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "the team's limit",
			setUp: func(l *leader) { l.core.team("vision").CPUsMax = 4 },
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 10)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "a job that fails everywhere",
			cands: []*candidate{func() *candidate {
				c := pendingCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)
				c.Faulty = true
				return c
			}()},
		},
		{
			name:  "the first candidate's machines first",
			cands: []*candidate{pendingCandidate(wire.Job{CPUs: 4, MemGB: 1}, 1), pendingCandidate(wire.Job{CPUs: 1, MemGB: 1, AllowSpot: true}, 1)},
			want:  []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", true), Count: 1}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newForecastLeader(t)
			if tc.setUp != nil {
				tc.setUp(l)
			}
			p := newScaleOutPlan(l)
			p.packPending(tc.cands, map[string]topology.Resources{})
			if got := shortfallsWithoutPurpose(p); !slices.Equal(got, tc.want) {
				t.Errorf("rents %v, want %v", got, tc.want)
			}
			if got := slices.Sorted(maps.Keys(p.usedMachines())); !slices.Equal(got, tc.used) {
				t.Errorf("uses %v, want %v", got, tc.used)
			}
		})
	}
}

// TestRequestShortfalls asks for more than one request may name, and for more offers
// than the cloud's rate allows at once.
func TestRequestShortfalls(t *testing.T) {
	l := newForecastLeader(t)
	shortfalls := []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: maxMachinesPerRequest + 1}, {Offer: offer("large", "b", false), Count: 1}}
	l.requestShortfalls(shortfalls)
	if n := len(l.fleet.scaleOuts); n != 1 || l.fleet.scaleOuts[0].message.Count != maxMachinesPerRequest {
		t.Fatalf("%d requests, the first one %+v", n, l.fleet.scaleOuts[0].message)
	}
	if !l.passes.requested {
		t.Error("what is left is not planned again")
	}
	for range 2 * maxOpenScaleOuts {
		l.core.now += time.Second
		l.requestShortfalls(shortfalls)
	}
	if n := len(l.fleet.scaleOuts); n != maxOpenScaleOuts {
		t.Errorf("%d requests without an answer, at most %d allowed", n, maxOpenScaleOuts)
	}
}
