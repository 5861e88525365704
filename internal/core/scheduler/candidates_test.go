package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// newBestEffortHarness has a team with a guarantee of GPUs and a best-effort team.
func newBestEffortHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, pullTypes, []config.Team{{Name: "vision", GPUs: 4, GPUsMax: 100}, {Name: "lab"}},
		config.Objective{Kind: ObjectiveFinished, Class: "sweep", WithinS: 300, Share: 0.9},
		config.Objective{Kind: ObjectiveWait, Class: "train", WithinS: 5, Share: 0.9},
		config.Objective{Kind: ObjectiveGuarantee, WithinS: 10, Share: 0.9})
}

// Where only GPUs are guaranteed, work without GPUs of a best-effort team once counted as
// guaranteed.
func TestBestEffortIsNeverWithinQuota(t *testing.T) {
	h := newBestEffortHarness(t)
	bestEffort := h.addArray("job-1", "lab", "scan", 8, 0)
	owner := h.addArray("job-2", "vision", "sweep", 4, 1)
	withoutGPUs := h.addArray("job-3", "vision", "sweep", 4, 0)
	h.markWithinQuota()
	for _, tc := range []struct {
		name string
		job  *cluster.Job
		want bool
	}{
		{"best effort", bestEffort, false},
		{"owner", owner, true},
		{"owner without GPUs", withoutGPUs, true},
	} {
		if tc.job.WithinQuota != tc.want {
			t.Errorf("%s: within quota %v, want %v", tc.name, tc.job.WithinQuota, tc.want)
		}
	}
}

// Best-effort jobs come last within their priority, except for the first task of an array that has
// waited for two minutes.
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
		t.Errorf("order %v, want %v", got, want)
	}
	h.state.Jobs["job-1"].WaitingSinceMS -= (maxStartWait + time.Second).Milliseconds()
	if got, want := order(), []string{"job-1", "job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("after two minutes: order %v, want %v", got, want)
	}
}

// Work within quota gets all of its room in one pass, other work a few tasks at a time.
func TestPreemptionLimit(t *testing.T) {
	h := newBestEffortHarness(t)
	candidate := candidateOf(h.addArray("job-1", "vision", "sweep", 60, 1))
	if n := h.preemptionLimit(candidate); n != maxPreemptionsPerPass {
		t.Errorf("room for %d tasks beyond quota", n)
	}
	candidate.WithinQuota = true
	if n := h.preemptionLimit(candidate); n != 60 {
		t.Errorf("room for %d tasks within quota", n)
	}
}

// A victim gets the grace period that the preempting job can wait for, and none if that alone makes
// the job late.
func TestPreemptionGrace(t *testing.T) {
	for _, tc := range []struct {
		name        string
		class       string
		imageGB     float64 // pulled at 1 GB/s; 0 if the machine holds it
		waited      time.Duration
		withinQuota bool
		want        float64
	}{
		{"no objective", "sweep", 0, 0, false, 3},
		{"a wait that a save does not put at risk", "train", 0, 0, false, 3},
		{"late by the save alone", "train", 2, 0, false, 0},
		{"late in any case", "train", 8, 0, false, 3},
		{"late already", "train", 0, 6 * time.Second, false, 3},
		{"a guarantee", "sweep", 7, 0, true, 0},
		{"a guarantee that a save does not put at risk", "sweep", 3, 0, true, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newBestEffortHarness(t)
			machine := h.addMachine("n-1", "g4", "a")
			victim := h.addArray("job-1", "lab", "scan", 1, 1)
			job := h.addArray("job-2", "vision", tc.class, 1, 1)
			job.Image, job.ImageGB, job.WithinQuota = "x", tc.imageGB, tc.withinQuota
			job.WaitingSinceMS -= tc.waited.Milliseconds()
			if got := h.preemptionGrace(job, machine, victim); got != tc.want {
				t.Errorf("%v s to save, want %v", got, tc.want)
			}
		})
	}
}

// A job's own priority counts at all times, an inherited one once time is short.
func TestPreemptionPriority(t *testing.T) {
	critical, idle := cluster.PriorityLevel[wire.PriorityCritical], cluster.PriorityLevel[wire.PriorityIdle]
	for _, tc := range []struct {
		name     string
		priority wire.Priority
		spareS   float64 // until the deadline, beside the estimated run of 30 s
		want     int
	}{
		{"its own, with time to spare", wire.PriorityCritical, 50, critical},
		{"its own, without", wire.PriorityCritical, 25, critical},
		{"inherited, with time to spare", wire.PriorityIdle, 50, idle},
		{"inherited, without", wire.PriorityIdle, 25, critical},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newBestEffortHarness(t)
			job := h.addArray("job-1", "vision", "sweep", 1, 1)
			job.Priority, job.Level, job.EstimatedRunS = tc.priority, critical, 30
			job.Deadline = float64(h.wallClockMS)/1000 + job.EstimatedRunS + tc.spareS
			if got := h.preemptionPriority(job); got != tc.want {
				t.Errorf("level %d, want %d", got, tc.want)
			}
		})
	}
}
