package core

import (
	"slices"
	"time"
)

// evaluationTime is about what the evaluation of a machine takes on a whole processor.
const evaluationTime = 100 * time.Nanosecond

// evaluationsTime is about how long evaluations of machines take on this controller.
func (l *leader) evaluationsTime(evaluations int) time.Duration {
	cpu := l.core.settings.Deployment.MachineLimits.CPU
	if cpu <= 0 || cpu > 1 {
		cpu = 1
	}
	return time.Duration(float64(evaluations) * float64(evaluationTime) / cpu)
}

// evaluationBudget bounds a pass: reports are not answered meanwhile. What a pass
// does not come to is first in the next one.
func (l *leader) evaluationBudget() int {
	return max(len(l.passes.machines), int(l.core.heartbeatInterval()/20/l.evaluationsTime(1)))
}

// resumeOrder puts the candidates that the last pass did not come to first.
func (l *leader) resumeOrder(cands []*candidate) []*candidate {
	from := l.passes.resumeFrom
	l.passes.resumeFrom = nil
	at := slices.IndexFunc(cands, func(c *candidate) bool { return c.job == from })
	if at <= 0 {
		return cands
	}
	return append(slices.Clone(cands[at:]), cands[:at]...)
}
