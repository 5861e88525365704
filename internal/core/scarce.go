package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Work that needs no GPUs can fill a machine's processors until its GPUs are of
// no use to anybody, and keep the machine rented for as long as it runs. Where
// the cloud has machines without GPUs for it, such work takes of a machine with
// GPUs only what the free ones do not need.

// perGPU is what the open jobs need of other resources for each GPU, at most.
func (l *leader) measurePerGPU() {
	l.perGPU = topology.Resources{}
	for _, j := range l.order {
		if j.GPUs > 0 && !j.cancelled && j.done < len(j.tasks) {
			l.perGPU.CPUs = max(l.perGPU.CPUs, j.CPUs/j.GPUs)
			l.perGPU.MemGB = max(l.perGPU.MemGB, j.MemGB/j.GPUs)
		}
	}
}

// plainBoot is the boot time, in seconds, of the types without GPUs that may
// take a job's tasks; infinite if there are none or the job needs GPUs.
func (l *leader) plainBoot(j *job) float64 {
	boot := math.Inf(1)
	if j.GPUs > 0 {
		return boot
	}
	for _, t := range l.c.types {
		if t.GPUs == 0 && allowed(j.Types, t.Name) && (topology.Resources{CPUs: t.CPUs, MemGB: t.MemGB}).Holds(size(&j.Job)) {
			boot = min(boot, t.BootS)
		}
	}
	return boot
}

// strands tells whether a task of a job would take what a machine's free GPUs
// need. plain is the job's plainBoot.
func (l *leader) strands(j *job, plain float64, typ string, free topology.Resources) bool {
	t := l.c.types[typ]
	if math.IsInf(plain, 1) || t == nil || t.GPUs == 0 || free.GPUs < 1e-6 {
		return false
	}
	left := free.Sub(size(&j.Job))
	return left.CPUs < free.GPUs*min(l.perGPU.CPUs, t.CPUs/t.GPUs)-1e-6 ||
		left.MemGB < free.GPUs*min(l.perGPU.MemGB, t.MemGB/t.GPUs)-1e-6
}

// waitsForPlain tells whether a job's task had better wait for a machine without
// GPUs than begin here, where its image is not: for as long as one takes to
// boot.
func (l *leader) waitsForPlain(j *job, plain float64, m *machine, free topology.Resources) bool {
	return !m.hasImage(j.Image) && float64(l.c.wall-j.at)/1000 < bootLate*plain && l.strands(j, plain, m.typ, free)
}

// maxMoves bounds the replicas that move at once: each is away for the time of
// a stop and a start.
const maxMoves = 8

// unstrand moves replicas that take what free GPUs need to machines without
// GPUs that hold their images.
func (l *leader) unstrand(targets []*space, free map[string]topology.Resources) bool {
	moved := 0
	var plain []*space
	for _, s := range targets {
		if t := l.c.types[s.key.typ]; t != nil && t.GPUs == 0 {
			plain = append(plain, s)
		}
	}
	if len(plain) == 0 {
		return false
	}
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || total.GPUs == 0 || !l.usable(m) || m.reserved != nil && l.c.now < m.reservedUntil {
			continue
		}
		room := total.Sub(m.used)
		for _, p := range m.placed {
			j, t := p.j, p.task()
			boot := l.plainBoot(j)
			if moved >= maxMoves {
				break
			}
			if math.IsInf(boot, 1) || !j.settled(t) || !l.strands(j, boot, m.typ, room.Add(size(&j.Job))) {
				continue
			}
			to := l.roomFor(p, m, plain, free, nil)
			if to == nil {
				continue
			}
			moved++
			free[to.name] = free[to.name].Sub(size(&j.Job))
			room = room.Add(size(&j.Job))
			j.moveTo[p.i] = l.machines[to.name]
			l.stopTask(j, p.i, 0, "moves to a machine without GPUs")
		}
	}
	if moved > 0 {
		l.fleet.moveNext = l.c.now + 2*l.c.report()
	}
	return moved > 0
}
