package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// recordTaskFailure takes in that a task failed on a machine. Package faults tells which of the
// two is the cause. After a first failure a machine is only avoided where there is a
// choice; a job that fails on several waits longer and longer.
func (l *leader) recordTaskFailure(job *cluster.Job, machine *cluster.Machine) {
	faulty := l.outliers.JobFaulty(job.ID)
	l.outliers.RecordFailure(job.ID, machine.Name)
	if !faulty && l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job fails on every machine", "job", job.ID, "class", job.Class, "machines", l.outliers.FailedMachineCount(job.ID))
	}
	if l.outliers.FailedMachineCount(job.ID) < 2 {
		job.RetryAt = l.core.now + l.core.heartbeatInterval()/5
	} else {
		if l.core.now >= job.RetryAt { // tasks that fail together are one failure
			job.ConsecutiveFailures++
		}
		job.RetryAt = l.core.now + min(time.Second<<min(job.ConsecutiveFailures, 6), 2*l.core.workerLease())
	}
	l.evaluateMachine(machine)
}

// healthyAfterHeartbeats is for how long a task has to run, in reports, before its start counts as
// one that went well: one that fails may be seen to run for a moment.
const healthyAfterHeartbeats = 2

// recordRunning takes in that a report shows a task running.
func (l *leader) recordRunning(ref cluster.TaskReference) {
	t := ref.Task()
	if t.PlacedThisTerm && !t.StartedHealthy && l.core.now-t.RunningSince >= healthyAfterHeartbeats*l.core.heartbeatInterval() {
		l.recordSuccess(ref)
	}
}

// recordSuccess notes that a task started well or is done.
func (l *leader) recordSuccess(ref cluster.TaskReference) {
	t := ref.Task()
	t.StartedHealthy = true
	if l.outliers.JobFaulty(ref.Job.ID) {
		l.core.log.Info("job does well after all", "job", ref.Job.ID)
	}
	l.outliers.RecordSuccess(ref.Job.ID, t.Machine.Name)
	ref.Job.ConsecutiveFailures = 0
}

// tickOutliers judges the machines on which something failed: what their jobs do elsewhere
// meanwhile speaks for or against them.
func (l *leader) tickOutliers() {
	for _, name := range l.outliers.MachinesWithFailures() {
		if m := l.Machines[name]; m != nil {
			l.evaluateMachine(m)
		}
	}
}

// evaluateMachine cordons a machine that fails tasks, and takes that back where the jobs
// turn out to be the cause.
func (l *leader) evaluateMachine(m *cluster.Machine) {
	switch faulty := l.outliers.MachineFaulty(m.Name); {
	case faulty:
		l.cordon(m, cluster.DrainOutlier)
	case m.DrainReason == cluster.DrainOutlier && !m.Evicting && !m.Returning && !l.fleet.pendingReturns[m.Name]:
		l.core.log.Info("machine uncordoned", "machine", m.Name, "why", "the jobs that failed there fail elsewhere")
		m.DrainReason = ""
	}
}

// throttleFaultyJob is what of a faulty job may be tried now: one task at a time, so that it
// holds next to nothing until its user cancels it, and is still found to do well if it
// does.
func (l *leader) throttleFaultyJob(j *cluster.Job, pending []int) []int {
	if j.Shape == wire.ShapeGang {
		return pending
	}
	for i := range j.TaskStates {
		if t := &j.TaskStates[i]; t.Machine != nil && !t.StartedHealthy {
			return nil
		}
	}
	return pending[:1]
}

// cordon stops a machine from taking tasks; it is returned once empty. What
// runs there goes on: a machine that fails new tasks may well serve old ones,
// and stopping a replica before another place holds its image costs more.
func (l *leader) cordon(m *cluster.Machine, reason cluster.DrainReason) {
	if m.DrainReason == "" {
		l.core.log.Info("machine cordoned", "machine", m.Name, "why", reason)
		m.DrainReason, m.DrainedAt = reason, l.core.now
	}
}

// mayBeHealthy tells whether a machine that fails tasks may still turn out to be sound: the
// jobs are tried elsewhere meanwhile.
func (l *leader) mayBeHealthy(m *cluster.Machine) bool {
	return m.DrainReason == cluster.DrainOutlier && l.core.now-m.DrainedAt < 3*l.core.workerLease()
}
