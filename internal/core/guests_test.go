package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// withGuests leads a fleet of g4 machines for a team with a guarantee of GPUs and one
// without any.
func withGuests(t *testing.T) (*harness, *leader) {
	b, l := leading(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUs: 4, GPUsMax: 100}, {Name: "guest"}}
		s.Deployment.Objectives = []config.Objective{
			{Kind: objectiveFinished, Class: "sweep", WithinS: 300, Share: 0.9},
			{Kind: objectiveWait, Class: "train", WithinS: 5, Share: 0.9},
			{Kind: objectiveGuarantee, WithinS: 10, Share: 0.9},
		}
	})
	b.c.types = fetchTypes
	b.c.now = 1000 * time.Second
	return b, l
}

// enter adds an array to the open jobs.
func enter(l *leader, id, team, class string, tasks int, gpus float64) *job {
	j := newJob(records.Open{Job: wire.Job{ID: id, Team: team, Class: class, Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 1, GPUs: gpus, MemGB: 1, EstimateS: 50, CheckpointS: 30, SaveS: 3}}, uint64(len(l.order)+1))
	j.loaded, j.since = true, l.c.wall
	l.layOut(j)
	l.jobs[id], l.order = j, append(l.order, j)
	return j
}

// Work without GPUs of a team that is guaranteed nothing, where only GPUs are guaranteed,
// once passed for work within a guarantee.
func TestGuestsHoldNoGuarantee(t *testing.T) {
	_, l := withGuests(t)
	guest := enter(l, "job-1", "guest", "scan", 8, 0)
	owner := enter(l, "job-2", "vision", "sweep", 4, 1)
	free := enter(l, "job-3", "vision", "sweep", 4, 0)
	l.guarantee()
	if guest.within || !owner.within || !free.within {
		t.Errorf("within their guarantee: guest %v, owner %v, owner without GPUs %v", guest.within, owner.within, free.within)
	}
}

// Guests come last within their priority, but the first task of an array that has waited
// for two minutes does not.
func TestGuestsComeLast(t *testing.T) {
	_, l := withGuests(t)
	enter(l, "job-1", "guest", "scan", 8, 0)
	enter(l, "job-2", "vision", "sweep", 90, 1) // beyond the guarantee
	order := func() (ids []string) {
		for _, c := range l.candidates() {
			ids = append(ids, c.job.ID)
		}
		return ids
	}
	if got, want := order(), []string{"job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	l.jobs["job-1"].since -= (beginWithin + time.Second).Milliseconds()
	if got, want := order(), []string{"job-1", "job-2", "job-1"}; !slices.Equal(got, want) {
		t.Errorf("after two minutes: order %v, want %v", got, want)
	}
}

// Work that is owed its room makes it in one pass; other work a few tasks at a time.
func TestMostPreemptions(t *testing.T) {
	_, l := withGuests(t)
	j := enter(l, "job-1", "vision", "sweep", 60, 1)
	c := &candidate{job: j, pending: j.unplacedTasks()}
	if n := l.mostPreemptions(c); n != maxPreemptions {
		t.Errorf("room for %d tasks beyond the guarantee", n)
	}
	if c.guaranteed = true; l.mostPreemptions(c) != 60 {
		t.Errorf("room for %d tasks within the guarantee", l.mostPreemptions(c))
	}
}

// Preempted work gets the time to save that its successor can wait, and no time if that
// alone makes the successor late.
func TestGraceFor(t *testing.T) {
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
			_, l := withGuests(t)
			m := idleMachine(l, "n-1", "g4", "a")
			victim := enter(l, "job-1", "guest", "scan", 1, 1)
			j := enter(l, "job-2", "vision", test.class, 1, 1)
			j.Image, j.ImageGB, j.within = "x", test.imageGB, test.within
			j.since -= test.waited.Milliseconds()
			if got := l.graceFor(j, m, victim); got != test.want {
				t.Errorf("%v s to save, want %v", got, test.want)
			}
		})
	}
}

// What fails everywhere is tried one task at a time and stops nothing.
func TestFaultyJobIsTriedAlone(t *testing.T) {
	_, l := withGuests(t)
	j := enter(l, "job-1", "vision", "sweep", 4, 1)
	m := idleMachine(l, "n-9", "g4", "a")
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		l.faults.Failed(j.ID, name)
	}
	cands := l.candidates()
	if len(cands) != 1 || len(cands[0].pending) != 1 || cands[0].guaranteed || cands[0].preemptionRank != 0 || !cands[0].faulty {
		t.Fatalf("candidates %+v", cands)
	}
	l.bindTasks(j, cands[0].pending, []*machine{m})
	if cands := l.candidates(); len(cands) != 0 {
		t.Errorf("another task is tried beside the first: %+v", cands[0])
	}
	j.tasks[0].state, j.tasks[0].upAt = wire.TaskRunning, l.c.now
	l.c.now += provenAfter * l.c.report()
	l.noteRunning(m.placed[0])
	if cands := l.candidates(); len(cands) != 1 || len(cands[0].pending) != 3 || cands[0].faulty {
		t.Errorf("after a start that went well: %+v", cands)
	}
}
