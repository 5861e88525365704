package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// slot is room for one more task on a machine, and who has to go for it.
type slot = preemption.Slot[cluster.TaskReference]

// victim is a task that may be stopped.
type victim = preemption.Victim[cluster.TaskReference]

// maxPreemptionsPerPass bounds how many tasks of an array or a service that is not within its
// team's guarantee make room in one pass: what is stopped for them comes back as work to
// place. Work within a guarantee is owed its room at once: eight tasks at a time took an
// array of sixty half a minute.
const maxPreemptionsPerPass = 8

// machinesPerPreemption is for how many machines of a fleet one more task may, so that
// making room takes no longer on a larger fleet.
const machinesPerPreemption = 40

// preemptionLimit is for how many of a candidate's tasks a pass may make room.
func (l *leader) preemptionLimit(c *candidate) int {
	if c.withinQuota || c.job.Shape == wire.ShapeGang {
		return len(c.pending)
	}
	return min(len(c.pending), max(maxPreemptionsPerPass, len(l.MachinesByName)/machinesPerPreemption))
}

// preempt makes room for tasks of a job that found none: it stops work of
// lower priority, or work that another team runs beyond its guarantee when the
// job is within its own. A gang gets its whole room in one domain, at the least
// loss, or nobody is stopped for it. The machines are kept for the job until
// the room is there.
//
// quick makes room only where the image is or comes in time, and only at the
// cost of lower priorities: without it there may well be room elsewhere.
//
// It tells whether there is nobody to stop on any machine, wherever the job's
// other tasks are.
func (l *leader) preempt(candidate *candidate, usage map[string]topology.Resources, quick bool) (nobody bool) {
	job := candidate.job
	if candidate.reserved = l.reservedTasks(job); candidate.reserved > 0 {
		return false
	}
	if candidate.preemptionPriority == 0 && !candidate.withinQuota {
		return true
	}
	candidate.cannotRent = !l.anyOfferFor(&job.Job)
	want := l.preemptionTarget(candidate, usage)
	if want == 0 {
		if !quick && candidate.preemptionPriority > 0 {
			return l.preemptWithinLimit(candidate, usage[job.Team])
		}
		return false
	}
	if !l.canPreemptAnywhere(candidate) {
		return true
	}
	best := l.chooseSlots(candidate, want, quick)
	if len(best) == 0 || job.Shape == wire.ShapeGang && len(best) < want {
		return false
	}
	candidate.reserved = len(best)
	l.reserve(job, l.machinesOfSlots(best), l.stopVictims(job, best))
	return false
}

// preemptionTarget is for how many of a candidate's tasks room is to be made,
// within its team's limit.
func (l *leader) preemptionTarget(candidate *candidate, usage map[string]topology.Resources) int {
	job := candidate.job
	fits := func(n int) bool { return l.limit(job.Team).Allows(usage[job.Team], cluster.TaskSize(&job.Job), n) }
	if job.Shape == wire.ShapeGang {
		if !fits(len(candidate.pending)) {
			return 0
		}
		return len(candidate.pending)
	}
	want := l.preemptionLimit(candidate)
	for want > 0 && !fits(want) {
		want--
	}
	return want
}

// chooseSlots finds room for up to want tasks: for a job that is bound to
// one zone, in the zone with the most of it, at the least loss.
func (l *leader) chooseSlots(candidate *candidate, want int, quick bool) []slot {
	if !candidate.job.OneZone {
		return l.findSlots(candidate, want, "", quick)
	}
	var best []slot
	for _, zone := range l.usableZones() {
		s := l.findSlots(candidate, want, zone, quick)
		if len(s) > len(best) || len(s) == len(best) && preemption.TotalCost(s) < preemption.TotalCost(best) {
			best = s
		}
	}
	return best
}

// stopVictims stops the tasks that go for preemptions, and returns the longest
// time that one of them gets to save, in seconds.
func (l *leader) stopVictims(job *cluster.Job, chosen []slot) float64 {
	wait := 0.0
	for _, slot := range chosen {
		machine := l.Machines[slot.Machine]
		for i := range slot.Victims {
			v := &slot.Victims[i].Task
			grace := l.preemptionGrace(job, machine, v.Job)
			wait = max(wait, grace)
			l.core.log.Info("preempt", "task", v.Name, "machine", slot.Machine, "for", job.ID, "grace_s", grace)
			if v.Job.Shape == wire.ShapeGang {
				v.Job.GangPreemptions++
				l.stopGang(v.Job, grace, stopPreempted)
			} else {
				l.stopTask(v.Job, v.Index, grace, stopPreempted)
			}
		}
	}
	return wait
}

// machinesOfSlots lists the machines of rooms, in their order.
func (l *leader) machinesOfSlots(rooms []slot) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(rooms))
	for k := range rooms {
		machines[k] = l.Machines[rooms[k].Machine]
	}
	return machines
}

// reserve keeps machines for a job until the room is there, wait seconds from now; a
// machine is named once for each of the job's tasks that it is kept for.
func (l *leader) reserve(job *cluster.Job, machines []*cluster.Machine, wait float64) {
	job.ReservedMachines = nil
	for _, m := range machines {
		m.ReservedFor, m.ReservedTasks = job, 0
		if !slices.Contains(job.ReservedMachines, m) {
			job.ReservedMachines = append(job.ReservedMachines, m)
		}
	}
	until := l.core.now + time.Duration(wait*float64(time.Second)) + 3*l.core.heartbeatInterval()
	for _, m := range machines {
		m.ReservedTasks++
		m.ReservedUntil = until
	}
}

// checkpointGrace is the time that preempted work gets to save. A stop without it
// loses half an interval of checkpoints on average; with it, two wait for the
// save.
func (l *leader) checkpointGrace(j *cluster.Job) float64 {
	if j.CheckpointIntervalS == 0 || j.CheckpointIntervalS/2 <= 2*j.CheckpointDurationS {
		return 0
	}
	return j.CheckpointDurationS
}

// preemptionGrace is the time that work which is preempted for a job on a machine gets to
// save: none where the job starts in time without the wait for it alone. Beside work
// that saves for three seconds, nothing that was to start within five ever did.
func (l *leader) preemptionGrace(j *cluster.Job, m *cluster.Machine, v *cluster.Job) float64 {
	grace := l.checkpointGrace(v)
	if grace == 0 {
		return 0
	}
	left := l.maxWait(j) - l.waitingTime(j).Seconds()
	fetch := l.pullTime(j, m)
	if fetch < left && grace+fetch*slowestPullFactor+l.core.heartbeatInterval().Seconds() > left {
		return 0
	}
	return grace
}

// slowestPullFactor is how much longer than usual an image's fetch may take.
const slowestPullFactor = 4.0 / 3

// preemptionLoss is what the stop of a task loses, in seconds of its work.
func (l *leader) preemptionLoss(j *cluster.Job, t *cluster.Task) float64 {
	if j.CheckpointIntervalS == 0 {
		if t.RunningSince == 0 {
			return 0
		}
		return (l.core.now - t.RunningSince).Seconds()
	}
	if l.checkpointGrace(j) == 0 {
		return j.CheckpointIntervalS / 2
	}
	return j.CheckpointDurationS
}

// victimCost weighs a stop: what is lost of the work, by the share of a machine
// it takes, by its priority, and by how often it had to make way before: else
// the same cheap victim is stopped again and again.
func (l *leader) victimCost(job *cluster.Job, task *cluster.Task, whole topology.Resources) float64 {
	share := 0.0
	if whole.GPUs > 0 {
		share = job.GPUs / whole.GPUs
	}
	if whole.CPUs > 0 {
		share = max(share, job.CPUs/whole.CPUs)
	}
	n := 1
	if job.Shape == wire.ShapeGang {
		n = len(job.TaskStates) // all of it goes
	}
	rank := float64(1 + job.Level)
	return (l.preemptionLoss(job, task) + 1) * share * float64(n) * rank * rank * float64(1+job.GangPreemptions)
}

// ReservedTasks counts the tasks for which room is being made.
func (l *leader) reservedTasks(j *cluster.Job) int {
	n := 0
	for _, m := range j.ReservedMachines {
		if m.ReservedFor == j && l.core.now < m.ReservedUntil {
			n += m.ReservedTasks
		}
	}
	return n
}

// usableZones lists the zones in which there are machines to use.
func (l *leader) usableZones() []string {
	in := map[string]bool{}
	for _, m := range l.passes.machines {
		in[m.Zone] = true
	}
	return sortedKeys(in)
}

// canPreemptAnywhere tells whether any machine that a job may use would have room
// for a task if all that it may have stopped were gone.
func (l *leader) canPreemptAnywhere(c *candidate) bool {
	l.passes.evaluations += len(l.passes.machines)
	for _, m := range l.passes.machines {
		if eligible(&c.job.Job, m.TypeName, m.Zone, m.Spot) && l.freeAfterPreemption(c, m).Holds(cluster.TaskSize(&c.job.Job)) {
			return true
		}
	}
	return false
}

// freeAfterPreemption is the most room that stops for a job can make on a machine.
// It costs nothing to find, so that the tasks of a machine are gone through
// only where that can be of use.
func (l *leader) freeAfterPreemption(c *candidate, m *cluster.Machine) topology.Resources {
	r, _ := l.capacityOf(m)
	r = r.Sub(m.Used).Add(m.StoppingUse)
	for _, s := range m.UsedByLevel[:c.preemptionPriority] {
		r = r.Add(s)
	}
	if c.withinQuota {
		r = r.Add(m.CheckpointedByLevel[c.preemptionPriority]) // see mayPreempt
	}
	return r
}

// findSlots finds room for up to want tasks, in one zone or anywhere, at the
// least loss: free room first.
func (l *leader) findSlots(candidate *candidate, want int, zone string, quick bool) []slot {
	wait := l.core.maxPullTime(candidate.job.Class)
	zoneRoom := l.zoneBound(candidate.job)
	var all []slot
	l.passes.evaluations += len(l.passes.machines)
	for _, m := range l.passes.machines {
		if zone != "" && m.Zone != zone || !l.canPreemptOn(candidate, m) || quick && l.pullTooSlow(candidate.job, m, wait) {
			continue
		}
		if zoneRoom != nil && zoneRoom(m.Zone) < 1 {
			continue
		}
		all = append(all, l.slotsOn(candidate, m, want, quick)...)
	}
	return preemption.ChooseSlots(all, want, zoneRoom)
}

// canPreemptOn tells whether room for a candidate's task can be made on a
// machine.
func (l *leader) canPreemptOn(c *candidate, m *cluster.Machine) bool {
	return l.freeAfterPreemption(c, m).Holds(cluster.TaskSize(&c.job.Job)) && l.isFeasible(c.job, m) && (m.ReservedFor == nil || l.core.now >= m.ReservedUntil)
}

// slotsOn lists the rooms that stops for a candidate make on one machine.
func (l *leader) slotsOn(c *candidate, m *cluster.Machine, want int, quick bool) []slot {
	whole, _ := l.capacityOf(m)
	return preemption.SlotsOn(&preemption.Machine[cluster.TaskReference]{
		Name: m.Name, Zone: m.Zone, Free: whole.Sub(m.Used),
		Victims: func(free topology.Resources) ([]victim, topology.Resources) {
			return l.victimsOn(c, m, free, quick)
		},
	}, cluster.TaskSize(&c.job.Job), want)
}

// evaluationsPerVictim is about how many evaluations of machines take as long as that of a task as a victim, see
// BenchmarkPreemptions.
const evaluationsPerVictim = 3

// victimsOn lists the tasks on a machine that may be stopped for a candidate, and adds
// what is already on its way out to what is free. The list is good until the next call.
func (l *leader) victimsOn(candidate *candidate, machine *cluster.Machine, free topology.Resources, quick bool) ([]victim, topology.Resources) {
	whole, _ := l.capacityOf(machine)
	l.passes.evaluations += evaluationsPerVictim * len(machine.Placements)
	victims := l.passes.victimBuffer[:0]
	for _, p := range machine.Placements {
		t := p.Task()
		if t.Stop != nil {
			free = free.Add(cluster.TaskSize(&p.Job.Job))
			continue
		}
		if !l.mayPreempt(candidate, p.Job) || quick && p.Job.Level == candidate.preemptionPriority {
			continue
		}
		victims = append(victims, victim{Task: p, Loss: l.victimCost(p.Job, t, whole)})
	}
	l.passes.victimBuffer = victims
	return victims, free
}

// isFeasible tells whether a machine may take a job's tasks, were there room.
func (l *leader) isFeasible(j *cluster.Job, m *cluster.Machine) bool {
	return l.usable(m) && eligible(&j.Job, m.TypeName, m.Zone, m.Spot) && !l.avoids(j, m)
}

// worthPreemptingGang tells whether a gang may be stopped for a job that could have a
// machine rented instead: not where more room than the job needs would be
// emptied, all of which the gang has to find again.
func worthPreemptingGang(c *candidate, v *cluster.Job) bool {
	n, k := float64(len(v.TaskStates)), float64(len(c.pending))
	if v.GPUs > 0 {
		return v.GPUs*n <= c.job.GPUs*k
	}
	return v.CPUs*n <= c.job.CPUs*k
}

// mayPreempt tells whether a task may be stopped for a job: for a higher
// priority, or, where the job is within its team's guarantee, because another
// team runs it beyond its own. In the second case only work of the same
// priority that keeps its progress is stopped; the protocol would allow any.
func (l *leader) mayPreempt(c *candidate, v *cluster.Job) bool {
	if c.ownTeamOnly && v.Team != c.job.Team {
		return false
	}
	if v.Shape == wire.ShapeGang && !c.cannotRent && !worthPreemptingGang(c, v) {
		return false
	}
	if v.Level != c.preemptionPriority {
		return v.Level < c.preemptionPriority
	}
	return c.withinQuota && v.Team != c.job.Team && !v.WithinQuota && v.CheckpointIntervalS > 0
}
