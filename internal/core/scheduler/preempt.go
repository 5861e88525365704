package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// slot is room for one more task on a machine, and which tasks have to stop for it.
type slot = preemption.Slot[cluster.TaskReference]

// victim is a task that may be preempted.
type victim = preemption.Victim[cluster.TaskReference]

// maxPreemptionsPerPass bounds the tasks of an array or a service beyond quota for which a pass
// preempts others: what is preempted has to be placed again. Work within quota gets its room at
// once: eight tasks at a time took an array of sixty half a minute.
const maxPreemptionsPerPass = 8

// machinesPerPreemption is the number of machines for each task of that bound on a large fleet, so
// that making room takes no longer there.
const machinesPerPreemption = 40

// preemptionLimit is the number of a candidate's tasks for which a pass may preempt others.
func (s *Scheduler) preemptionLimit(candidate *Candidate) int {
	if candidate.WithinQuota || candidate.Job.Shape == wire.ShapeGang {
		return len(candidate.Pending)
	}
	return min(len(candidate.Pending), max(maxPreemptionsPerPass, len(s.state.MachinesByName)/machinesPerPreemption))
}

// preemptFor makes room for tasks of a candidate that no machine holds. It stops work of lower
// priority, and, for a job within quota, work of other teams beyond theirs. A gang gets all of
// its room in one domain, at the least cost, or nothing is stopped for it. The machines are
// reserved for the job until the room is there.
//
// With pullInTime, only machines where the image is in time are used, and only lower priorities
// are stopped: elsewhere there may well be room without that.
//
// It reports whether no machine runs anything that may be stopped, wherever the other tasks of
// the job are.
func (s *Scheduler) preemptFor(candidate *Candidate, usage map[string]topology.Resources, policy imagePolicy) (noVictims bool) {
	job := candidate.Job
	if candidate.Reserved = s.ReservedTasks(job); candidate.Reserved > 0 {
		return false
	}
	if candidate.PreemptionPriority == 0 && !candidate.WithinQuota {
		return true
	}
	candidate.cannotProvision = !s.host.AnyOfferFor(&job.Job)
	wanted := s.preemptionTarget(candidate, usage)
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
	candidate.Reserved = len(slots)
	s.reserve(job, s.machinesOfSlots(slots), s.stopVictims(job, slots))
	return false
}

// preemptionTarget is the number of a candidate's tasks for which room is to be made, within its
// team's limit.
func (s *Scheduler) preemptionTarget(candidate *Candidate, usage map[string]topology.Resources) int {
	job := candidate.Job
	limit, size := s.host.Limit(job.Team), cluster.TaskSize(&job.Job)
	if job.Shape == wire.ShapeGang {
		if !limit.Allows(usage[job.Team], size, len(candidate.Pending)) {
			return 0
		}
		return len(candidate.Pending)
	}
	wanted := s.preemptionLimit(candidate)
	for wanted > 0 && !limit.Allows(usage[job.Team], size, wanted) {
		wanted--
	}
	return wanted
}

// stopVictims stops the victims of slots for a job, and returns the longest time that one of them
// gets to save a checkpoint, in seconds.
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

// stopVictim stops a task, or all of its gang, with a grace period in seconds.
func (s *Scheduler) stopVictim(ref cluster.TaskReference, graceS float64) {
	if ref.Job.Shape == wire.ShapeGang {
		ref.Job.GangPreemptions++
	}
	s.host.Preempt(ref, graceS)
}

// machinesOfSlots lists the machines of slots, in their order.
func (s *Scheduler) machinesOfSlots(slots []slot) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(slots))
	for i := range slots {
		machines[i] = s.state.Machines[slots[i].Machine]
	}
	return machines
}

// mayPreempt reports whether tasks of a job may be stopped for a candidate: for a higher
// priority, or, if the candidate is within quota, because another team runs them beyond its own.
// In the second case only work of the same priority that saves checkpoints is stopped; the
// protocol would allow any.
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
// could be provisioned instead: not if that frees more than the candidate needs, all of which the
// gang has to find again.
func worthPreemptingGang(candidate *Candidate, gang *cluster.Job) bool {
	freed, needed := float64(len(gang.TaskStates)), float64(len(candidate.Pending))
	if gang.GPUs > 0 {
		return gang.GPUs*freed <= candidate.Job.GPUs*needed
	}
	return gang.CPUs*freed <= candidate.Job.CPUs*needed
}
