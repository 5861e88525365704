package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// candidate is a job with tasks to place.
type candidate = scheduler.Candidate

// Kinds of objectives in the deployment.
const (
	objectiveWait      = scheduler.ObjectiveWait
	objectiveGuarantee = scheduler.ObjectiveGuarantee
)

// passState records whether a placement pass is requested and when it may run.
type passState struct {
	requested     bool          // there may be tasks to place or machines to provision
	earliestStart time.Duration // when the next pass may begin
}

// runPlacementPass places pending tasks, preempts tasks of lower priority for those without a
// machine, and plans the scale-out for the rest.
func (l *leader) runPlacementPass() {
	before := l.scheduler.Evaluations()
	usage := l.refreshUsage()
	candidates := l.scheduler.Candidates()
	if !l.scheduler.Place(candidates, usage) {
		l.passes.requested = true
	}
	l.reservations.reserved = nil
	l.planScaleOut(candidates, usage)
	// Passes take at most a third of the leader's time.
	cost := l.scheduler.EvaluationTime(l.scheduler.Evaluations() - before)
	l.passes.earliestStart = max(l.passes.earliestStart, l.core.now+2*cost)
}

// reservedTasks returns the number of a job's tasks for which machines are reserved.
func (l *leader) reservedTasks(job *cluster.Job) int { return l.scheduler.ReservedTasks(job) }

// limitReservations returns the parts of the teams' limits that are reserved for jobs.
func (l *leader) limitReservations() teamlimit.Reservations { return l.scheduler.LimitReservations() }

// preemptibleUsage returns the resources used by a team's tasks below a priority level.
func (l *leader) preemptibleUsage(team string, level int) topology.Resources {
	return l.scheduler.PreemptibleUsage(team, level)
}

// zoneBound returns a function for the number of further tasks of a job that a zone may run; nil if
// the job has no such bound.
func (l *leader) zoneBound(job *cluster.Job) func(zone string) int { return scheduler.ZoneBound(job) }

// schedulerHost implements scheduler.Host for a leader.
type schedulerHost struct{ leader *leader }

// Now returns the monotonic time.
func (h schedulerHost) Now() time.Duration { return h.leader.core.now }

// WallClockMS returns the wall-clock time, in ms.
func (h schedulerHost) WallClockMS() int64 { return h.leader.core.wallClockMS }

// Usable reports whether a machine accepts tasks.
func (h schedulerHost) Usable(m *cluster.Machine) bool { return h.leader.usable(m) }

// MachineType returns the type of a machine; nil if it is not known.
func (h schedulerHost) MachineType(m *cluster.Machine) *wire.MachineType { return h.leader.typeOf(m) }

// MachineTypes returns all types of the cloud, by name; none while they are not known.
func (h schedulerHost) MachineTypes() map[string]*wire.MachineType {
	return h.leader.core.machineTypes
}

// MachinePrice returns the hourly price of a machine.
func (h schedulerHost) MachinePrice(m *cluster.Machine) float64 { return h.leader.machinePrice(m) }

// PullsAreSequential reports whether a machine pulls one image at a time.
func (h schedulerHost) PullsAreSequential() bool { return h.leader.pullEvidence.isSequential() }

// AnyOfferFor reports whether the cloud may offer a machine for a job now.
func (h schedulerHost) AnyOfferFor(job *wire.Job) bool { return h.leader.anyOfferFor(job) }

// Limit returns what a team's tasks may use in this region now.
func (h schedulerHost) Limit(team string) teamlimit.Limit { return h.leader.limit(team) }

// RunEstimate returns a job's expected run time, in seconds.
func (h schedulerHost) RunEstimate(job *cluster.Job) float64 { return h.leader.runEstimate(job) }

// ThrottleFaultyJob returns which pending tasks of a faulty job may be tried now.
func (h schedulerHost) ThrottleFaultyJob(job *cluster.Job, pending []int) []int {
	return h.leader.throttleFaultyJob(job, pending)
}

// PlaceTask assigns a task to a machine and marks the placement to be persisted.
func (h schedulerHost) PlaceTask(job *cluster.Job, task int, m *cluster.Machine) {
	h.leader.place(job, task, m)
	h.leader.writer.MarkPlacement(job, task)
}

// Preempt stops a task, or all tasks of its gang, with a grace period in seconds.
func (h schedulerHost) Preempt(task cluster.TaskReference, graceS float64) {
	if task.Job.Shape == wire.ShapeGang {
		h.leader.stopGang(task.Job, graceS, stopPreempted)
		return
	}
	h.leader.stopTask(task.Job, task.Index, graceS, stopPreempted)
}

// Reschedule stops a replica that is to run on another machine.
func (h schedulerHost) Reschedule(replica cluster.TaskReference) {
	h.leader.stopTask(replica.Job, replica.Index, 0, stopRescheduled)
}

// eligible reports whether a job's tasks may run on a machine of the given type and zone, spot or
// not.
func eligible(job *wire.Job, machineType, zone string, spot bool) bool {
	return scheduler.Allows(job, machineType, zone, spot)
}
