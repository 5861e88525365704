package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// slot is capacity for one more task on a machine, and the tasks that have to stop for it.
type slot = preemption.Slot[cluster.TaskReference]

// victim is a task that may be preempted.
type victim = preemption.Victim[cluster.TaskReference]

// maxPreemptingTasksPerPass bounds the tasks of an array or a service beyond quota for which a pass
// preempts others, because preempted tasks have to be placed again. There is no bound within quota:
// with eight tasks per pass, an array of sixty took half a minute.
const maxPreemptingTasksPerPass = 8

// machinesPerPreemptingTask raises that bound on large fleets to one task for each
// machinesPerPreemptingTask machines, so that making room takes no longer there than on small fleets.
const machinesPerPreemptingTask = 40

// maxPreemptingTasks returns for how many of a candidate's tasks a pass may preempt others.
func (s *Scheduler) maxPreemptingTasks(candidate *Candidate) int {
	if candidate.WithinQuota || candidate.Job.Shape == wire.ShapeGang {
		return len(candidate.Pending)
	}
	return min(len(candidate.Pending), max(maxPreemptingTasksPerPass, len(s.state.MachinesByName)/machinesPerPreemptingTask))
}

// preemptFor makes room for tasks of a candidate that fit on no machine. It stops tasks of lower
// priority and, for a job within quota, tasks of other teams that are beyond their quota. For a
// gang it makes room for all tasks, at the least cost, or stops nothing; if the gang must run in
// one zone, all of the room is in one zone. The machines are reserved for the job for as long as the
// victims may take to stop, see reserve.
//
// With pullInTime, it uses only machines where the image is cached or can be pulled in time, and
// stops only lower priorities: other machines may have room without preemption.
//
// It reports whether no machine runs tasks that may be stopped for the candidate. This does not
// depend on where the other tasks of the job run.
func (s *Scheduler) preemptFor(candidate *Candidate, usage map[string]topology.Resources, policy pullTimePolicy) (noVictims bool) {
	job := candidate.Job
	if candidate.ReservedTasks = s.ReservedTasks(job); candidate.ReservedTasks > 0 {
		return false
	}
	if candidate.PreemptionPriority == 0 && !candidate.WithinQuota {
		return true
	}
	candidate.cannotProvision = !s.host.AnyOfferFor(&job.Job)
	wanted := s.preemptingTaskCount(candidate, usage)
	if wanted == 0 {
		if policy == anyPullTime && candidate.PreemptionPriority > 0 {
			return s.preemptWithinLimit(candidate, usage[job.Team])
		}
		return false
	}
	if !s.canPreemptAnywhere(candidate) {
		return true
	}
	slots := s.chooseSlots(candidate, wanted, policy)
	if len(slots) == 0 || job.Shape == wire.ShapeGang && len(slots) < wanted {
		return false
	}
	candidate.ReservedTasks = len(slots)
	s.reserve(job, s.machinesOfSlots(slots), s.stopVictims(job, slots))
	return false
}

// preemptingTaskCount returns for how many of a candidate's tasks room is to be made, within its
// team's limit.
func (s *Scheduler) preemptingTaskCount(candidate *Candidate, usage map[string]topology.Resources) int {
	job := candidate.Job
	limit, size := s.host.Limit(job.Team), cluster.TaskSize(&job.Job)
	if job.Shape == wire.ShapeGang {
		if !limit.Allows(usage[job.Team], size, len(candidate.Pending)) {
			return 0
		}
		return len(candidate.Pending)
	}
	wanted := s.maxPreemptingTasks(candidate)
	for wanted > 0 && !limit.Allows(usage[job.Team], size, wanted) {
		wanted--
	}
	return wanted
}

// stopVictims stops the victims of slots for a job, and returns their longest grace period, in
// seconds.
func (s *Scheduler) stopVictims(job *cluster.Job, slots []slot) float64 {
	longest := 0.0
	for _, slot := range slots {
		machine := s.state.Machines[slot.Machine]
		for i := range slot.Victims {
			ref := &slot.Victims[i].Task
			grace := s.preemptionGrace(job, machine, ref.Job)
			longest = max(longest, grace)
			s.log.Info("task preempted", "task", ref.Name, "machine", slot.Machine, "for", job.ID, "grace_s", grace)
			s.stopVictim(*ref, grace)
		}
	}
	return longest
}

// stopVictim stops a task, or all tasks of its gang, with a grace period in seconds.
func (s *Scheduler) stopVictim(ref cluster.TaskReference, graceS float64) {
	if ref.Job.Shape == wire.ShapeGang {
		ref.Job.GangPreemptions++
	}
	s.host.Preempt(ref, graceS)
}

// machinesOfSlots returns the machines of slots, in the same order.
func (s *Scheduler) machinesOfSlots(slots []slot) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(slots))
	for i := range slots {
		machines[i] = s.state.Machines[slots[i].Machine]
	}
	return machines
}

// mayPreempt reports whether tasks of a job may be stopped for a candidate: if the candidate has a
// higher priority, or if it is within quota and the victim, of another team, is beyond that team's
// quota. In the second case only jobs of the same priority that save checkpoints are stopped,
// although the protocol allows any.
func mayPreempt(candidate *Candidate, victim *cluster.Job) bool {
	if candidate.ownTeamOnly && victim.Team != candidate.Job.Team {
		return false
	}
	if victim.Shape == wire.ShapeGang && !candidate.cannotProvision && !worthPreemptingGang(candidate, victim) {
		return false
	}
	if victim.Level != candidate.PreemptionPriority {
		return victim.Level < candidate.PreemptionPriority
	}
	return candidate.WithinQuota && victim.Team != candidate.Job.Team && !victim.WithinQuota && victim.CheckpointIntervalS > 0
}

// worthPreemptingGang reports whether a gang may be stopped for a candidate for which a machine
// could be provisioned instead. It may not if the stop frees more than the candidate needs, because
// the gang needs all of that capacity again.
func worthPreemptingGang(candidate *Candidate, gang *cluster.Job) bool {
	freed, needed := float64(len(gang.TaskStates)), float64(len(candidate.Pending))
	if gang.GPUs > 0 {
		return gang.GPUs*freed <= candidate.Job.GPUs*needed
	}
	return gang.CPUs*freed <= candidate.Job.CPUs*needed
}
