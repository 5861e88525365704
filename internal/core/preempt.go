package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// room is room for one more task on a machine, and who has to go for it.
type room = preemption.Room[taskRef]

// victim is a task that may be stopped.
type victim = preemption.Victim[taskRef]

// maxPreemptions bounds how many tasks of an array or a service that is not within its
// team's guarantee make room in one pass: what is stopped for them comes back as work to
// place. Work within a guarantee is owed its room at once: eight tasks at a time took an
// array of sixty half a minute.
const maxPreemptions = 8

// machinesOfPreemption is for how many machines of a fleet one more task may, so that
// making room takes no longer on a larger fleet.
const machinesOfPreemption = 40

// mostPreemptions is for how many of a candidate's tasks a pass may make room.
func (l *leader) mostPreemptions(c *candidate) int {
	if c.guaranteed || c.job.Shape == wire.ShapeGang {
		return len(c.pending)
	}
	return min(len(c.pending), max(maxPreemptions, len(l.byName)/machinesOfPreemption))
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
func (l *leader) preempt(c *candidate, usage map[string]topology.Resources, quick bool) (nobody bool) {
	j := c.job
	if c.reserved = l.reservedFor(j); c.reserved > 0 {
		return false
	}
	if c.preemptionRank == 0 && !c.guaranteed {
		return true
	}
	c.noOffer = !l.offered(&j.Job)
	want := l.preemptionsWanted(c, usage)
	if want == 0 {
		if !quick && c.preemptionRank > 0 {
			return l.preemptWithinLimit(c, usage[j.Team])
		}
		return false
	}
	if !l.anyPreemption(c) {
		return true
	}
	best := l.bestPreemptions(c, want, quick)
	if len(best) == 0 || j.Shape == wire.ShapeGang && len(best) < want {
		return false
	}
	c.reserved = len(best)
	l.reserve(j, l.machinesOfRooms(best), l.stopVictims(j, best))
	return false
}

// preemptionsWanted is for how many of a candidate's tasks room is to be made,
// within its team's limit.
func (l *leader) preemptionsWanted(c *candidate, usage map[string]topology.Resources) int {
	j := c.job
	fits := func(n int) bool { return l.limit(j.Team).Allows(usage[j.Team], size(&j.Job), n) }
	if j.Shape == wire.ShapeGang {
		if !fits(len(c.pending)) {
			return 0
		}
		return len(c.pending)
	}
	want := l.mostPreemptions(c)
	for want > 0 && !fits(want) {
		want--
	}
	return want
}

// bestPreemptions finds room for up to want tasks: for a job that is bound to
// one zone, in the zone with the most of it, at the least loss.
func (l *leader) bestPreemptions(c *candidate, want int, quick bool) []room {
	if !c.job.OneZone {
		return l.preemptions(c, want, "", quick)
	}
	var best []room
	for _, zone := range l.zones() {
		s := l.preemptions(c, want, zone, quick)
		if len(s) > len(best) || len(s) == len(best) && preemption.TotalCost(s) < preemption.TotalCost(best) {
			best = s
		}
	}
	return best
}

// stopVictims stops the tasks that go for preemptions, and returns the longest
// time that one of them gets to save, in seconds.
func (l *leader) stopVictims(j *job, chosen []room) float64 {
	wait := 0.0
	for _, r := range chosen {
		m := l.machines[r.Machine]
		for i := range r.Victims {
			v := &r.Victims[i].Task
			grace := l.graceFor(j, m, v.job)
			wait = max(wait, grace)
			l.c.log.Info("preempt", "task", v.name, "machine", r.Machine, "for", j.ID, "grace_s", grace)
			if v.job.Shape == wire.ShapeGang {
				v.job.preempted++
				l.stopGang(v.job, grace, stopPreempted)
			} else {
				l.stopTask(v.job, v.index, grace, stopPreempted)
			}
		}
	}
	return wait
}

// machinesOfRooms lists the machines of rooms, in their order.
func (l *leader) machinesOfRooms(rooms []room) []*machine {
	machines := make([]*machine, len(rooms))
	for k := range rooms {
		machines[k] = l.machines[rooms[k].Machine]
	}
	return machines
}

// reserve keeps machines for a job until the room is there, wait seconds from now; a
// machine is named once for each of the job's tasks that it is kept for.
func (l *leader) reserve(j *job, machines []*machine, wait float64) {
	j.reservedOn = nil
	for _, m := range machines {
		m.reserved, m.reservedTasks = j, 0
		if !slices.Contains(j.reservedOn, m) {
			j.reservedOn = append(j.reservedOn, m)
		}
	}
	until := l.c.now + time.Duration(wait*float64(time.Second)) + 3*l.c.report()
	for _, m := range machines {
		m.reservedTasks++
		m.reservedUntil = until
	}
}

// preemptGrace is the time that preempted work gets to save. A stop without it
// loses half an interval of checkpoints on average; with it, two wait for the
// save.
func (l *leader) preemptGrace(j *job) float64 {
	if j.CheckpointS == 0 || j.CheckpointS/2 <= 2*j.SaveS {
		return 0
	}
	return j.SaveS
}

// graceFor is the time that work which is preempted for a job on a machine gets to
// save: none where the job starts in time without the wait for it alone. Beside work
// that saves for three seconds, nothing that was to start within five ever did.
func (l *leader) graceFor(j *job, m *machine, v *job) float64 {
	grace := l.preemptGrace(v)
	if grace == 0 {
		return 0
	}
	left := l.mayWait(j) - l.waited(j).Seconds()
	fetch := l.fetchTime(j, m)
	if fetch < left && grace+fetch*slowestFetch+l.c.report().Seconds() > left {
		return 0
	}
	return grace
}

// slowestFetch is how much longer than usual an image's fetch may take.
const slowestFetch = 4.0 / 3

// stopLoss is what the stop of a task loses, in seconds of its work.
func (l *leader) stopLoss(j *job, t *task) float64 {
	if j.CheckpointS == 0 {
		if t.upAt == 0 {
			return 0
		}
		return (l.c.now - t.upAt).Seconds()
	}
	if l.preemptGrace(j) == 0 {
		return j.CheckpointS / 2
	}
	return j.SaveS
}

// victimCost weighs a stop: what is lost of the work, by the share of a machine
// it takes, by its priority, and by how often it had to make way before: else
// the same cheap victim is stopped again and again.
func (l *leader) victimCost(j *job, t *task, whole topology.Resources) float64 {
	share := 0.0
	if whole.GPUs > 0 {
		share = j.GPUs / whole.GPUs
	}
	if whole.CPUs > 0 {
		share = max(share, j.CPUs/whole.CPUs)
	}
	n := 1
	if j.Shape == wire.ShapeGang {
		n = len(j.tasks) // all of it goes
	}
	rank := float64(1 + j.rank)
	return (l.stopLoss(j, t) + 1) * share * float64(n) * rank * rank * float64(1+j.preempted)
}

// reservedFor counts the tasks for which room is being made.
func (l *leader) reservedFor(j *job) int {
	n := 0
	for _, m := range j.reservedOn {
		if m.reserved == j && l.c.now < m.reservedUntil {
			n += m.reservedTasks
		}
	}
	return n
}

// zones lists the zones in which there are machines to use.
func (l *leader) zones() []string {
	in := map[string]bool{}
	for _, m := range l.passes.leaves {
		in[m.zone] = true
	}
	return sortedKeys(in)
}

// anyPreemption tells whether any machine that a job may use would have room
// for a task if all that it may have stopped were gone.
func (l *leader) anyPreemption(c *candidate) bool {
	l.passes.evaluations += len(l.passes.leaves)
	for _, m := range l.passes.leaves {
		if eligible(&c.job.Job, m.typ, m.zone, m.spot) && l.roomByPreemption(c, m).Holds(size(&c.job.Job)) {
			return true
		}
	}
	return false
}

// roomByPreemption is the most room that stops for a job can make on a machine.
// It costs nothing to find, so that the tasks of a machine are gone through
// only where that can be of use.
func (l *leader) roomByPreemption(c *candidate, m *machine) topology.Resources {
	r, _ := l.total(m)
	r = r.Sub(m.used).Add(m.stopping)
	for _, s := range m.usedByRank[:c.preemptionRank] {
		r = r.Add(s)
	}
	if c.guaranteed {
		r = r.Add(m.checkpointedByRank[c.preemptionRank]) // see mayPreempt
	}
	return r
}

// preemptions finds room for up to want tasks, in one zone or anywhere, at the
// least loss: free room first.
func (l *leader) preemptions(c *candidate, want int, zone string, quick bool) []room {
	wait := l.c.slowFetch(c.job.Class)
	zoneRoom := l.zoneRoom(c.job)
	var all []room
	l.passes.evaluations += len(l.passes.leaves)
	for _, m := range l.passes.leaves {
		if zone != "" && m.zone != zone || !l.mayPreemptOn(c, m) || quick && l.slow(c.job, m, wait) {
			continue
		}
		if zoneRoom != nil && zoneRoom(m.zone) < 1 {
			continue
		}
		all = append(all, l.roomsOn(c, m, want, quick)...)
	}
	return preemption.Choose(all, want, zoneRoom)
}

// mayPreemptOn tells whether room for a candidate's task can be made on a
// machine.
func (l *leader) mayPreemptOn(c *candidate, m *machine) bool {
	return l.roomByPreemption(c, m).Holds(size(&c.job.Job)) && l.mayTake(c.job, m) && (m.reserved == nil || l.c.now >= m.reservedUntil)
}

// roomsOn lists the rooms that stops for a candidate make on one machine.
func (l *leader) roomsOn(c *candidate, m *machine, want int, quick bool) []room {
	whole, _ := l.total(m)
	return preemption.On(&preemption.Machine[taskRef]{
		Name: m.name, Zone: m.zone, Free: whole.Sub(m.used),
		Victims: func(free topology.Resources) ([]victim, topology.Resources) {
			return l.victimsOn(c, m, free, quick)
		},
	}, size(&c.job.Job), want)
}

// victimEvaluations is about how many evaluations of machines take as long as that of a task as a victim, see
// BenchmarkPreemptions.
const victimEvaluations = 3

// victimsOn lists the tasks on a machine that may be stopped for a candidate, and adds
// what is already on its way out to what is free. The list is good until the next call.
func (l *leader) victimsOn(c *candidate, m *machine, free topology.Resources, quick bool) ([]victim, topology.Resources) {
	whole, _ := l.total(m)
	l.passes.evaluations += victimEvaluations * len(m.placed)
	victims := l.passes.victims[:0]
	for _, p := range m.placed {
		t := p.task()
		if t.stop != nil {
			free = free.Add(size(&p.job.Job))
			continue
		}
		if !l.mayPreempt(c, p.job) || quick && p.job.rank == c.preemptionRank {
			continue
		}
		victims = append(victims, victim{Task: p, Loss: l.victimCost(p.job, t, whole)})
	}
	l.passes.victims = victims
	return victims, free
}

// Size is what becomes free when the task stops.
func (p taskRef) Size() topology.Resources { return size(&p.job.Job) }

// Gang names the gang that stops along with the task; empty if it stops alone.
func (p taskRef) Gang() string {
	if p.job.Shape == wire.ShapeGang {
		return p.job.ID
	}
	return ""
}

// mayTake tells whether a machine may take a job's tasks, were there room.
func (l *leader) mayTake(j *job, m *machine) bool {
	return l.usable(m) && eligible(&j.Job, m.typ, m.zone, m.spot) && !l.avoid(j, m)
}

// worthGang tells whether a gang may be stopped for a job that could have a
// machine rented instead: not where more room than the job needs would be
// emptied, all of which the gang has to find again.
func worthGang(c *candidate, v *job) bool {
	n, k := float64(len(v.tasks)), float64(len(c.pending))
	if v.GPUs > 0 {
		return v.GPUs*n <= c.job.GPUs*k
	}
	return v.CPUs*n <= c.job.CPUs*k
}

// mayPreempt tells whether a task may be stopped for a job: for a higher
// priority, or, where the job is within its team's guarantee, because another
// team runs it beyond its own. In the second case only work of the same
// priority that keeps its progress is stopped; the protocol would allow any.
func (l *leader) mayPreempt(c *candidate, v *job) bool {
	if c.ownTeamOnly && v.Team != c.job.Team {
		return false
	}
	if v.Shape == wire.ShapeGang && !c.noOffer && !worthGang(c, v) {
		return false
	}
	if v.rank != c.preemptionRank {
		return v.rank < c.preemptionRank
	}
	return c.guaranteed && v.Team != c.job.Team && !v.within && v.CheckpointS > 0
}
