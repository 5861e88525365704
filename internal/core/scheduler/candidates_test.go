package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// newBestEffortHarness creates a harness with a team that has a guarantee of GPUs and a best-effort
// team.
func newBestEffortHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, pullTypes, []config.Team{{Name: "vision", GPUs: 4, GPUsMax: 100}, {Name: "lab"}},
		config.Objective{Kind: ObjectiveFinished, Class: "sweep", WithinS: 300, Share: 0.9},
		config.Objective{Kind: ObjectiveWait, Class: "train", WithinS: 5, Share: 0.9},
		config.Objective{Kind: ObjectiveGuarantee, WithinS: 10, Share: 0.9})
}

// TestBestEffortIsNeverWithinQuota guards against jobs of a best-effort team counting as within
// quota: where only GPUs are guaranteed, its jobs without GPUs did.
func TestBestEffortIsNeverWithinQuota(t *testing.T) {
	h := newBestEffortHarness(t)
	bestEffort := h.addArray("job-1", "lab", "scan", 8, 0)
	guaranteed := h.addArray("job-2", "vision", "sweep", 4, 1)
	withoutGPUs := h.addArray("job-3", "vision", "sweep", 4, 0)
	h.markWithinQuota()
	for _, tc := range []struct {
		name string
		job  *cluster.Job
		want bool
	}{
		{"best effort", bestEffort, false},
		{"team with a guarantee", guaranteed, true},
		{"team with a guarantee, job without GPUs", withoutGPUs, true},
	} {
		if tc.job.WithinQuota != tc.want {
			t.Errorf("%s: within quota: got %v, want %v", tc.name, tc.job.WithinQuota, tc.want)
		}
	}
}

// TestBestEffortComesLast checks that best-effort jobs come last within their priority, except for
// the first task of an array whose start is overdue.
func TestBestEffortComesLast(t *testing.T) {
	h := newBestEffortHarness(t)
	h.addArray("job-1", "lab", "scan", 8, 0)
	h.addArray("job-2", "vision", "sweep", 90, 1) // beyond quota
	order := func() (ids []string) {
		for _, c := range h.Candidates() {
			ids = append(ids, c.Job.ID)
		}
		return ids
	}
	if got, want := order(), []string{"job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("order of candidates: got %v, want %v", got, want)
	}
	h.state.Jobs["job-1"].WaitingSinceMS -= (maxStartWait + time.Second).Milliseconds()
	if got, want := order(), []string{"job-1", "job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("order of candidates after maxStartWait: got %v, want %v", got, want)
	}
}

// TestMaxPreemptingTasks checks that a pass preempts for all tasks of a job within quota at once,
// but only for a few tasks of other jobs.
func TestMaxPreemptingTasks(t *testing.T) {
	h := newBestEffortHarness(t)
	candidate := candidateOf(h.addArray("job-1", "vision", "sweep", 60, 1))
	if n := h.maxPreemptingTasks(candidate); n != maxPreemptingTasksPerPass {
		t.Errorf("tasks to preempt for beyond quota: got %d, want maxPreemptingTasksPerPass", n)
	}
	candidate.WithinQuota = true
	if n := h.maxPreemptingTasks(candidate); n != 60 {
		t.Errorf("tasks to preempt for within quota: got %d, want 60", n)
	}
}

// TestPreemptionGrace checks that a victim gets a grace period unless the grace period alone makes
// the preempting job start too late.
func TestPreemptionGrace(t *testing.T) {
	for _, tc := range []struct {
		name        string
		class       string
		imageGB     float64 // pulled at 1 GB/s; 0 for no pull
		waited      time.Duration
		withinQuota bool
		want        float64
	}{
		{"no objective", "sweep", 0, 0, false, 3},
		{"in time even with the save", "train", 0, 0, false, 3},
		{"late only because of the save", "train", 2, 0, false, 0},
		{"late even without the save", "train", 8, 0, false, 3},
		{"already late", "train", 0, 6 * time.Second, false, 3},
		{"guarantee objective missed only because of the save", "sweep", 7, 0, true, 0},
		{"guarantee objective met even with the save", "sweep", 3, 0, true, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newBestEffortHarness(t)
			machine := h.addMachine("n-1", "g4", "a")
			victim := h.addArray("job-1", "lab", "scan", 1, 1)
			job := h.addArray("job-2", "vision", tc.class, 1, 1)
			job.Image, job.ImageGB, job.WithinQuota = "x", tc.imageGB, tc.withinQuota
			job.WaitingSinceMS -= tc.waited.Milliseconds()
			if got := h.preemptionGrace(job, machine, victim); got != tc.want {
				t.Errorf("grace period: got %v s, want %v s", got, tc.want)
			}
		})
	}
}

// TestPreemptionPriority checks that a job's own priority always counts, and an inherited one only
// when the job has little slack left.
func TestPreemptionPriority(t *testing.T) {
	critical, idle := cluster.PriorityLevel[wire.PriorityCritical], cluster.PriorityLevel[wire.PriorityIdle]
	for _, tc := range []struct {
		name     string
		priority wire.Priority
		spareS   float64 // slack: time until the deadline minus the estimated run of 30 s
		want     int
	}{
		{"own priority, much slack", wire.PriorityCritical, 50, critical},
		{"own priority, little slack", wire.PriorityCritical, 25, critical},
		{"inherited priority, much slack", wire.PriorityIdle, 50, idle},
		{"inherited priority, little slack", wire.PriorityIdle, 25, critical},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newBestEffortHarness(t)
			job := h.addArray("job-1", "vision", "sweep", 1, 1)
			job.Priority, job.Level, job.EstimatedRunS = tc.priority, critical, 30
			job.Deadline = float64(h.wallClockMS)/1000 + job.EstimatedRunS + tc.spareS
			if got := h.preemptionPriority(job); got != tc.want {
				t.Errorf("priority level: got %d, want %d", got, tc.want)
			}
		})
	}
}
