package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// fleet is what the leader keeps of its dealings with the cloud.
type fleet struct {
	returns     map[string]bool
	returnBusy  bool
	returnRetry time.Duration

	listBusy bool
	listNext time.Duration
	listSeen map[string]bool

	rents    []*rent
	rentNext time.Duration
	rentSeq  int
	refused  map[offerKey]time.Duration
	cutAt    map[string]time.Duration // when a zone was last seen cut off
	moveNext time.Duration            // no machine is emptied for others before
	keep     map[string]bool          // idle machines that are kept for work to come

	urge       map[string]bool // machines to send commands to at once
	watchRetry time.Duration
}

func newFleet() fleet {
	return fleet{returns: map[string]bool{}, refused: map[offerKey]time.Duration{}, cutAt: map[string]time.Duration{}, keep: map[string]bool{}, urge: map[string]bool{}}
}

func (l *leader) tickFleet() {
	l.returnBatch()
	l.list()
	for _, r := range l.fleet.rents {
		if !r.busy && l.c.now >= r.retry {
			l.rent(r)
		}
	}
	for _, m := range l.byName {
		l.drainLeaving(m)
		l.returnIdle(m)
	}
}

// Boot times are usually 0.6 to 1.5 times the type's. A machine that takes
// longer may take several times as long: it is no longer counted on, so that
// another is rented in time, and later it is given up.
const (
	bootSlow = 1.5
	bootLate = 1.6
	bootGone = 4
)

// overdue tells how many times its type's boot time a machine has taken.
func (l *leader) overdue(m *machine) float64 {
	t := l.c.types[m.typ]
	if t == nil || t.BootS <= 0 || m.heard != 0 {
		return 0
	}
	return (l.c.now - m.createdAt).Seconds() / t.BootS
}

// drainLeaving moves work off a machine that the cloud is about to take, in
// time for the slowest save.
func (l *leader) drainLeaving(m *machine) {
	if m.leaving == 0 && !m.evict || len(m.placed) == 0 {
		return
	}
	for _, p := range m.placed {
		if t := p.task(); t.m != m || t.stop != nil {
			continue
		}
		grace := 0.0
		if p.j.CheckpointS > 0 {
			grace = p.j.SaveS
		}
		if p.j.Shape == wire.ShapeGang {
			// All of a gang has to be told together to save.
			for i := range p.j.tasks {
				if p.j.tasks[i].m != nil {
					l.stopTask(p.j, i, grace, "machine leaves")
				}
			}
			continue
		}
		l.stopTask(p.j, p.i, grace, "machine leaves")
	}
}

// minCharge is the least time the cloud charges for a machine.
const minCharge = 60 * time.Second

// returnIdle gives back machines that nothing needs.
func (l *leader) returnIdle(m *machine) {
	if m.returning || l.fleet.returns[m.name] {
		return
	}
	if m.heard == 0 {
		// A new leader has to give a machine that came up under an earlier
		// term the time to report first.
		// One that has placements did come up: another controller may keep it.
		if l.overdue(m) > bootGone && l.c.now-l.loadedAt > l.c.lease() && len(m.placed) == 0 && m.contact == 0 {
			l.giveBack(m, "does not come up")
		}
		return
	}
	if len(m.placed) > 0 {
		return
	}
	if m.drain != "" {
		l.giveBack(m, m.drain)
		return
	}
	if m.leaving != 0 {
		l.giveBack(m, "will be taken")
		return
	}
	idle := 3 * l.c.lease()
	if s := l.c.op.IdleReturnS; s != nil {
		idle = time.Duration(*s * float64(time.Second))
	}
	if l.fleet.keep[m.name] || l.c.now-l.loadedAt < idle {
		return
	}
	if l.c.now-m.idleSince >= idle && l.c.now-m.createdAt >= minCharge {
		l.giveBack(m, "idle")
	}
}
