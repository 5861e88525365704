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

// Kinds of the deployment's objectives.
const (
	objectiveWait      = scheduler.ObjectiveWait
	objectiveGuarantee = scheduler.ObjectiveGuarantee
)

// passState is when the next placement pass may run, and whether one is needed.
type passState struct {
	requested bool          // there may be something to place
	earliest  time.Duration // when the next pass may begin
}

// runPlacementPass places tasks, preempts others where they find no machine, and plans to scale
// out for the rest.
func (l *leader) runPlacementPass() {
	before := l.scheduler.Evaluations()
	usage := l.refreshUsage()
	candidates := l.scheduler.Candidates()
	if !l.scheduler.Place(candidates, usage) {
		l.passes.requested = true
	}
	l.reservations.reserved = nil
	l.planScaleOut(candidates, usage)
	// Passes take no more than a third of the leader's time.
	cost := l.scheduler.EvaluationTime(l.scheduler.Evaluations() - before)
	l.passes.earliest = max(l.passes.earliest, l.core.now+2*cost)
}

// reservedTasks counts the tasks of a job for which machines are reserved.
func (l *leader) reservedTasks(job *cluster.Job) int { return l.scheduler.ReservedTasks(job) }

// limitReservations lists what of the teams' limits is reserved for jobs.
func (l *leader) limitReservations() teamlimit.Reservations { return l.scheduler.LimitReservations() }

// preemptibleUsage is what tasks of a team below a priority level use.
func (l *leader) preemptibleUsage(team string, level int) topology.Resources {
	return l.scheduler.PreemptibleUsage(team, level)
}

// zoneBound returns how many more tasks of a job each zone may take; nil if nothing bounds it.
func (l *leader) zoneBound(job *cluster.Job) func(zone string) int { return scheduler.ZoneBound(job) }

// schedulerHost is the leader as its scheduler sees it.
type schedulerHost struct{ leader *leader }

// Now is the steady time.
func (h schedulerHost) Now() time.Duration { return h.leader.core.now }

// WallClockMS is the time of day, in ms.
func (h schedulerHost) WallClockMS() int64 { return h.leader.core.wallClockMS }

// Usable reports whether a machine may take tasks at all.
func (h schedulerHost) Usable(m *cluster.Machine) bool { return h.leader.usable(m) }

// MachineType is the type of a machine; nil if it is not known.
func (h schedulerHost) MachineType(m *cluster.Machine) *wire.MachineType { return h.leader.typeOf(m) }

// MachineTypes are all types of the cloud, by name.
func (h schedulerHost) MachineTypes() map[string]*wire.MachineType {
	return h.leader.core.machineTypes
}

// MachinePrice is the hourly price of a machine.
func (h schedulerHost) MachinePrice(m *cluster.Machine) float64 { return h.leader.machinePrice(m) }

// PullsAreSequential reports whether a machine pulls one image after the other.
func (h schedulerHost) PullsAreSequential() bool { return h.leader.pullStatistics.isSequential() }

// AnyOfferFor reports whether the cloud may have a machine for a job now.
func (h schedulerHost) AnyOfferFor(job *wire.Job) bool { return h.leader.anyOfferFor(job) }

// Limit is what a team's tasks may use in this region now.
func (h schedulerHost) Limit(team string) teamlimit.Limit { return h.leader.limit(team) }

// RunEstimate is a job's expected run time, in seconds.
func (h schedulerHost) RunEstimate(job *cluster.Job) float64 { return h.leader.runEstimate(job) }

// ThrottleFaultyJob lists which pending tasks of a job that fails on every machine may be tried.
func (h schedulerHost) ThrottleFaultyJob(job *cluster.Job, pending []int) []int {
	return h.leader.throttleFaultyJob(job, pending)
}

// PlaceTask places a task on a machine and marks the placement to be recorded.
func (h schedulerHost) PlaceTask(job *cluster.Job, task int, m *cluster.Machine) {
	h.leader.place(job, task, m)
	h.leader.writer.MarkPlacement(job, task)
}

// Preempt stops a task, or all of its gang.
func (h schedulerHost) Preempt(task cluster.TaskReference, graceS float64) {
	if task.Job.Shape == wire.ShapeGang {
		h.leader.stopGang(task.Job, graceS, stopPreempted)
		return
	}
	h.leader.stopTask(task.Job, task.Index, graceS, stopPreempted)
}

// Reschedule stops a replica that is to run elsewhere.
func (h schedulerHost) Reschedule(replica cluster.TaskReference) {
	h.leader.stopTask(replica.Job, replica.Index, 0, stopRescheduled)
}

// eligible reports whether a job's tasks may be on a machine of a type, zone and kind.
func eligible(job *wire.Job, machineType, zone string, spot bool) bool {
	return scheduler.Allows(job, machineType, zone, spot)
}
