package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// TestNextStages plans while a job of one task runs that another of three tasks,
// which fill a machine and a half, awaits.
func TestNextStages(t *testing.T) {
	one := 1
	large := func(count int) []rental.Wanted {
		return []rental.Wanted{{Offer: offer("large", "a", false), Count: count}}
	}
	for _, tc := range []struct {
		name   string
		change func(l *leader, awaited, waiting *job)
		want   []rental.Wanted
	}{
		{
			name:   "the awaited job ends while a machine boots",
			change: func(l *leader, awaited, waiting *job) {},
			want:   []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:   "it runs for longer",
			change: func(l *leader, awaited, waiting *job) { awaited.EstimateS = 300 },
		},
		{
			name: "most of a long run is over",
			change: func(l *leader, awaited, waiting *job) {
				awaited.EstimateS = 300
				awaited.tasks[0].upAt = l.c.now - 280*time.Second
			},
			want: []rental.Wanted{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:   "it has no machine itself",
			change: func(l *leader, awaited, waiting *job) { awaited.placed = 0 },
		},
		{
			name: "it waits for another job",
			change: func(l *leader, awaited, waiting *job) {
				awaited.waits = true
				l.deps.Add(awaited.ID, []string{"job-3"})
			},
		},
		{
			name:   "one of two awaited jobs has no machine",
			change: func(l *leader, awaited, waiting *job) { l.deps.Add(waiting.ID, []string{"job-3"}) },
		},
		{
			name:   "the job is cancelled",
			change: func(l *leader, awaited, waiting *job) { waiting.cancellation.Request(0) },
		},
		{
			name:   "the team's limit",
			change: func(l *leader, awaited, waiting *job) { l.c.team("vision").CPUsMax = 4 },
			want:   large(1),
		},
		{
			name:   "the operators' bound on room in advance",
			change: func(l *leader, awaited, waiting *job) { l.c.op.WarmMachines = &one },
			want:   large(1),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newForecastLeader(t)
			awaited, waiting := nextStageJob("job-1", 1), nextStageJob("job-2", 3)
			awaited.placed, awaited.tasks[0].upAt = 1, l.c.now
			waiting.waits = true
			other := nextStageJob("job-3", 1)
			l.order = []*job{awaited, waiting, other}
			for _, j := range l.order {
				l.jobs[j.ID] = j
			}
			l.deps.Add(waiting.ID, []string{awaited.ID})
			tc.change(l, awaited, waiting)
			p := newRentalPlan(l)
			p.packNextStages(map[string]topology.Resources{})
			if got := wantedCounts(p); !slices.Equal(got, tc.want) {
				t.Errorf("rents %v, want %v", got, tc.want)
			}
		})
	}
}

// nextStageJob is a job whose tasks fill half of a large machine each and run for
// as long as it takes to boot.
func nextStageJob(id string, tasks int) *job {
	j := newJob(records.Open{Job: wire.Job{ID: id, Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		CPUs: 2, MemGB: 1, EstimateS: 60, Tasks: tasks}}, 1)
	j.loaded = true
	return j
}
