package core

import (
	"slices"
	"time"
)

// evaluationTime is about what the evaluation of a machine takes on a whole processor.
const evaluationTime = 100 * time.Nanosecond

// timeFor is about how long evaluations of machines take on this controller.
func (l *leader) timeFor(evaluations int) time.Duration {
	cpu := l.c.cfg.Deployment.Limits.CPU
	if cpu <= 0 || cpu > 1 {
		cpu = 1
	}
	return time.Duration(float64(evaluations) * float64(evaluationTime) / cpu)
}

// passBudget bounds a pass: reports are not answered meanwhile. What a pass
// does not come to is first in the next one.
func (l *leader) passBudget() int {
	return max(len(l.passes.leaves), int(l.c.report()/20/l.timeFor(1)))
}

// resumed puts the candidates that the last pass did not come to first.
func (l *leader) resumed(cands []*candidate) []*candidate {
	from := l.passes.resume
	l.passes.resume = nil
	at := slices.IndexFunc(cands, func(c *candidate) bool { return c.job == from })
	if at <= 0 {
		return cands
	}
	return append(slices.Clone(cands[at:]), cands[:at]...)
}
