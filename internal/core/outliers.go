package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// Bounds of the time for which a job whose tasks fail waits until the next one is placed.
const (
	maxRetryDoublings = 6
	maxRetryLeases    = 2 // worker leases
)

// recordTaskFailure records that a task failed on a machine. Package outlier decides which of the
// two is the cause. After a first failure a machine is only avoided where there is a choice; a
// job that fails on several waits longer and longer (exponential backoff).
func (l *leader) recordTaskFailure(job *cluster.Job, machine *cluster.Machine) {
	wasFaulty := l.outliers.JobFaulty(job.ID)
	l.outliers.RecordFailure(job.ID, machine.Name)
	if !wasFaulty && l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job fails on every machine", "job", job.ID, "class", job.Class, "machines", l.outliers.FailedMachineCount(job.ID))
	}
	l.backOff(job)
	l.evaluateMachine(machine)
}

// backOff sets when the next task of a job that has failed may be placed.
func (l *leader) backOff(job *cluster.Job) {
	if l.outliers.FailedMachineCount(job.ID) < 2 {
		job.RetryAt = l.core.now + l.core.heartbeatInterval()/5
		return
	}
	if l.core.now >= job.RetryAt { // tasks that fail together are one failure
		job.ConsecutiveFailures++
	}
	wait := time.Second << min(job.ConsecutiveFailures, maxRetryDoublings)
	job.RetryAt = l.core.now + min(wait, maxRetryLeases*l.core.workerLease())
}

// healthyAfterHeartbeats is for how long a task has to run, in heartbeat intervals, until its
// start counts as healthy: one that fails may be seen running for a moment.
const healthyAfterHeartbeats = 2

// recordRunning records that a heartbeat shows a task running.
func (l *leader) recordRunning(placement cluster.TaskReference) {
	task := placement.Task()
	if !task.PlacedThisTerm || task.StartedHealthy {
		return
	}
	if l.core.now-task.RunningSince >= healthyAfterHeartbeats*l.core.heartbeatInterval() {
		l.recordSuccess(placement)
	}
}

// recordSuccess records that a task started healthy or is done.
func (l *leader) recordSuccess(placement cluster.TaskReference) {
	job, task := placement.Job, placement.Task()
	task.StartedHealthy = true
	if l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job no longer considered faulty", "job", job.ID)
	}
	l.outliers.RecordSuccess(job.ID, task.Machine.Name)
	job.ConsecutiveFailures = 0
}

// tickOutliers evaluates the machines on which a task failed again: what became of their jobs
// elsewhere meanwhile is evidence for or against them.
func (l *leader) tickOutliers() {
	for _, name := range l.outliers.MachinesWithFailures() {
		if machine := l.Machines[name]; machine != nil {
			l.evaluateMachine(machine)
		}
	}
}

// evaluateMachine cordons a machine that fails tasks, and uncordons it if the jobs turn out to be
// the cause.
func (l *leader) evaluateMachine(machine *cluster.Machine) {
	if l.outliers.MachineFaulty(machine.Name) {
		l.cordon(machine, cluster.DrainOutlier)
		return
	}
	leaving := machine.Evicting || machine.Returning || l.fleet.pendingReturns[machine.Name]
	if machine.DrainReason == cluster.DrainOutlier && !leaving {
		l.core.log.Info("machine uncordoned", "machine", machine.Name, "reason", "the jobs that failed there fail elsewhere too")
		machine.DrainReason = ""
	}
}

// throttleFaultyJob returns which of a faulty job's pending tasks may be placed now: one at a
// time, so that the job holds next to nothing until its user cancels it, and is still found to be
// healthy if it is. A gang is placed whole.
func (l *leader) throttleFaultyJob(job *cluster.Job, pending []int) []int {
	if job.Shape == wire.ShapeGang {
		return pending
	}
	for i := range job.TaskStates {
		if task := &job.TaskStates[i]; task.Machine != nil && !task.StartedHealthy {
			return nil
		}
	}
	return pending[:1]
}

// cordon stops a machine from taking tasks; it is returned once empty. Its tasks keep running: a
// machine that fails new tasks may well serve old ones, and stopping a replica before another
// machine holds its image costs more.
func (l *leader) cordon(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.DrainReason == "" {
		l.core.log.Info("machine cordoned", "machine", machine.Name, "reason", reason)
		machine.DrainReason, machine.CordonedAt = reason, l.core.now
	}
}

// mayBeHealthy reports whether a machine that fails tasks may still turn out to be healthy: the
// jobs are tried elsewhere meanwhile.
func (l *leader) mayBeHealthy(machine *cluster.Machine) bool {
	return machine.DrainReason == cluster.DrainOutlier && l.core.now-machine.CordonedAt < 3*l.core.workerLease()
}
