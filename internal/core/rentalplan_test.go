package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// planCandidate is a job of team vision whose tasks all wait for room.
func planCandidate(spec wire.Job, tasks int) *candidate {
	spec.Team = "vision"
	c := &candidate{job: &job{Job: spec, tasks: make([]task, tasks)}}
	for i := range tasks {
		c.pending = append(c.pending, i)
	}
	return c
}

// offer names an offer.
func offer(typ, zone string, spot bool) rental.Offer {
	return rental.Offer{Type: typ, Zone: zone, Spot: spot}
}

// wantedCounts is what a plan wants rented, without what it is for.
func wantedCounts(p *rentalPlan) []rental.Wanted {
	var out []rental.Wanted
	for _, w := range p.Wanted() {
		w.Purpose = ""
		out = append(out, w)
	}
	return out
}

// planMachine adds a machine that boots.
func planMachine(l *leader, name, typ, zone string) *machine {
	m := l.machine(name)
	l.describe(m, "", typ, zone, false)
	m.createdAt = l.c.now
	return m
}

// refuse has the cloud refuse all that it offers in a zone.
func refuse(l *leader, zone string) {
	for _, typ := range sortedKeys(l.c.types) {
		for _, spot := range []bool{false, true} {
			l.fleet.refused[offer(typ, zone, spot)] = l.c.now + time.Second
		}
	}
}

func TestRentalPlan(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(l *leader)
		cands []*candidate
		want  []rental.Wanted
		used  []string
	}{
		{
			name:  "the cheapest offer per task, not per machine",
			cands: []*candidate{planCandidate(wire.Job{CPUs: 1, MemGB: 1, Spot: true}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "a", true), Count: 1}},
		},
		{
			name:  "no spot machines unless the job takes them",
			cands: []*candidate{planCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:  "tasks share a machine while it has room, then the zones take turns",
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 5)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 2}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a job in one zone",
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 5)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 3}},
		},
		{
			name:  "a job in one zone, in the zone that has room for all of it",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "b"); refuse(l, "b") },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 2}},
		},
		{
			name:  "a job in one zone, where the least has to be rented",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "b") },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			want:  []rental.Wanted{{Offer: offer("large", "b", false), Count: 1}},
			used:  []string{"n-1"},
		},
		{
			name: "a job in one zone, in the one with most room where none has enough",
			setUp: func(l *leader) {
				planMachine(l, "n-1", "large", "b")
				refuse(l, "a")
				refuse(l, "b")
			},
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)},
			used:  []string{"n-1"},
		},
		{
			name:  "a job in one zone, where it has a task",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "a"); planMachine(l, "n-2", "large", "a") },
			cands: []*candidate{func() *candidate {
				c := planCandidate(wire.Job{CPUs: 2, MemGB: 1, OneZone: true}, 3)
				c.job.tasks[0] = task{machine: &machine{}, zone: "b"}
				c.job.placed, c.pending = 1, c.pending[1:]
				return c
			}()},
			want: []rental.Wanted{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a machine that boots is used first",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "b") },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 3)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}},
			used:  []string{"n-1"},
		},
		{
			name: "the tightest machine is used",
			setUp: func(l *leader) {
				planMachine(l, "n-1", "large", "b")
				planMachine(l, "n-2", "small", "b")
			},
			cands: []*candidate{planCandidate(wire.Job{CPUs: 1, MemGB: 1}, 1)},
			used:  []string{"n-2"},
		},
		{
			name:  "a cordoned machine is not used",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "b").drain = "faulty" },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name:  "a machine that boots too long is not counted on",
			setUp: func(l *leader) { planMachine(l, "n-1", "large", "b").createdAt -= 100 * time.Second },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "what is asked for is not asked for again",
			setUp: func(l *leader) {
				l.fleet.rents = []*rent{{req: wire.RentRequest{Type: "large", Zone: "a", Count: 2}}}
			},
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 4)},
		},
		{
			name: "an offer that was refused lately",
			setUp: func(l *leader) {
				l.fleet.refused[offer("large", "a", false)] = l.c.now + time.Second
			},
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "a zone that is cut off",
			setUp: func(l *leader) { l.fleet.cutAt["a"] = l.c.now },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:  "the team's limit",
			setUp: func(l *leader) { l.c.team("vision").CPUsMax = 4 },
			cands: []*candidate{planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 10)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}},
		},
		{
			name: "a job that fails everywhere",
			cands: []*candidate{func() *candidate {
				c := planCandidate(wire.Job{CPUs: 2, MemGB: 1}, 1)
				c.faulty = true
				return c
			}()},
		},
		{
			name:  "the first candidate's machines first",
			cands: []*candidate{planCandidate(wire.Job{CPUs: 4, MemGB: 1}, 1), planCandidate(wire.Job{CPUs: 1, MemGB: 1, Spot: true}, 1)},
			want:  []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", true), Count: 1}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newForecastLeader(t)
			if tc.setUp != nil {
				tc.setUp(l)
			}
			p := newRentalPlan(l)
			p.packPending(tc.cands, map[string]topology.Resources{})
			if got := wantedCounts(p); !slices.Equal(got, tc.want) {
				t.Errorf("rents %v, want %v", got, tc.want)
			}
			if got := slices.Sorted(maps.Keys(p.usedMachines())); !slices.Equal(got, tc.used) {
				t.Errorf("uses %v, want %v", got, tc.used)
			}
		})
	}
}

// TestRentPlanned asks for more than one request may name, and for more offers
// than the cloud's rate allows at once.
func TestRentPlanned(t *testing.T) {
	l := newForecastLeader(t)
	wanted := []rental.Wanted{{Offer: offer("large", "a", false), Count: maxRentCount + 1}, {Offer: offer("large", "b", false), Count: 1}}
	l.rentPlanned(wanted)
	if n := len(l.fleet.rents); n != 1 || l.fleet.rents[0].req.Count != maxRentCount {
		t.Fatalf("%d requests, the first one %+v", n, l.fleet.rents[0].req)
	}
	if !l.passes.requested {
		t.Error("what is left is not planned again")
	}
	for range 2 * maxOpenRents {
		l.c.now += time.Second
		l.rentPlanned(wanted)
	}
	if n := len(l.fleet.rents); n != maxOpenRents {
		t.Errorf("%d requests without an answer, at most %d allowed", n, maxOpenRents)
	}
}
