package scheduler

import (
	"slices"
	"time"
)

// evaluationTime is the approximate time to evaluate a machine on a full CPU.
const evaluationTime = 100 * time.Nanosecond

// Evaluations returns how many machines have been evaluated so far. It measures the cost of the
// decisions without a clock.
func (s *Scheduler) Evaluations() int { return s.evaluations }

// AddEvaluations adds evaluations that callers made outside of a pass.
func (s *Scheduler) AddEvaluations(n int) { s.evaluations += n }

// EvaluationTime returns the approximate time that evaluations of machines take on this controller.
func (s *Scheduler) EvaluationTime(evaluations int) time.Duration {
	cpus := s.deployment.MachineLimits.CPU
	if cpus <= 0 || cpus > 1 {
		cpus = 1
	}
	return time.Duration(float64(evaluations) * float64(evaluationTime) / cpus)
}

// EvaluationBudget returns how many evaluations a pass may make: those of a twentieth of the
// heartbeat interval, because heartbeats are not answered during a pass, but at least one for each
// machine.
func (s *Scheduler) EvaluationBudget() int {
	return max(len(s.machines), int(s.heartbeatInterval()/20/s.EvaluationTime(1)))
}

// resumeOrder rotates the candidates so that those that the last pass did not reach come first.
func (s *Scheduler) resumeOrder(candidates []*Candidate) []*Candidate {
	from := s.resumeFrom
	s.resumeFrom = nil
	at := slices.IndexFunc(candidates, func(c *Candidate) bool { return c.Job == from })
	if at <= 0 {
		return candidates
	}
	return append(slices.Clone(candidates[at:]), candidates[:at]...)
}
