// Package placement holds what a placement pass needs beside the machines: in which order jobs
// are tried, which tasks are alike, and what has been found not to fit. It knows no machines,
// no leader and no clock.
package placement

import (
	"cmp"
	"slices"
)

// Urgency orders the jobs that wait for room.
type Urgency struct {
	Faulty        bool    // it fails on every machine
	WithinQuota   bool    // within its team's guarantee
	Priority      int     // of the priority, higher first
	BestEffort    bool    // its team has no guarantee, and it has not waited too long
	Slack         float64 // how long it can still wait for its deadline, in seconds
	RemainingWork float64 // that it still has to run, in seconds of a task; 0 where that does not count
	Submission    uint64  // place among all jobs
}

// Compare is negative if a goes before b: faulty jobs last, within a guarantee first, then by
// priority, those of teams with a guarantee first, by deadline, the least work and submission.
func (a Urgency) Compare(b Urgency) int {
	return cmp.Or(
		compareTrueFirst(!a.Faulty, !b.Faulty),
		compareTrueFirst(a.WithinQuota, b.WithinQuota),
		cmp.Compare(b.Priority, a.Priority),
		compareTrueFirst(!a.BestEffort, !b.BestEffort),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.RemainingWork, b.RemainingWork),
		cmp.Compare(a.Submission, b.Submission),
	)
}

// compareTrueFirst is negative if a holds and b does not.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Sort orders candidates by their urgency; those that are equal keep their order.
func Sort[C any](candidates []C, urgency func(C) Urgency) {
	slices.SortStableFunc(candidates, func(a, b C) int { return urgency(a).Compare(urgency(b)) })
}
