package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// Bounds of the exponential backoff before the next task of a failing job is placed.
const (
	maxBackoffDoublings = 6
	maxBackoffLeases    = 2 // worker leases
)

// recordTaskFailure records that a task failed on a machine. Package outlier decides whether the
// job or the machine is the cause. After a first failure, the job's tasks avoid the machine if
// there is another one; a job that fails on several machines is retried with exponential backoff.
func (l *leader) recordTaskFailure(job *cluster.Job, machine *cluster.Machine) {
	wasFaulty := l.outliers.JobFaulty(job.ID)
	l.outliers.RecordFailure(job.ID, machine.Name)
	if !wasFaulty && l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job considered faulty: its tasks fail on every machine", "job", job.ID, "class", job.Class, "machines", l.outliers.FailedMachineCount(job.ID))
	}
	l.backOffJob(job)
	l.evaluateMachine(machine)
}

// backOffJob sets the earliest time at which the next task of a failing job may be placed.
func (l *leader) backOffJob(job *cluster.Job) {
	if l.outliers.FailedMachineCount(job.ID) < 2 {
		job.RetryAt = l.core.now + l.core.heartbeatInterval()/5
		return
	}
	if l.core.now >= job.RetryAt { // tasks that fail during the backoff count as one failure
		job.ConsecutiveFailures++
	}
	backoff := time.Second << min(job.ConsecutiveFailures, maxBackoffDoublings)
	job.RetryAt = l.core.now + min(backoff, maxBackoffLeases*l.core.workerLease())
}

// healthyAfterHeartbeats is how long a task has to run, in heartbeat intervals, until it counts as
// started successfully: a heartbeat may also list a task as running that fails shortly after its
// start.
const healthyAfterHeartbeats = 2

// recordRunning records that a heartbeat lists a task as running.
func (l *leader) recordRunning(placement cluster.TaskReference) {
	task := placement.Task()
	if !task.PlacedThisTerm || task.StartedHealthy {
		return
	}
	if l.core.now-task.RunningSince >= healthyAfterHeartbeats*l.core.heartbeatInterval() {
		l.recordSuccess(placement)
	}
}

// recordSuccess records that a task has started successfully or is done.
func (l *leader) recordSuccess(placement cluster.TaskReference) {
	job, task := placement.Job, placement.Task()
	task.StartedHealthy = true
	if l.outliers.JobFaulty(job.ID) {
		l.core.log.Info("job no longer considered faulty", "job", job.ID)
	}
	l.outliers.RecordSuccess(job.ID, task.Machine.Name)
	job.ConsecutiveFailures = 0
}

// tickOutliers re-evaluates the machines on which tasks have failed: the results of the same jobs
// on other machines are evidence for or against them.
func (l *leader) tickOutliers() {
	for _, name := range l.outliers.MachinesWithFailures() {
		if machine := l.Machines[name]; machine != nil {
			l.evaluateMachine(machine)
		}
	}
}

// evaluateMachine cordons a machine that is found faulty, and uncordons it if the failed jobs turn
// out to be the cause.
func (l *leader) evaluateMachine(machine *cluster.Machine) {
	if l.outliers.MachineFaulty(machine.Name) {
		l.cordon(machine, cluster.DrainOutlier)
		return
	}
	leaving := machine.Evicting || machine.Returning || l.fleet.pendingReturns[machine.Name]
	if machine.DrainReason == cluster.DrainOutlier && !leaving {
		l.core.log.Info("machine uncordoned", "machine", machine.Name, "reason", "the jobs that failed there fail on other machines too")
		machine.DrainReason = ""
	}
}

// throttleFaultyJob returns which of a faulty job's pending tasks may be placed now. Only one task
// runs at a time until it has started successfully: the job occupies almost no capacity until its
// user cancels it, and is still found to be healthy if it is. A gang is placed as a whole.
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

// cordon excludes a machine from new tasks; the machine is returned once it is empty. Its tasks
// keep running: a machine on which new tasks fail may run its old ones well, and stopping a replica
// before another machine has its image costs more.
func (l *leader) cordon(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.DrainReason == "" {
		l.core.log.Info("machine cordoned", "machine", machine.Name, "reason", reason)
		machine.DrainReason, machine.CordonedAt = reason, l.core.now
	}
}

// mayBeHealthy reports whether a machine that was cordoned because of task failures may still turn
// out to be healthy. For three worker leases, the results of the jobs on other machines are
// awaited.
func (l *leader) mayBeHealthy(machine *cluster.Machine) bool {
	return machine.DrainReason == cluster.DrainOutlier && l.core.now-machine.CordonedAt < 3*l.core.workerLease()
}
