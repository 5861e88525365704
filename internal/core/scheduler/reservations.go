package scheduler

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// reserve reserves machines for a job for graceS seconds plus three heartbeat intervals, so that the
// tasks that are being stopped there can end. A machine is listed once for each of the job's tasks
// for which it is reserved.
func (s *Scheduler) reserve(job *cluster.Job, machines []*cluster.Machine, graceS float64) {
	job.ReservedMachines = nil
	for _, m := range machines {
		m.ReservedFor, m.ReservedTasks = job, 0
		if !slices.Contains(job.ReservedMachines, m) {
			job.ReservedMachines = append(job.ReservedMachines, m)
		}
	}
	until := s.host.Now() + time.Duration(graceS*float64(time.Second)) + 3*s.heartbeatInterval()
	for _, m := range machines {
		m.ReservedTasks++
		m.ReservedUntil = until
	}
}

// ReservedTasks returns the number of tasks of a job for which machines are reserved.
func (s *Scheduler) ReservedTasks(job *cluster.Job) int {
	n := 0
	for _, m := range job.ReservedMachines {
		if m.ReservedFor == job && s.host.Now() < m.ReservedUntil {
			n += m.ReservedTasks
		}
	}
	return n
}
