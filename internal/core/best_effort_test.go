package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// bestEffortLeader leads a fleet of g4 machines for a team with a guarantee of GPUs and one
// without any.
func bestEffortLeader(t *testing.T) (*harness, *leader) {
	b, l := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUs: 4, GPUsMax: 100}, {Name: "guest"}}
		s.Deployment.Objectives = []config.Objective{
			{Kind: objectiveFinished, Class: "sweep", WithinS: 300, Share: 0.9},
			{Kind: objectiveWait, Class: "train", WithinS: 5, Share: 0.9},
			{Kind: objectiveGuarantee, WithinS: 10, Share: 0.9},
		}
	})
	b.core.machineTypes = pullTypes
	b.core.now = 1000 * time.Second
	return b, l
}

// addArray adds an array to the open jobs.
func addArray(l *leader, id, team, class string, tasks int, gpus float64) *cluster.Job {
	j := cluster.NewJob(records.Open{Job: wire.Job{ID: id, Team: team, Class: class, Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 1, GPUs: gpus, MemGB: 1, EstimatedRunS: 50, CheckpointIntervalS: 30, CheckpointDurationS: 3}}, uint64(len(l.JobsBySubmission)+1))
	j.Loaded, j.WaitingSinceMS = true, l.core.wallClockMS
	l.writer.InitPlacementRecords(j)
	l.Jobs[id], l.JobsBySubmission = j, append(l.JobsBySubmission, j)
	return j
}

// Work without GPUs of a team that is guaranteed nothing, where only GPUs are guaranteed,
// once passed for work within a guarantee.
func TestBestEffortIsNeverWithinQuota(t *testing.T) {
	_, l := bestEffortLeader(t)
	guest := addArray(l, "job-1", "guest", "scan", 8, 0)
	owner := addArray(l, "job-2", "vision", "sweep", 4, 1)
	free := addArray(l, "job-3", "vision", "sweep", 4, 0)
	l.markWithinQuota()
	if guest.WithinQuota || !owner.WithinQuota || !free.WithinQuota {
		t.Errorf("within their guarantee: guest %v, owner %v, owner without GPUs %v", guest.WithinQuota, owner.WithinQuota, free.WithinQuota)
	}
}

// Guests come last within their priority, but the first task of an array that has waited
// for two minutes does not.
func TestBestEffortComesLast(t *testing.T) {
	_, leader := bestEffortLeader(t)
	addArray(leader, "job-1", "guest", "scan", 8, 0)
	addArray(leader, "job-2", "vision", "sweep", 90, 1) // beyond the guarantee
	order := func() (ids []string) {
		for _, c := range leader.candidates() {
			ids = append(ids, c.job.ID)
		}
		return ids
	}
	if got, want := order(), []string{"job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	leader.Jobs["job-1"].WaitingSinceMS -= (maxStartWait + time.Second).Milliseconds()
	if got, want := order(), []string{"job-1", "job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("after two minutes: order %v, want %v", got, want)
	}
}

// Work that is owed its room makes it in one pass; other work a few tasks at a time.
func TestPreemptionLimit(t *testing.T) {
	_, l := bestEffortLeader(t)
	j := addArray(l, "job-1", "vision", "sweep", 60, 1)
	c := &candidate{job: j, pending: j.UnplacedTasks()}
	if n := l.preemptionLimit(c); n != maxPreemptionsPerPass {
		t.Errorf("room for %d tasks beyond the guarantee", n)
	}
	if c.withinQuota = true; l.preemptionLimit(c) != 60 {
		t.Errorf("room for %d tasks within the guarantee", l.preemptionLimit(c))
	}
}

// Preempted work gets the time to save that its successor can wait, and no time if that
// alone makes the successor late.
func TestPreemptionGrace(t *testing.T) {
	for _, test := range []struct {
		name    string
		class   string
		imageGB float64 // fetched at 1 GB/s; 0 if the machine holds it
		waited  time.Duration
		within  bool
		want    float64
	}{
		{"no objective", "sweep", 0, 0, false, 3},
		{"a wait that a save does not endanger", "train", 0, 0, false, 3},
		{"late by the save alone", "train", 2, 0, false, 0},
		{"late in any case", "train", 8, 0, false, 3},
		{"late already", "train", 0, 6 * time.Second, false, 3},
		{"a guarantee", "sweep", 7, 0, true, 0},
		{"a guarantee that a save does not endanger", "sweep", 3, 0, true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, l := bestEffortLeader(t)
			m := idleMachine(l, "n-1", "g4", "a")
			victim := addArray(l, "job-1", "guest", "scan", 1, 1)
			j := addArray(l, "job-2", "vision", test.class, 1, 1)
			j.Image, j.ImageGB, j.WithinQuota = "x", test.imageGB, test.within
			j.WaitingSinceMS -= test.waited.Milliseconds()
			if got := l.preemptionGrace(j, m, victim); got != test.want {
				t.Errorf("%v s to save, want %v", got, test.want)
			}
		})
	}
}

// What fails everywhere is tried one task at a time and stops nothing.
func TestFaultyJobIsTriedAlone(t *testing.T) {
	_, leader := bestEffortLeader(t)
	job := addArray(leader, "job-1", "vision", "sweep", 4, 1)
	only := idleMachine(leader, "n-9", "g4", "a")
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		leader.outliers.RecordFailure(job.ID, name)
	}
	cands := leader.candidates()
	if len(cands) != 1 || len(cands[0].pending) != 1 || cands[0].withinQuota || cands[0].preemptionPriority != 0 || !cands[0].faulty {
		t.Fatalf("candidates %+v", cands)
	}
	leader.bindTasks(job, cands[0].pending, []*cluster.Machine{only})
	if cands := leader.candidates(); len(cands) != 0 {
		t.Errorf("another task is tried beside the first: %+v", cands[0])
	}
	job.TaskStates[0].State, job.TaskStates[0].RunningSince = wire.TaskRunning, leader.core.now
	leader.core.now += healthyAfterHeartbeats * leader.core.heartbeatInterval()
	leader.recordRunning(only.Placements[0])
	if cands := leader.candidates(); len(cands) != 1 || len(cands[0].pending) != 3 || cands[0].faulty {
		t.Errorf("after a start that went well: %+v", cands)
	}
}
