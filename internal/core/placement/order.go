// Package placement holds the parts of a placement pass that do not depend on the machines: the
// order in which jobs are tried, the equivalence classes of tasks, and the cache of searches that
// found no fit. It has no access to machines, the leader or a clock. Package scheduler uses it in
// its passes.
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
	RemainingWork float64 // task-seconds left to run; 0 if they do not affect the order
	Submission    uint64  // submission order
}

// Compare returns a negative number if a comes before b. Faulty jobs come last and jobs within quota
// first; then the order is by priority, best-effort jobs last, then by slack, remaining work and
// submission.
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

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Sort sorts candidates by urgency. The sort is stable.
func Sort[C any](candidates []C, urgency func(C) Urgency) {
	slices.SortStableFunc(candidates, func(a, b C) int { return urgency(a).Compare(urgency(b)) })
}
