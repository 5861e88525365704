package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPackDependents plans while a job of one task runs on which another one depends, whose three
// tasks fill a machine and a half.
func TestPackDependents(t *testing.T) {
	one := 1
	large := func(count int) []provisioning.Shortfall {
		return []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: count}}
	}
	for _, tc := range []struct {
		name   string
		change func(leader *leader, dependency, waiting *cluster.Job)
		want   []provisioning.Shortfall
	}{
		{
			name:   "the dependency ends while a machine boots",
			change: func(leader *leader, dependency, waiting *cluster.Job) {},
			want:   []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:   "it runs for longer",
			change: func(leader *leader, dependency, waiting *cluster.Job) { dependency.EstimatedRunS = 300 },
		},
		{
			name: "most of a long run is over",
			change: func(leader *leader, dependency, waiting *cluster.Job) {
				dependency.EstimatedRunS = 300
				dependency.TaskStates[0].RunningSince = leader.core.now - 280*time.Second
			},
			want: []provisioning.Shortfall{{Offer: offer("large", "a", false), Count: 1}, {Offer: offer("large", "b", false), Count: 1}},
		},
		{
			name:   "it has no machine itself",
			change: func(leader *leader, dependency, waiting *cluster.Job) { dependency.TasksPlaced = 0 },
		},
		{
			name: "it waits for another job",
			change: func(leader *leader, dependency, waiting *cluster.Job) {
				dependency.AwaitingDependencies = true
				leader.dependencies.Add(dependency.ID, []string{"job-3"})
			},
		},
		{
			name: "one of two dependencies has no machine",
			change: func(leader *leader, dependency, waiting *cluster.Job) {
				leader.dependencies.Add(waiting.ID, []string{"job-3"})
			},
		},
		{
			name:   "the job is cancelled",
			change: func(leader *leader, dependency, waiting *cluster.Job) { waiting.Cancellation.Request(0) },
		},
		{
			name:   "the team's limit",
			change: func(leader *leader, dependency, waiting *cluster.Job) { leader.core.team("vision").CPUsMax = 4 },
			want:   large(1),
		},
		{
			name: "the operators' bound on machines provisioned in advance",
			change: func(leader *leader, dependency, waiting *cluster.Job) {
				leader.core.operatorSettings.WarmMachines = &one
			},
			want: large(1),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			dependency, waiting := dependentJob("job-1", 1), dependentJob("job-2", 3)
			dependency.TasksPlaced, dependency.TaskStates[0].RunningSince = 1, leader.core.now
			waiting.AwaitingDependencies = true
			other := dependentJob("job-3", 1)
			leader.JobsBySubmission = []*cluster.Job{dependency, waiting, other}
			for _, job := range leader.JobsBySubmission {
				leader.Jobs[job.ID] = job
			}
			leader.dependencies.Add(waiting.ID, []string{dependency.ID})
			tc.change(leader, dependency, waiting)
			plan := newScaleOutPlan(leader)
			plan.packDependents(map[string]topology.Resources{})
			if got := shortfallsWithoutPurpose(plan); !slices.Equal(got, tc.want) {
				t.Errorf("provisions %v, want %v", got, tc.want)
			}
		})
	}
}

// dependentJob is a job whose tasks fill half of a large machine each and run for
// as long as it takes to boot.
func dependentJob(id string, tasks int) *cluster.Job {
	job := cluster.NewJob(records.Open{Job: wire.Job{
		ID: id, Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		CPUs: 2, MemGB: 1, EstimatedRunS: 60, Tasks: tasks,
	}}, 1)
	job.Loaded = true
	return job
}
