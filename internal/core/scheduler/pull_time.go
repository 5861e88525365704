package scheduler

import "github.com/brookwalk/brookwalk/internal/core/cluster"

// slowestPullFactor is how many times its usual time the pull of an image may take.
const slowestPullFactor = 4.0 / 3

// pullTime is how long the pull of a job's image usually takes on a machine, in seconds; 0 if the
// machine holds it.
func (s *Scheduler) pullTime(job *cluster.Job, machine *cluster.Machine) float64 {
	t := s.host.MachineType(machine)
	if t == nil || t.PullGBPerS <= 0 || machine.HasImage(job.Image) {
		return 0
	}
	return job.ImageGB / t.PullGBPerS
}

// pullTooSlow reports whether the pull of a job's image takes more than maxPullS seconds on a
// machine.
func (s *Scheduler) pullTooSlow(job *cluster.Job, machine *cluster.Machine, maxPullS float64) bool {
	if machine.HasImage(job.Image) {
		return false
	}
	t := s.host.MachineTypes()[machine.TypeName]
	return t != nil && job.ImageGB > maxPullS*t.PullGBPerS
}

// PullTooSlowEverywhere reports whether the pull of a job's image puts its wait at risk on every
// type of machine that the job may use.
func (s *Scheduler) PullTooSlowEverywhere(job *cluster.Job) bool {
	maxPullS := s.maxPullTime(job.Class)
	size := cluster.TaskSize(&job.Job)
	for _, t := range s.host.MachineTypes() { // in any order: one is enough
		fits := cluster.AllowsType(&job.Job, t.Name) && cluster.TypeCapacity(t).Holds(size)
		if fits && job.ImageGB <= maxPullS*t.PullGBPerS {
			return false
		}
	}
	return true
}
