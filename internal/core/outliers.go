package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// recordTaskFailure takes in that a task failed on a machine. Package faults tells which of the
// two is the cause. After a first failure a machine is only avoided where there is a
// choice; a job that fails on several waits longer and longer.
func (l *leader) recordTaskFailure(job *job, machine *machine) {
	faulty := l.outliers.JobFaulty(job.ID)
	l.outliers.RecordFailure(job.ID, machine.name)
	if !faulty && l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job fails on every machine", "job", job.ID, "class", job.Class, "machines", l.outliers.FailedMachineCount(job.ID))
	}
	if l.outliers.FailedMachineCount(job.ID) < 2 {
		job.retryAt = l.core.now + l.core.heartbeatInterval()/5
	} else {
		if l.core.now >= job.retryAt { // tasks that fail together are one failure
			job.consecutiveFailures++
		}
		job.retryAt = l.core.now + min(time.Second<<min(job.consecutiveFailures, 6), 2*l.core.workerLease())
	}
	l.evaluateMachine(machine)
}

// healthyAfterHeartbeats is for how long a task has to run, in reports, before its start counts as
// one that went well: one that fails may be seen to run for a moment.
const healthyAfterHeartbeats = 2

// recordRunning takes in that a report shows a task running.
func (l *leader) recordRunning(ref taskReference) {
	t := ref.task()
	if t.placedThisTerm && !t.startedHealthy && l.core.now-t.runningSince >= healthyAfterHeartbeats*l.core.heartbeatInterval() {
		l.recordSuccess(ref)
	}
}

// recordSuccess notes that a task started well or is done.
func (l *leader) recordSuccess(ref taskReference) {
	t := ref.task()
	t.startedHealthy = true
	if l.outliers.JobFaulty(ref.job.ID) {
		l.core.log.Info("job does well after all", "job", ref.job.ID)
	}
	l.outliers.RecordSuccess(ref.job.ID, t.machine.name)
	ref.job.consecutiveFailures = 0
}

// tickOutliers judges the machines on which something failed: what their jobs do elsewhere
// meanwhile speaks for or against them.
func (l *leader) tickOutliers() {
	for _, name := range l.outliers.MachinesWithFailures() {
		if m := l.machines[name]; m != nil {
			l.evaluateMachine(m)
		}
	}
}

// evaluateMachine cordons a machine that fails tasks, and takes that back where the jobs
// turn out to be the cause.
func (l *leader) evaluateMachine(m *machine) {
	switch faulty := l.outliers.MachineFaulty(m.name); {
	case faulty:
		l.cordon(m, drainOutlier)
	case m.drainReason == drainOutlier && !m.evicting && !m.returning && !l.fleet.pendingReturns[m.name]:
		l.core.log.Info("machine uncordoned", "machine", m.name, "why", "the jobs that failed there fail elsewhere")
		m.drainReason = ""
	}
}

// throttleFaultyJob is what of a faulty job may be tried now: one task at a time, so that it
// holds next to nothing until its user cancels it, and is still found to do well if it
// does.
func (l *leader) throttleFaultyJob(j *job, pending []int) []int {
	if j.Shape == wire.ShapeGang {
		return pending
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil && !t.startedHealthy {
			return nil
		}
	}
	return pending[:1]
}

// cordon stops a machine from taking tasks; it is returned once empty. What
// runs there goes on: a machine that fails new tasks may well serve old ones,
// and stopping a replica before another place holds its image costs more.
func (l *leader) cordon(m *machine, reason drainReason) {
	if m.drainReason == "" {
		l.core.log.Info("machine cordoned", "machine", m.name, "why", reason)
		m.drainReason, m.drainedAt = reason, l.core.now
	}
}

// mayBeHealthy tells whether a machine that fails tasks may still turn out to be sound: the
// jobs are tried elsewhere meanwhile.
func (l *leader) mayBeHealthy(m *machine) bool {
	return m.drainReason == drainOutlier && l.core.now-m.drainedAt < 3*l.core.workerLease()
}
