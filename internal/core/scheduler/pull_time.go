package scheduler

import "github.com/brookwalk/brookwalk/internal/core/cluster"

// slowestPullFactor is the longest time that the pull of an image may take, relative to its usual
// time.
const slowestPullFactor = 4.0 / 3

// pullTime returns the usual time of a pull of a job's image on a machine, in seconds; 0 if the
// image is cached or the pull rate is not known.
func (s *Scheduler) pullTime(job *cluster.Job, machine *cluster.Machine) float64 {
	t := s.host.MachineType(machine)
	if t == nil || t.PullGBPerS <= 0 || machine.HasImage(job.Image) {
		return 0
	}
	return job.ImageGB / t.PullGBPerS
}

// pullTooSlow reports whether the pull of a job's image on a machine takes more than maxPullS
// seconds.
func (s *Scheduler) pullTooSlow(job *cluster.Job, machine *cluster.Machine, maxPullS float64) bool {
	if machine.HasImage(job.Image) {
		return false
	}
	t := s.host.MachineTypes()[machine.TypeName]
	return t != nil && job.ImageGB > maxPullS*t.PullGBPerS
}

// PullTooSlowEverywhere reports whether the pull of a job's image takes longer than maxPullTime
// allows on every machine type that the job may use.
func (s *Scheduler) PullTooSlowEverywhere(job *cluster.Job) bool {
	maxPullS := s.maxPullTime(job.Class)
	size := cluster.TaskSize(&job.Job)
	for _, t := range s.host.MachineTypes() { // the order does not matter: one suitable type is enough
		fits := cluster.AllowsType(&job.Job, t.Name) && cluster.TypeCapacity(t).Holds(size)
		if fits && job.ImageGB <= maxPullS*t.PullGBPerS {
			return false
		}
	}
	return true
}
