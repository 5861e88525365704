package core

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
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

type offerKey struct {
	typ, zone string
	spot      bool
}

// rent is a rental request without an answer so far. It is repeated under its
// name until it is answered, so it never rents twice.
type rent struct {
	req   wire.RentRequest
	busy  bool
	retry time.Duration
}

func newFleet() fleet {
	return fleet{returns: map[string]bool{}, refused: map[offerKey]time.Duration{}, cutAt: map[string]time.Duration{}, keep: map[string]bool{}, urge: map[string]bool{}}
}

type image struct {
	name string
	gb   float64
}

// hasImage tells whether a machine is believed to hold an image.
func (m *machine) hasImage(name string) bool {
	for _, i := range m.images {
		if i.name == name {
			return true
		}
	}
	return false
}

// useImage notes that a machine holds an image, and which older ones its
// cache must have dropped for it.
func (l *leader) useImage(m *machine, name string, gb float64) {
	kept := []image{{name, gb}}
	sum := gb
	limit := math.Inf(1)
	if t := l.c.types[m.typ]; t != nil && t.CacheGB > 0 {
		limit = t.CacheGB
	}
	for _, i := range m.images {
		if i.name == name {
			continue
		}
		if sum += i.gb; sum > limit {
			break
		}
		kept = append(kept, i)
	}
	m.images = kept
}

func (l *leader) price(typ string, spot bool) float64 {
	t := l.c.types[typ]
	if t == nil {
		return 0
	}
	if spot {
		return t.SpotPrice
	}
	return t.Price
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

// list reads the cloud's list, for machines that came or went unnoticed.
func (l *leader) list() {
	f := &l.fleet
	if f.listBusy || l.c.now < f.listNext {
		return
	}
	f.listBusy = true
	f.listSeen = map[string]bool{}
	l.listPage("")
}

func (l *leader) listPage(after string) {
	f := &l.fleet
	path := "/machines?limit=500"
	if after != "" {
		path += "&since=" + after
	}
	l.c.call(Call{Dest: DestCloud, Method: "GET", Path: path, Timeout: 4 * time.Second}, func(r Result) {
		if l.gone {
			return
		}
		p, ok := parseList(r.Body)
		if r.Status != 200 || !ok {
			f.listBusy = false
			f.listNext = l.c.now + time.Second
			return
		}
		for i := range p.Machines {
			row := &p.Machines[i]
			after = row.Name
			f.listSeen[row.Name] = true
			l.noteListed(row)
		}
		if p.More && len(p.Machines) > 0 {
			l.listPage(after)
			return
		}
		f.listBusy = false
		f.listNext = l.c.now + 2*time.Second
		lag := 3 * time.Duration(l.c.cfg.Deployment.Cloud.ListLagS*float64(time.Second))
		for _, m := range l.byName {
			if f.listSeen[m.name] {
				m.listedAt = l.c.now
				continue
			}
			// A machine stays listed until it is gone, but lists may be old.
			// Its absence proves nothing, so the return makes it certain.
			// One that only the records know was there before this leader: an
			// earlier one may have returned it when it could not record the ends
			// of its tasks. Taken for cut off, it held up those for minutes.
			listed := m.listedAt
			if listed == 0 && m.heard == 0 && len(m.placed) > 0 {
				listed = l.loadedAt
			}
			if listed != 0 && l.c.now-listed > lag && l.c.now-m.heard > 3*l.c.report() && !m.returning {
				l.giveBack(m, "no longer listed")
			}
		}
	})
}

func (l *leader) noteListed(row *wire.Machine) {
	if at, ok := l.returned[row.Name]; ok {
		// Listed long after its return was confirmed: return it again.
		if l.c.now-at > 4*time.Duration(l.c.cfg.Deployment.Cloud.ListLagS*float64(time.Second)) {
			l.returned[row.Name] = l.c.now
			l.fleet.returns[row.Name] = true
		}
		return
	}
	m := l.machines[row.Name]
	if m == nil {
		m = l.machine(row.Name)
		m.createdAt = l.c.now - time.Duration(row.AgeS*float64(time.Second))
		l.c.log.Info("machine listed", "machine", row.Name, "type", row.Type, "zone", row.Zone, "status", row.Status)
	}
	if !m.known {
		l.describe(m, row.Addr, row.Type, row.Zone, row.Spot)
	} else if m.addr == "" {
		m.addr = row.Addr
	}
	m.listedAs = row.Status
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

// arrivals keeps the times of a class's latest submissions.
type arrivals struct {
	at   []time.Duration
	last *job
}

const arrivalWindow = 120 * time.Second

// maxArrival is how many tasks of one job count as arrivals: a huge job is one
// event, not the rate of those to come.
const maxArrival = 64

// noteArrival counts a submission, by the time of its record: a new leader
// learns from the open jobs what was lately submitted.
func (l *leader) noteArrival(j *job) {
	a := l.arrivals[j.Class]
	if a == nil {
		a = &arrivals{}
		l.arrivals[j.Class] = a
	}
	n := 1
	if j.Shape != wire.ShapeArray {
		n = len(j.tasks)
	}
	at := l.c.now - time.Duration(max(0, l.c.wall-j.since))*time.Millisecond
	for range min(n, maxArrival) {
		a.at = append(a.at, at)
	}
	a.last = j
	for len(a.at) > 0 && l.c.now-a.at[0] > arrivalWindow {
		a.at = a.at[1:]
	}
}

// space is room that demand is packed into: a machine, a booting one, or one
// to be rented.
type space struct {
	name string // of an existing machine
	key  offerKey
	free topology.Resources
	// soft is what work of each priority holds that higher priorities may
	// stop: it counts as room for work that is only expected.
	soft [ranks]topology.Resources
	used bool
	want bool // to be rented
}

// room is what a task of a priority finds; expected work may count on what it
// could preempt.
func (s *space) room(rank int, expected bool) topology.Resources {
	r := s.free
	if expected {
		for k := 0; k < rank; k++ {
			r = r.Add(s.soft[k])
		}
	}
	return r
}

// supply tells whether a machine is, or is about to be, of use. One that has
// just reported and will hear this term with its next report counts: leaving
// it out for that moment rented a second machine for the same work.
func (l *leader) supply(m *machine) bool {
	if m.heard == 0 {
		return l.overdue(m) <= bootLate
	}
	return l.usable(m) || m.token < l.term && l.c.now-m.heard < 3*l.c.report()
}

// plan rents for the tasks that found no room, and keeps or rents some room
// for the work that is expected while a machine boots.
func (l *leader) plan(cands []*candidate, usage map[string]topology.Resources) {
	f := &l.fleet
	var spaces []*space
	add := func(name string, k offerKey, free topology.Resources) {
		spaces = append(spaces, &space{name: name, key: k, free: free})
	}
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || m.returning || f.returns[m.name] || m.drain != "" || m.leaving != 0 {
			continue
		}
		if !l.supply(m) {
			continue
		}
		add(m.name, offerKey{m.typ, m.zone, m.spot}, total.Sub(m.used))
		spaces[len(spaces)-1].soft = m.soft
	}
	for _, r := range f.rents {
		t := l.c.types[r.req.Type]
		if t == nil {
			continue
		}
		for k := 0; k < r.req.Count; k++ {
			add("", offerKey{r.req.Type, r.req.Zone, r.req.Spot}, topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB})
		}
	}
	sum := map[string]topology.Resources{}
	for k, v := range usage {
		sum[k] = v
	}
	for _, c := range cands {
		if len(c.j.failOn) >= 3 {
			continue
		}
		// Room that is being made for it is not rented as well, also where the
		// pass did not come to it.
		c.held = max(c.held, l.heldFor(c.j))
		room := l.zoneRoom(c.j)
		added := map[string]int{}
		var last *space
		for k := c.held; k < len(c.pending) && k < 500; k++ {
			if !underLimit(l.c.team(c.j.Team), sum[c.j.Team], size(&c.j.Job), 1) {
				break
			}
			zone := func(z string) bool {
				if c.j.OneZone && k > c.held {
					return added[z] > 0
				}
				return room == nil || added[z] < room(z)
			}
			s := l.pack(&spaces, c.j, zone, false, last)
			if s == nil {
				break
			}
			last = s
			added[s.key.zone]++
			sum[c.j.Team] = sum[c.j.Team].Add(size(&c.j.Job))
		}
	}
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind != "wait" {
			continue
		}
		a := l.arrivals[o.Class]
		if a == nil || a.last == nil {
			continue
		}
		n := l.expected(a, o)
		var last *space
		for k := 0; k < n; k++ {
			if last = l.pack(&spaces, a.last, nil, true, last); last == nil {
				break
			}
		}
	}
	l.consolidate(spaces, cands)
	f.keep = map[string]bool{}
	wants := map[offerKey]int{}
	var keys []offerKey
	for _, s := range spaces {
		switch {
		case s.want:
			if wants[s.key] == 0 {
				keys = append(keys, s.key)
			}
			wants[s.key]++
		case s.used && s.name != "":
			f.keep[s.name] = true
		}
	}
	for _, k := range keys {
		// The cloud takes few calls: what is wanted gathers until the next
		// one, the most urgent first, instead of going out machine by machine.
		if l.c.now < f.rentNext || len(f.rents) >= 4 {
			l.schedule = true
			break
		}
		f.rentNext = l.c.now + time.Duration(2/l.c.cfg.Deployment.Cloud.RPS*float64(time.Second))
		f.rentSeq++
		r := &rent{req: wire.RentRequest{
			Request: "r-" + strconv.FormatUint(l.term, 10) + "-" + strconv.Itoa(f.rentSeq),
			Type:    k.typ, Zone: k.zone, Spot: k.spot, Count: min(wants[k], 50),
		}}
		f.rents = append(f.rents, r)
		l.rent(r)
	}
}

// consolidate empties a machine whose replicas all find room on others that
// are up and hold their images, so that it can be returned. A replica that
// moves is away for the time of a stop and a start. One machine at a time, and
// only while nothing waits for room.
func (l *leader) consolidate(spaces []*space, cands []*candidate) {
	f := &l.fleet
	if l.c.now < f.moveNext || l.c.now-l.loadedAt < l.c.lease() {
		return
	}
	for _, c := range cands {
		if len(c.pending) > 0 {
			return
		}
	}
	var from []*machine
	free := map[string]topology.Resources{}
	var targets []*space
	for _, s := range spaces {
		if s.want {
			return
		}
		m := l.machines[s.name]
		if m == nil || !l.usable(m) {
			continue
		}
		if !s.used && l.c.now-m.createdAt > minCharge && m.movable() {
			from = append(from, m)
		}
		targets = append(targets, s)
		free[s.name] = s.free
	}
	for _, m := range l.byName {
		// Condemned machines come first, once their tasks are replicas alone.
		if m.drain != "" && !m.evict && !m.returning && m.movable() {
			from = append(from, m)
		}
	}
	sort.SliceStable(from, func(a, b int) bool {
		if ca, cb := from[a].drain != "", from[b].drain != ""; ca != cb {
			return ca
		}
		pa, pb := l.price(from[a].typ, from[a].spot), l.price(from[b].typ, from[b].spot)
		if pa != pb {
			return pa > pb
		}
		return len(from[a].placed) < len(from[b].placed)
	})
	// Whether all find room changes slowly, and finding out costs a walk over
	// machines times replicas.
	f.moveNext = l.c.now + l.c.report()
	for _, m := range from {
		if to := l.elsewhere(m, targets, free); to != nil {
			for k, p := range m.placed {
				p.j.moveTo[p.i] = to[k]
			}
			f.moveNext = l.c.now + l.movePace()
			l.condemn(m, "its replicas fit on other machines")
			m.evict = true
			return
		}
	}
}

// movePace is the time between two machines that are emptied. A machine that
// goes takes its images with it: while a class arrives whose image is fetched
// too slowly everywhere, they go seldom.
func (l *leader) movePace() time.Duration {
	for _, class := range sortedKeys(l.arrivals) {
		a := l.arrivals[class]
		if a.last == nil || len(a.at) == 0 || l.c.now-a.at[len(a.at)-1] > arrivalWindow {
			continue
		}
		slow, wait := true, l.c.slowFetch(class)
		for _, t := range l.c.types {
			if allowed(a.last.Types, t.Name) && (topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Holds(size(&a.last.Job)) &&
				a.last.ImageGB <= wait*t.FetchGBPS {
				slow = false
			}
		}
		if slow {
			return l.c.lease()
		}
	}
	return 2 * l.c.report()
}

// movable tells whether all that a machine does is to run settled replicas.
func (m *machine) movable() bool {
	for _, p := range m.placed {
		t := &p.j.tasks[p.i]
		if p.j.Shape != wire.ShapeService || t.state != wire.TaskRunning || t.stop != nil {
			return false
		}
	}
	return len(m.placed) > 0
}

// elsewhere finds a machine for each of a machine's replicas, in their order;
// nil if not all find one.
func (l *leader) elsewhere(m *machine, targets []*space, free map[string]topology.Resources) []*machine {
	type jobZone struct {
		j    *job
		zone string
	}
	left := map[string]topology.Resources{}
	for k, v := range free {
		left[k] = v
	}
	added := map[jobZone]int{}
	var to []*machine
	for _, p := range m.placed {
		j := p.j
		if j.OneZone {
			return nil
		}
		room := l.zoneRoom(j)
		var best *space
		for _, s := range targets {
			o := l.machines[s.name]
			if o == m || !left[s.name].Holds(size(&j.Job)) || !eligible(&j.Job, o.typ, o.zone, o.spot) || !o.hasImage(j.Image) || len(o.failed) > 0 || l.idler(s, m) {
				continue
			}
			if room != nil {
				n := room(o.zone) - added[jobZone{j, o.zone}]
				if o.zone == m.zone {
					n++ // its own place there becomes free
				}
				if n < 1 {
					continue
				}
			}
			if best == nil || left[s.name].Less(left[best.name]) {
				best = s
			}
		}
		if best == nil {
			return nil
		}
		left[best.name] = left[best.name].Sub(size(&j.Job))
		added[jobZone{j, best.key.zone}]++
		to = append(to, l.machines[best.name])
	}
	return to
}

// idler tells whether a space is a machine that nothing needs and that costs no
// less than the one to be emptied: it is about to be returned itself. After a
// job's end replicas once moved from a machine that ran well to one that the
// job had left empty.
func (l *leader) idler(s *space, m *machine) bool {
	o := l.machines[s.name]
	return !s.used && len(o.placed) == 0 && m.drain == "" && l.price(o.typ, o.spot) >= l.price(m.typ, m.spot)
}

// expected is how many tasks of a class may come while a machine boots and
// fetches the class's image, if a slow boot makes that longer than the class
// may wait. The share of the objective sets how sure it has to be that the
// room suffices; a class that has been seen is never without room.
func (l *leader) expected(a *arrivals, o config.Objective) int {
	lead, slow := math.Inf(1), math.Inf(1)
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		if !allowed(a.last.Types, name) || !(topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Holds(size(&a.last.Job)) {
			continue
		}
		fetch := 0.0
		if t.FetchGBPS > 0 {
			fetch = a.last.ImageGB / t.FetchGBPS
		}
		lead = min(lead, t.BootS+fetch)
		slow = min(slow, bootSlow*t.BootS+fetch)
	}
	if math.IsInf(lead, 1) || slow <= o.WithinS {
		return 0
	}
	n := 0
	for _, at := range a.at {
		if l.c.now-at <= arrivalWindow {
			n++
		}
	}
	mean := float64(n) / arrivalWindow.Seconds() * lead
	sure := min(max(o.Share, 0.5), 0.99)
	k := int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*sure-1)*math.Sqrt(mean)))
	k = max(k, 1)
	if w := l.c.op.WarmMachines; w != nil {
		k = min(k, *w)
	}
	return k
}

// pack finds a space for a task, or adds the cheapest machine that the cloud
// may still grant. last is the space of the job's task before: it was the
// tightest, so it still is where it has room for one more.
func (l *leader) pack(spaces *[]*space, j *job, zone func(string) bool, expected bool, last *space) *space {
	need, rank := size(&j.Job), j.rank
	var best *space
	if last != nil && last.room(rank, expected).Holds(need) && (zone == nil || zone(last.key.zone)) {
		best = last
	} else {
		l.visits += len(*spaces)
		for _, s := range *spaces {
			if !s.room(rank, expected).Holds(need) || !eligible(&j.Job, s.key.typ, s.key.zone, s.key.spot) ||
				best != nil && !s.free.Less(best.free) || zone != nil && !zone(s.key.zone) {
				continue
			}
			best = s
		}
	}
	if best == nil {
		k, ok := l.offer(*spaces, &j.Job, zone)
		if !ok {
			return nil
		}
		t := l.c.types[k.typ]
		best = &space{key: k, want: true, free: topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}}
		*spaces = append(*spaces, best)
	}
	best.free = best.free.Sub(need)
	if !expected {
		best.soft[rank] = best.soft[rank].Add(need)
	}
	best.used = true
	return best
}

// offer picks the type, zone and kind with the least price per task, among
// those not refused lately; of several zones the one with the fewest machines.
func (l *leader) offer(spaces []*space, j *wire.Job, zone func(string) bool) (offerKey, bool) {
	count := map[string]int{}
	for _, s := range spaces {
		count[s.key.zone]++
	}
	type choice struct {
		k    offerKey
		cost float64
	}
	var cs []choice
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		fit := (topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Fit(size(j), 1<<20)
		if fit < 1 {
			continue
		}
		for _, z := range t.Zones {
			if zone != nil && !zone(z) || l.cutOff(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := offerKey{name, z, spot}
				if !eligible(j, name, z, spot) || l.c.now < l.fleet.refused[k] {
					continue
				}
				cs = append(cs, choice{k, l.price(name, spot) / float64(fit)})
			}
		}
	}
	if len(cs) == 0 {
		return offerKey{}, false
	}
	sort.SliceStable(cs, func(a, b int) bool {
		if cs[a].cost != cs[b].cost {
			return cs[a].cost < cs[b].cost
		}
		return count[cs[a].k.zone] < count[cs[b].k.zone]
	})
	return cs[0].k, true
}

// cutOff tells whether a zone is, or was a moment ago, out of reach: what is
// rented there is of no use before it is back.
func (l *leader) cutOff(zone string) bool {
	at, ok := l.fleet.cutAt[zone]
	return ok && l.c.now-at < l.c.report()
}

// rent sends a rental request; a shortage closes the offer for a while.
func (l *leader) rent(r *rent) {
	f := &l.fleet
	r.busy = true
	asked := l.c.now
	k := offerKey{r.req.Type, r.req.Zone, r.req.Spot}
	drop := func() {
		for i, o := range f.rents {
			if o == r {
				f.rents = append(f.rents[:i:i], f.rents[i+1:]...)
				return
			}
		}
	}
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines", Body: encode(r.req), Timeout: 4 * time.Second}, func(res Result) {
		r.busy = false
		if l.gone {
			return
		}
		switch res.Status {
		case 200:
			drop()
			var names wire.MachineNames
			json.Unmarshal(res.Body, &names)
			l.c.log.Info("rented", "type", k.typ, "zone", k.zone, "spot", k.spot, "asked", r.req.Count, "got", len(names.Machines))
			for _, n := range names.Machines {
				if _, ok := l.returned[n]; ok {
					continue
				}
				m := l.machine(n)
				if !m.known {
					l.describe(m, "", k.typ, k.zone, k.spot)
				}
				m.createdAt = asked
			}
			if len(names.Machines) < r.req.Count {
				f.refused[k] = l.c.now + l.refusedFor()
			}
			l.schedule = true
		case 503:
			var e struct {
				Error string `json:"error"`
			}
			json.Unmarshal(res.Body, &e)
			if e.Error == "no capacity" {
				l.c.log.Debug("no capacity", "type", k.typ, "zone", k.zone, "spot", k.spot)
				drop()
				f.refused[k] = l.c.now + l.refusedFor()
				l.schedule = true
				return
			}
			r.retry = l.c.now + time.Second
		case 400:
			drop()
			f.refused[k] = l.c.now + 10*l.refusedFor()
			l.c.log.Error("rental refused as malformed", "type", k.typ, "zone", k.zone)
		default:
			r.retry = l.c.now + time.Second
		}
	})
}

// refusedFor is how long an offer without capacity is not asked again: long
// enough that all offers together stay well under the cloud's rate.
func (l *leader) refusedFor() time.Duration {
	return time.Duration(48 / l.c.cfg.Deployment.Cloud.RPS * float64(time.Second))
}

// estimate is a class's learned ratio of run times to the owners' estimates.
type estimate struct {
	ratio float64
	n     int
}

// learnRun corrects a class's estimates by a finished task.
func (l *leader) learnRun(j *job, run time.Duration, known bool) {
	if !known || j.EstimateS <= 0 || run <= 0 {
		return
	}
	e := l.estimate[j.Class]
	if e == nil {
		e = &estimate{ratio: 1}
		l.estimate[j.Class] = e
	}
	e.n++
	w := max(1/float64(e.n+1), 0.05)
	r := min(max(run.Seconds()/j.EstimateS, 0.25), 4)
	e.ratio += (r - e.ratio) * w
}

// runEstimate is a job's expected run time in seconds.
func (l *leader) runEstimate(j *job) float64 {
	if e := l.estimate[j.Class]; e != nil {
		return j.EstimateS * e.ratio
	}
	return j.EstimateS
}
