package scheduler

import (
	"slices"
	"time"
)

// evaluationTime is about what the evaluation of a machine takes on a whole processor.
const evaluationTime = 100 * time.Nanosecond

// Evaluations counts the machines that were evaluated so far: what the decisions cost, independent
// of any clock.
func (s *Scheduler) Evaluations() int { return s.evaluations }

// AddEvaluations adds evaluations that others have made after a pass.
func (s *Scheduler) AddEvaluations(n int) { s.evaluations += n }

// EvaluationTime is about how long evaluations of machines take on this controller.
func (s *Scheduler) EvaluationTime(evaluations int) time.Duration {
	cpus := s.deployment.MachineLimits.CPU
	if cpus <= 0 || cpus > 1 {
		cpus = 1
	}
	return time.Duration(float64(evaluations) * float64(evaluationTime) / cpus)
}

// EvaluationBudget bounds the evaluations of a pass: heartbeats are not answered meanwhile.
func (s *Scheduler) EvaluationBudget() int {
	return max(len(s.machines), int(s.heartbeatInterval()/20/s.EvaluationTime(1)))
}

// resumeOrder puts the candidates that the last pass did not reach first.
func (s *Scheduler) resumeOrder(candidates []*Candidate) []*Candidate {
	from := s.resumeFrom
	s.resumeFrom = nil
	at := slices.IndexFunc(candidates, func(c *Candidate) bool { return c.Job == from })
	if at <= 0 {
		return candidates
	}
	return append(slices.Clone(candidates[at:]), candidates[:at]...)
}
