package core

import (
	"slices"
	"time"
)

// evaluationTime is about what the evaluation of a machine takes on a whole processor.
const evaluationTime = 100 * time.Nanosecond

// evaluationsTime is about how long evaluations of machines take on this controller.
func (l *leader) evaluationsTime(evaluations int) time.Duration {
	cpus := l.core.settings.Deployment.MachineLimits.CPU
	if cpus <= 0 || cpus > 1 {
		cpus = 1
	}
	return time.Duration(float64(evaluations) * float64(evaluationTime) / cpus)
}

// evaluationBudget bounds the evaluations of a pass: heartbeats are not answered meanwhile.
func (l *leader) evaluationBudget() int {
	return max(len(l.passes.machines), int(l.core.heartbeatInterval()/20/l.evaluationsTime(1)))
}

// resumeOrder puts the candidates that the last pass did not reach first.
func (l *leader) resumeOrder(candidates []*candidate) []*candidate {
	from := l.passes.resumeFrom
	l.passes.resumeFrom = nil
	at := slices.IndexFunc(candidates, func(c *candidate) bool { return c.job == from })
	if at <= 0 {
		return candidates
	}
	return append(slices.Clone(candidates[at:]), candidates[:at]...)
}
