// Package placement holds what a placement pass needs apart from the machines: the order in which
// jobs are tried, which tasks are equivalent, and what has been found not to fit. It knows no
// machines, no leader and no clock. The passes of package scheduler call it.
package placement

import (
	"cmp"
	"slices"
)

// Urgency orders the jobs that wait for machines.
type Urgency struct {
	Faulty        bool    // its tasks fail on every machine
	WithinQuota   bool    // it fits into its team's guarantee
	Priority      int     // priority level, higher first
	BestEffort    bool    // its team has no guarantee, and it has not waited too long
	Slack         float64 // seconds until it has to start to meet its deadline
	RemainingWork float64 // seconds of a task's work; 0 where that does not count
	Submission    uint64  // submission order
}

// Compare is negative if a comes before b: faulty jobs last, those within quota first, then by
// priority, best-effort jobs last, then by slack, the least work and submission.
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

// compareTrueFirst is negative if a is true and b is not.
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
