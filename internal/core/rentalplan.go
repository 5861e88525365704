package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// bin is capacity that the rental plan packs tasks into: a machine that is up,
// one that boots, or one to be rented.
type bin struct {
	machine string // name of an existing machine; empty for one that is asked for
	key     offerKey
	free    topology.Resources
	// preemptible is what work of each priority holds that higher priorities
	// may stop: it counts as room for work that is only expected.
	preemptible [ranks]topology.Resources
	used        bool // a task was packed into it
	toRent      bool
	purpose     string // what the first task packed into it is of
}

// room is what a task of a priority finds; expected work may count on what it
// could preempt.
func (b *bin) room(rank int, expected bool) topology.Resources {
	free := b.free
	if expected {
		for _, held := range b.preemptible[:rank] {
			free = free.Add(held)
		}
	}
	return free
}

// take packs a task into the bin.
func (b *bin) take(j *job, expected bool) {
	need := size(&j.Job)
	b.free = b.free.Sub(need)
	if !expected {
		b.preemptible[j.rank] = b.preemptible[j.rank].Add(need)
	}
	if !b.used {
		b.used, b.purpose = true, purposeOf(j, expected)
	}
}

// purposeOf tells what room for a task is for.
func purposeOf(j *job, expected bool) string {
	if expected {
		return "expected " + j.Class
	}
	return j.ID
}

// willBeUsable tells whether a machine is, or is about to be, of use. One that
// has just reported and will hear this term with its next report counts:
// leaving it out for that moment rented a second machine for the same work.
func (l *leader) willBeUsable(m *machine) bool {
	if m.heard == 0 {
		return l.bootOverdue(m) <= bootLate
	}
	return l.usable(m) || m.token < l.term && l.c.now-m.heard < 3*l.c.report()
}

// rentalPlan packs the tasks that found no room, and those that are expected
// while a machine boots, into the machines there are, those asked for and those
// to be rented.
type rentalPlan struct {
	l    *leader
	bins []*bin
}

const (
	maxPlannedTasks = 500 // tasks of one job that a plan rents for
	maxOpenRents    = 4   // rental requests without an answer
	maxRentCount    = 50  // machines in one rental request
)

// plan rents for the tasks that found no room, and keeps or rents some room
// for the work that goes on or is expected while a machine boots.
func (l *leader) plan(cands []*candidate, usage map[string]topology.Resources) {
	p := newRentalPlan(l)
	planned := maps.Clone(usage)
	p.packPending(cands, planned)
	p.packNextStages(planned)
	p.packExpected()
	l.consolidate(p.bins, cands)
	l.fleet.keepIdle = p.usedMachines()
	p.logKept()
	for _, r := range l.rentPlanned(p.wanted()) {
		l.c.log.Info("rent", "type", r.req.Type, "zone", r.req.Zone, "spot", r.req.Spot, "count", r.req.Count, "for", p.rentedFor(r.key()))
	}
}

// newRentalPlan starts a plan with the machines that are, or are about to be,
// of use, and with those that have been asked for.
func newRentalPlan(l *leader) *rentalPlan {
	p := &rentalPlan{l: l}
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || m.returning || l.fleet.returns[m.name] || m.drain != "" || m.leaving != 0 || !l.willBeUsable(m) {
			continue
		}
		key := offerKey{m.typ, m.zone, m.spot}
		p.bins = append(p.bins, &bin{machine: m.name, key: key, free: total.Sub(m.used), preemptible: m.usedByRank})
	}
	for _, r := range l.fleet.rents {
		t := l.c.types[r.req.Type]
		if t == nil {
			continue
		}
		for range r.req.Count {
			p.bins = append(p.bins, &bin{key: r.key(), free: capacity(t)})
		}
	}
	return p
}

// packPending packs the candidates' tasks, within their teams' limits, and adds
// them to the teams' usage.
func (p *rentalPlan) packPending(cands []*candidate, usage map[string]topology.Resources) {
	for _, c := range cands {
		if len(c.job.failedOn) < maxFailedOn {
			p.packCandidate(c, usage)
		}
	}
}

// packCandidate packs a candidate's tasks and adds them to their team's usage.
func (p *rentalPlan) packCandidate(c *candidate, usage map[string]topology.Resources) {
	l, j := p.l, c.job
	// Room that is being made for it is not rented as well, also where the
	// pass did not come to it.
	c.reserved = max(c.reserved, l.reservedFor(j))
	packed := map[string]int{} // by zone
	zoneAllowed := p.allowedZones(c, packed)
	var last *bin
	team := l.c.team(j.Team)
	var stoppable topology.Resources
	if c.preemptionRank > 0 && !underLimit(team, usage[j.Team], size(&j.Job), len(c.pending)) {
		// What its team runs of lower priorities makes way within the limit, but
		// only where there is a machine to start on.
		stoppable = l.stoppableUse(j.Team, c.preemptionRank)
	}
	for k := c.reserved; k < len(c.pending) && k < maxPlannedTasks; k++ {
		if !underLimit(team, usage[j.Team].Sub(stoppable), size(&j.Job), 1) {
			l.noteWait(j, waitLimit)
			return
		}
		if last = p.pack(j, zoneAllowed, false, last); last == nil {
			l.noteWait(j, waitNoOffer)
			return
		}
		packed[last.key.zone]++
		usage[j.Team] = usage[j.Team].Add(size(&j.Job))
	}
	switch {
	case last != nil:
		l.noteWait(j, waitMachines)
	case c.reserved > 0:
		l.noteWait(j, waitStops)
	}
}

// packExpected packs the tasks that are expected of the classes which may wait
// only so long.
func (p *rentalPlan) packExpected() {
	l := p.l
	for _, o := range l.foreseen() {
		a := l.arrivals[o.Class]
		if a == nil || a.last == nil {
			continue
		}
		var last *bin
		for range l.expectedTasks(a, o) {
			if last = p.pack(a.last, nil, true, last); last == nil {
				break
			}
		}
	}
}

// pack finds a bin for a task, or adds the cheapest machine that the cloud may
// still grant; nil if there is none. zoneAllowed may be nil. last is the bin of
// the job's task before: it was the tightest, so it still is where it has room
// for one more.
func (p *rentalPlan) pack(j *job, zoneAllowed func(string) bool, expected bool, last *bin) *bin {
	need := size(&j.Job)
	best := last
	if last == nil || !last.room(j.rank, expected).Holds(need) || zoneAllowed != nil && !zoneAllowed(last.key.zone) {
		best = p.tightest(j, zoneAllowed, expected)
	}
	if best == nil {
		key, ok := p.l.offer(p.bins, &j.Job, zoneAllowed)
		if !ok {
			return nil
		}
		best = &bin{key: key, toRent: true, free: capacity(p.l.c.types[key.typ])}
		p.bins = append(p.bins, best)
	}
	best.take(j, expected)
	return best
}

// tightest finds the bin with the least free room that a task fits into.
func (p *rentalPlan) tightest(j *job, zoneAllowed func(string) bool, expected bool) *bin {
	p.l.passes.visits += len(p.bins)
	need := size(&j.Job)
	var best *bin
	for _, b := range p.bins {
		if !b.room(j.rank, expected).Holds(need) || !eligible(&j.Job, b.key.typ, b.key.zone, b.key.spot) {
			continue
		}
		if best != nil && !b.free.Less(best.free) || zoneAllowed != nil && !zoneAllowed(b.key.zone) {
			continue
		}
		best = b
	}
	return best
}

// usedMachines are the existing machines that the plan has a use for.
func (p *rentalPlan) usedMachines() map[string]bool {
	used := map[string]bool{}
	for _, b := range p.bins {
		if b.used && b.machine != "" {
			used[b.machine] = true
		}
	}
	return used
}

// rentedFor tells what the first machine to be rented of an offer is for.
func (p *rentalPlan) rentedFor(key offerKey) string {
	for _, b := range p.bins {
		if b.toRent && b.key == key {
			return b.purpose
		}
	}
	return ""
}

// logKept logs what empty machines are kept for, whenever that changes.
func (p *rentalPlan) logKept() {
	kept := map[string]string{}
	for _, b := range p.bins {
		if m := p.l.machines[b.machine]; m != nil && b.used && len(m.placed) == 0 && m.heard != 0 {
			kept[b.machine] = b.purpose
			if p.l.fleet.keptFor[b.machine] != b.purpose {
				p.l.c.log.Debug("empty machine kept", "machine", b.machine, "for", b.purpose)
			}
		}
	}
	p.l.fleet.keptFor = kept
}

// wantedMachines is how many machines of an offer are to be rented.
type wantedMachines struct {
	key   offerKey
	count int
}

// wanted lists what is to be rented, the most urgent first.
func (p *rentalPlan) wanted() []wantedMachines {
	var out []wantedMachines
	for _, b := range p.bins {
		if !b.toRent {
			continue
		}
		at := slices.IndexFunc(out, func(w wantedMachines) bool { return w.key == b.key })
		if at < 0 {
			at = len(out)
			out = append(out, wantedMachines{key: b.key})
		}
		out[at].count++
	}
	return out
}

// rentPlanned sends the rental requests that the cloud's rate allows now, and
// returns them. The cloud takes few calls: what is wanted gathers until the next
// one, the most urgent first, instead of going out machine by machine.
func (l *leader) rentPlanned(wanted []wantedMachines) (sent []*rent) {
	f := &l.fleet
	for _, w := range wanted {
		if l.c.now < f.rentNext || len(f.rents) >= maxOpenRents {
			l.passes.requested = true
			return sent
		}
		f.rentNext = l.c.now + time.Duration(2/l.c.cfg.Deployment.Cloud.RPS*float64(time.Second))
		f.rentSeq++
		r := &rent{req: wire.RentRequest{
			Request: "r-" + strconv.FormatUint(l.term, 10) + "-" + strconv.Itoa(f.rentSeq),
			Type:    w.key.typ, Zone: w.key.zone, Spot: w.key.spot, Count: min(w.count, maxRentCount),
		}}
		f.rents = append(f.rents, r)
		sent = append(sent, r)
		l.rent(r)
	}
	return sent
}
