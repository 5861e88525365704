package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Where the image of a job is fetched for longer than its class may wait, its
// tasks start in time only on machines that hold the image. If those are full, a
// replica that runs there may move to another machine that holds its image and has
// room: it is away for a moment, where the new task would wait for the whole
// fetch.

// settledAfter is how long a replica has to have run before it is moved: by the
// protocol a start that is stopped sooner does not count.
const settledAfter = 30 * time.Second

// relocation is a replica that makes room, and where it goes.
type relocation struct {
	replica taskRef
	to      *topology.Machine
}

// relocate makes room for a candidate's tasks on machines that hold its image by
// moving replicas.
func (p *placementPass) relocate(c *candidate) {
	l, j := p.l, c.job
	if j.Shape == wire.ShapeGang {
		return
	}
	if c.reserved = l.reservedFor(j); c.reserved > 0 {
		return
	}
	zoneRoom := l.zoneRoom(j)
	added := map[string]int{} // by zone
	want := l.preemptionsWanted(c, p.usage)
	var room []*machine
	for _, m := range l.passes.leaves {
		if len(room) == want || l.passes.evaluations > p.budgetEnd {
			break
		}
		if !m.hasImage(j.Image) || !l.mayTake(j, m) || m.reserved != nil && l.c.now < m.reservedUntil {
			continue
		}
		whole, _ := l.total(m)
		free := whole.Sub(m.used)
		for len(room) < want && (zoneRoom == nil || added[m.zone] < zoneRoom(m.zone)) {
			moves := p.relocationsOn(c, m, free)
			if moves == nil {
				break
			}
			p.move(moves)
			free = free.Add(movedSize(moves)).Sub(size(&j.Job))
			added[m.zone]++
			room = append(room, m)
		}
	}
	if len(room) > 0 {
		c.reserved = len(room)
		l.reserve(j, room, 0)
	}
}

// maxRelocations bounds how many replicas move for one task.
const maxRelocations = 2

// relocationsOn finds the replicas on a machine that have to move for one task of a
// candidate, and where to; nil if there are none. free is what is free there.
func (p *placementPass) relocationsOn(c *candidate, m *machine, free topology.Resources) []relocation {
	l, need := p.l, size(&c.job.Job)
	// Of the replicas that go to one machine only the first is taken: there may be
	// room for no more, and the zones of one job's replicas count together.
	var moves []relocation
	for _, replica := range m.placed {
		if !l.settled(replica) || replica.job == c.job || replica.job.rank > c.job.rank {
			continue
		}
		to := p.relocationTarget(replica, m, nil)
		if to == nil {
			continue
		}
		one := size(&replica.job.Job)
		if free.Add(one).Holds(need) {
			return []relocation{{replica, to}}
		}
		if len(moves) < maxRelocations && (len(moves) == 0 || moves[0].to != to) {
			moves = append(moves, relocation{replica, to})
		}
	}
	if free.Add(movedSize(moves)).Holds(need) {
		return moves
	}
	return nil
}

// movedSize is what moves make free on the machine that they are from.
func movedSize(moves []relocation) topology.Resources {
	var sum topology.Resources
	for _, r := range moves {
		sum = sum.Add(size(&r.replica.job.Job))
	}
	return sum
}

// settled tells whether a task is a replica that runs and may move.
func (l *leader) settled(p taskRef) bool {
	t := p.task()
	return p.job.Shape == wire.ShapeService && !p.job.OneZone && t.state == wire.TaskRunning && t.stop == nil &&
		t.upAt != 0 && l.c.now-t.upAt >= settledAfter
}

// relocationTarget finds the tightest machine with room that holds a replica's
// image. allowed may be nil.
func (p *placementPass) relocationTarget(replica taskRef, from *machine, allowed func(*machine) bool) *topology.Machine {
	l, j := p.l, replica.job
	zoneRoom := l.zoneRoom(j)
	var best *topology.Machine
	for _, leaf := range p.roomWithImage(j.Image) {
		l.passes.evaluations++
		m := l.passes.leaves[leaf.Key]
		if m == from || !leaf.Free.Holds(size(&j.Job)) || !eligible(&j.Job, m.typ, m.zone, m.spot) || l.faults.Doubtful(m.name) {
			continue
		}
		if m.reserved != nil && m.reserved != j && l.c.now < m.reservedUntil || allowed != nil && !allowed(m) {
			continue
		}
		if zoneRoom != nil && m.zone != from.zone && zoneRoom(m.zone) < 1 {
			continue
		}
		if best == nil || leaf.Free.Less(best.Free) {
			best = leaf
		}
	}
	return best
}

// roomWithImage lists the machines that hold an image and are not full.
func (p *placementPass) roomWithImage(image string) []*topology.Machine {
	if p.byImage == nil {
		p.byImage = map[string][]*topology.Machine{}
		for _, leaf := range p.nodes {
			if leaf.Free.CPUs <= 0 {
				continue
			}
			for _, i := range p.l.passes.leaves[leaf.Key].images {
				p.byImage[i.name] = append(p.byImage[i.name], leaf)
			}
		}
	}
	return p.byImage[image]
}

// move stops replicas to run elsewhere, and keeps their room there.
func (p *placementPass) move(moves []relocation) {
	l := p.l
	for _, r := range moves {
		j, to := r.replica.job, l.passes.leaves[r.to.Key]
		p.tree.Take(r.to, size(&j.Job))
		j.moveTo[r.replica.index] = to
		l.reserve(j, []*machine{to}, 0)
		l.c.log.Info("move replica", "task", r.replica.name, "from", r.replica.task().machine.name, "to", to.name)
		l.stopTask(j, r.replica.index, 0, stopMoved)
	}
}
