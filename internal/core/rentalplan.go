package core

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// needOf is what a task of a job asks of a machine that is to be rented.
func needOf(j *job, expected bool) rental.Need {
	return rental.Need{Task: size(&j.Job), Types: strings.Join(j.Types, ","), Zone: j.Zone, Spot: j.Spot, Rank: j.rank, Expected: expected}
}

// needOfCandidate is what a waiting task of a candidate asks of a machine. Guests' tasks
// have no dear machine rented or kept.
func (l *leader) needOfCandidate(c *candidate) rental.Need {
	n := needOf(c.job, false)
	if c.guest {
		n.Types = strings.Join(l.cheapTypes(&c.job.Job), ",")
	}
	return n
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
	return l.usable(m) || m.token < l.mandate.Term && l.c.now-m.heard < 3*l.c.report()
}

// rentalPlan packs the tasks that found no room, and those that are expected
// while a machine boots, into the machines there are, those asked for and those
// to be rented, see package rental.
type rentalPlan struct {
	l *leader
	*rental.Plan
	stoppable map[teamRank]topology.Resources // see stoppableUse
	demand    *regionDemand                   // nil if limits are not shared with other regions
}

// teamRank names the work of a team below a rank.
type teamRank struct {
	team string
	rank int
}

const (
	maxOpenRents = 4  // rental requests without an answer
	maxRentCount = 50 // machines in one rental request
)

// Of an array's tasks a plan rents for all that take longer together than worthBoots
// times a boot on one seat each, and for leastPlanned in any case: tens of thousands of
// tasks of a second or two are over before the machines for all of them are up.
const (
	worthBoots   = 4
	leastPlanned = 500
)

// plannedTasks is for how many of a candidate's waiting tasks a plan rents: all of a
// service or a gang, as large as the fleet may be.
func (l *leader) plannedTasks(c *candidate) int {
	pending := len(c.pending)
	if c.job.Shape != wire.ShapeArray || pending <= leastPlanned {
		return pending
	}
	boot, _, ok := l.leadTime(c.job)
	if !ok || boot <= 0 {
		return pending
	}
	seats := math.Ceil(float64(pending) * l.runEstimate(c.job) / (worthBoots * boot))
	return min(pending, max(leastPlanned, int(seats)))
}

// plan rents for the tasks that found no room, and keeps or rents some room
// for the work that goes on or is expected while a machine boots.
func (l *leader) plan(cands []*candidate, usage map[string]topology.Resources) {
	p := newRentalPlan(l)
	planned := maps.Clone(usage)
	p.packPending(cands, planned)
	p.demand.finish(planned)
	p.packNextStages(planned)
	p.packExpected()
	l.passes.evaluations += p.Evaluations()
	l.consolidate(p.Bins(), cands)
	l.fleet.keepIdle = p.usedMachines()
	p.logKept()
	l.rentPlanned(p.Wanted())
}

// newRentalPlan starts a plan with the machines that are, or are about to be,
// of use, and with those that have been asked for.
func newRentalPlan(l *leader) *rentalPlan {
	p := &rentalPlan{l: l, Plan: rental.New(l.terms()), stoppable: map[teamRank]topology.Resources{}, demand: l.newRegionDemand()}
	late := l.boots.CountLate(l.c.now)
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || m.returning || l.fleet.returns[m.name] || m.drain != "" || m.leaving != 0 {
			continue
		}
		if !l.willBeUsable(m) && !(m.heard == 0 && late.CountOn(m.bootKind())) {
			continue
		}
		p.AddMachine(m.name, m.offer(), total.Sub(m.used), m.usedByRank)
	}
	for _, r := range l.fleet.rents {
		if t := l.c.types[r.req.Type]; t != nil {
			p.AddRequested(r.offer(), capacity(t), r.req.Count)
		}
	}
	return p
}

// packPending packs the candidates' tasks, within their teams' limits, and adds
// them to the teams' usage.
func (p *rentalPlan) packPending(cands []*candidate, usage map[string]topology.Resources) {
	for _, c := range cands {
		if c.faulty {
			p.l.noteWait(c.job, waitFaulty)
			continue
		}
		p.packCandidate(c, usage)
	}
}

// packCandidate packs a candidate's tasks and adds them to their team's usage.
func (p *rentalPlan) packCandidate(c *candidate, usage map[string]topology.Resources) {
	l, j := p.l, c.job
	// Room that is being made for it is not rented as well, also where the
	// pass did not come to it.
	c.reserved = max(c.reserved, l.reservedFor(j))
	packed := map[string]int{} // by zone
	need, purpose := l.needOfCandidate(c), purposeOf(j, false)
	zoneAllowed := p.allowedZones(c, &need, packed)
	var last *rental.Bin
	limit := l.limit(j.Team)
	used := usage[j.Team]
	defer func() { usage[j.Team] = used }()
	var stoppable topology.Resources
	if c.preemptionRank > 0 && !limit.Allows(used, need.Task, len(c.pending)) {
		// What its team runs of lower priorities makes way within the limit, but
		// only where there is a machine to start on.
		stoppable = p.stoppableUse(j.Team, c.preemptionRank)
	}
	wanted := l.plannedTasks(c) - c.reserved
	if p.demand != nil && j.Shape == wire.ShapeGang && !limit.Allows(used.Sub(stoppable), need.Task, wanted) {
		// A part of it would keep shares from others without any use.
		p.demand.noteShort(c, wanted)
		l.noteWait(j, l.limitReason(j))
		return
	}
	for k := range wanted {
		if !limit.Allows(used.Sub(stoppable), need.Task, 1) {
			p.demand.noteShort(c, wanted-k)
			l.noteWait(j, l.limitReason(j))
			return
		}
		if last = p.Pack(&need, zoneAllowed, last, purpose); last == nil {
			l.noteWait(j, waitNoOffer)
			return
		}
		packed[last.Offer.Zone]++
		used = used.Add(need.Task)
	}
	switch {
	case last != nil:
		l.noteWait(j, waitMachines)
	case c.reserved > 0:
		l.noteWait(j, waitStops)
	}
}

// stoppableUse is the leader's, found once in a plan.
func (p *rentalPlan) stoppableUse(team string, rank int) topology.Resources {
	key := teamRank{team, rank}
	sum, ok := p.stoppable[key]
	if !ok {
		sum = p.l.stoppableUse(team, rank)
		p.stoppable[key] = sum
	}
	return sum
}

// allowedZones tells in which zones the next task of a candidate may be packed, by
// how many of its tasks the plan has packed in each zone; nil for all zones.
func (p *rentalPlan) allowedZones(c *candidate, need *rental.Need, packed map[string]int) func(string) bool {
	j := c.job
	if j.OneZone && j.placed == 0 && c.reserved == 0 {
		only := p.ChooseZone(need, len(c.pending))
		return func(zone string) bool { return zone == only }
	}
	zoneRoom := p.l.zoneRoom(j)
	if zoneRoom == nil {
		return nil
	}
	return func(zone string) bool {
		if j.OneZone && len(packed) > 0 {
			return packed[zone] > 0
		}
		return packed[zone] < zoneRoom(zone)
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
		need, purpose := needOf(a.last, true), purposeOf(a.last, true)
		var last *rental.Bin
		for range l.expectedTasks(a, o) {
			if last = p.Pack(&need, nil, last, purpose); last == nil {
				break
			}
		}
	}
}

// usedMachines are the existing machines that the plan has a use for.
func (p *rentalPlan) usedMachines() map[string]bool {
	used := map[string]bool{}
	for _, b := range p.Bins() {
		if b.Used && b.Machine != "" {
			used[b.Machine] = true
		}
	}
	return used
}

// logKept logs what empty machines are kept for, whenever that changes.
func (p *rentalPlan) logKept() {
	kept := map[string]string{}
	for _, b := range p.Bins() {
		if m := p.l.machines[b.Machine]; m != nil && b.Used && len(m.placed) == 0 && m.heard != 0 {
			kept[b.Machine] = b.Purpose
			if p.l.fleet.keptFor[b.Machine] != b.Purpose {
				p.l.c.log.Debug("empty machine kept", "machine", b.Machine, "for", b.Purpose)
			}
		}
	}
	p.l.fleet.keptFor = kept
}

// rentPlanned takes over what a plan wants rented. The cloud takes few calls: what is
// wanted gathers until the next one, the most urgent first, instead of going out
// machine by machine.
func (l *leader) rentPlanned(wanted []rental.Wanted) {
	l.fleet.wanted = slices.Clone(wanted)
	l.sendRents()
	if len(l.fleet.wanted) > 0 {
		l.passes.requested = true
	}
}

// sendRents sends the rental requests that the cloud's rate allows now. What is left
// goes out as time allows, until the next plan says otherwise: plans of a large
// fleet are too far apart for one request each.
func (l *leader) sendRents() {
	f := &l.fleet
	for len(f.wanted) > 0 && l.c.now >= f.rentNext && len(f.rents) < maxOpenRents {
		w := &f.wanted[0]
		f.rentNext = l.c.now + time.Duration(2/l.c.cfg.Deployment.Cloud.RPS*float64(time.Second))
		f.rentSeq++
		r := &rent{req: wire.RentRequest{
			Request: "r-" + strconv.FormatUint(l.mandate.Term, 10) + "-" + strconv.Itoa(f.rentSeq),
			Type:    w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(w.Count, maxRentCount),
		}}
		f.rents = append(f.rents, r)
		l.c.log.Info("rent", "type", r.req.Type, "zone", r.req.Zone, "spot", r.req.Spot, "count", r.req.Count, "for", w.Purpose)
		if w.Count -= r.req.Count; w.Count == 0 {
			f.wanted = f.wanted[1:]
		}
		l.rent(r)
	}
}

// dropWanted forgets what is wanted of an offer that has no more machines: the next
// plan looks elsewhere.
func (l *leader) dropWanted(o rental.Offer) {
	l.fleet.wanted = slices.DeleteFunc(l.fleet.wanted, func(w rental.Wanted) bool { return w.Offer == o })
}
