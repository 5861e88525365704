// Package provisioning plans which machines to rent. It packs the tasks that wait, and
// those that are expected, into the machines there are, those asked for and those
// that the cloud offers, the tightest first, and tells what is wanted of each offer.
//
// The cost of a plan grows with the kinds of tasks and with what differs between
// machines, not with tasks times machines: machines of one offer with the same room
// are kept together, and what was found not to fit is not looked for again. The
// package does no I/O and keeps no time.
package provisioning

import (
	"math"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Ranks is the number of priorities.
const Ranks = 4

// Offer names what the cloud rents: a type of machine in a zone, as a spot machine or
// not.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferDetails are what machines of an offer hold and cost.
type OfferDetails struct {
	Offer
	Capacity topology.Resources
	Price    float64 // an hour
	// Available is how many machines may be counted on beside those that are asked for.
	Available int
}

// Unlimited is the limit of an offer that has not refused lately.
const Unlimited = math.MaxInt

// TaskSpec is what one task asks of a machine. Tasks with equal needs are alike to a plan.
type TaskSpec struct {
	Resources    topology.Resources
	MachineTypes string // the allowed types, separated by commas; empty for all
	Zone         string // the only allowed zone; empty for all
	AllowSpot    bool   // spot machines are allowed
	Rank         int    // of its priority
	// Forecast is set for a task that has not come yet. It may count on room that
	// tasks of lower ranks hold, since they make way for it.
	Forecast bool
}

// Accepts tells whether a task may run on machines of an offer, if they have room.
func (n *TaskSpec) Accepts(o Offer) bool {
	return (n.Zone == "" || n.Zone == o.Zone) && (n.AllowSpot || !o.Spot) &&
		(n.MachineTypes == "" || slices.Contains(strings.Split(n.MachineTypes, ","), o.Type))
}

// Bin is a machine that tasks are packed into: one that is up or boots, one that is
// asked for, or one to be rented.
type Bin struct {
	Machine string // its name; empty for one that is asked for or to be rented
	Offer   Offer
	Free    topology.Resources
	// Preemptible is what tasks of each rank hold.
	Preemptible [Ranks]topology.Resources
	Used        bool // a task was packed into it
	ToProvision bool
	Purpose     string // what the first task packed into it is of

	index int // in the order in which bins were added
}

// availableTo is what a task finds in the bin.
func (b *Bin) availableTo(task *TaskSpec) topology.Resources {
	free := b.Free
	if task.Forecast {
		for _, preemptible := range b.Preemptible[:task.Rank] {
			free = free.Add(preemptible)
		}
	}
	return free
}

// Plan is a plan in the making: first come the machines, then the tasks.
type Plan struct {
	bins         []*Bin
	indexes      []*binIndex // by offer, in a fixed order
	indexByOffer map[Offer]*binIndex
	offers       []*OfferDetails
	binsByZone   map[string]int // bins by zone
	kinds        map[TaskSpec]*taskKind
	lastPacked   *Bin // the bin that was packed last; it is on no shelf meanwhile
	arena        []Bin
	evaluations  int
}

// taskKind is what a plan knows of tasks that are alike.
type taskKind struct {
	indexes []*binIndex // of the offers that they accept
	noFitAt []int       // by shelf: how many bins it had had when none of them fitted, plus one
	offers  []offerCost // by price
}

// offerCost is an offer and its price for one task.
type offerCost struct {
	details         *OfferDetails
	tasksPerMachine int // tasks of one machine
	costPerTask     float64
}

// New begins a plan with what the cloud offers, in the order in which equal offers are
// taken.
func New(offers []OfferDetails) *Plan {
	plan := &Plan{indexByOffer: map[Offer]*binIndex{}, binsByZone: map[string]int{}, kinds: map[TaskSpec]*taskKind{}}
	for i := range offers {
		plan.offers = append(plan.offers, &offers[i])
		plan.offerIndex(offers[i].Offer)
	}
	return plan
}

// offerIndex finds or makes the shelf of an offer.
func (p *Plan) offerIndex(o Offer) *binIndex {
	index := p.indexByOffer[o]
	if index == nil {
		index = newBinIndex(o)
		p.indexByOffer[o] = index
		p.indexes = append(p.indexes, index)
	}
	return index
}

// AddMachine adds a machine with what is free on it and what tasks of each rank hold.
func (p *Plan) AddMachine(name string, o Offer, free topology.Resources, preemptible [Ranks]topology.Resources) {
	b := p.allocateBin()
	b.Machine, b.Offer, b.Free, b.Preemptible = name, o, free, preemptible
	p.addBin(b)
}

// AddRequested adds machines that have been asked for.
func (p *Plan) AddRequested(o Offer, capacity topology.Resources, count int) {
	for range count {
		p.addBin(&Bin{Offer: o, Free: capacity})
	}
}

// arenaSize is how many bins are made room for at once.
const arenaSize = 256

// allocateBin makes a bin.
func (p *Plan) allocateBin() *Bin {
	if len(p.arena) == 0 {
		p.arena = make([]Bin, arenaSize)
	}
	b := &p.arena[0]
	p.arena = p.arena[1:]
	return b
}

func (p *Plan) addBin(b *Bin) {
	p.registerBin(b)
	p.offerIndex(b.Offer).insert(b)
}

// registerBin gives a bin its number.
func (p *Plan) registerBin(b *Bin) {
	b.index = len(p.bins)
	p.bins = append(p.bins, b)
	p.binsByZone[b.Offer.Zone]++
	p.offerIndex(b.Offer).binsAdded++
}

// taskKind finds or makes what is known of tasks with a need.
func (p *Plan) taskKind(task *TaskSpec) *taskKind {
	if kind := p.kinds[*task]; kind != nil {
		return kind
	}
	kind := &taskKind{}
	for _, index := range p.indexes {
		if task.Accepts(index.offer) {
			kind.indexes = append(kind.indexes, index)
		}
	}
	kind.noFitAt = make([]int, len(kind.indexes))
	for _, t := range p.offers {
		if fit := t.Capacity.Fit(task.Resources, MaxTasksPerMachine); fit > 0 && task.Accepts(t.Offer) {
			kind.offers = append(kind.offers, offerCost{details: t, tasksPerMachine: fit, costPerTask: t.Price / float64(fit)})
		}
	}
	slices.SortStableFunc(kind.offers, func(a, b offerCost) int {
		switch {
		case a.costPerTask < b.costPerTask:
			return -1
		case a.costPerTask > b.costPerTask:
			return 1
		}
		return 0
	})
	p.kinds[*task] = kind
	return kind
}

// MaxTasksPerMachine bounds how many tasks a price is divided by.
const MaxTasksPerMachine = 1 << 20

// Pack finds a bin for a task: the tightest one with room, or else a machine of the
// cheapest offer, of equal ones in the zone with the fewest machines; nil if there is
// none. zoneAllowed may be nil. last is the bin of a like task just before, or nil: it
// was the tightest, so it still is where it has room for one more.
func (p *Plan) Pack(task *TaskSpec, zoneAllowed func(string) bool, last *Bin, purpose string) *Bin {
	p.evaluations++
	bin := last
	if last == nil || !last.availableTo(task).Holds(task.Resources) || zoneAllowed != nil && !zoneAllowed(last.Offer.Zone) {
		kind := p.taskKind(task)
		bin = p.tightestBin(task, kind, zoneAllowed)
		if bin == nil {
			bin = p.provisionCheapest(kind, zoneAllowed)
		}
	}
	if bin == nil {
		return nil
	}
	p.assign(bin, task, purpose)
	return bin
}

// assign packs a task into a bin.
func (p *Plan) assign(bin *Bin, task *TaskSpec, purpose string) {
	if p.lastPacked != bin {
		p.reindexLastPacked()
		p.indexByOffer[bin.Offer].remove(bin)
		p.lastPacked = bin
	}
	bin.Free = bin.Free.Sub(task.Resources)
	if !task.Forecast {
		bin.Preemptible[task.Rank] = bin.Preemptible[task.Rank].Add(task.Resources)
	}
	if !bin.Used {
		bin.Used, bin.Purpose = true, purpose
	}
}

// reindexLastPacked puts the bin that was packed last back on its shelf.
func (p *Plan) reindexLastPacked() {
	if p.lastPacked != nil {
		p.indexByOffer[p.lastPacked.Offer].insert(p.lastPacked)
		p.lastPacked = nil
	}
}

// tightestBin finds the bin with the least free room that a task fits into, of equal ones
// the first.
func (p *Plan) tightestBin(task *TaskSpec, kind *taskKind, zoneAllowed func(string) bool) *Bin {
	p.reindexLastPacked()
	var best *Bin
	for i, index := range kind.indexes {
		if kind.noFitAt[i] == index.binsAdded+1 || zoneAllowed != nil && !zoneAllowed(index.offer.Zone) {
			continue
		}
		bin := index.tightestBin(task, &p.evaluations)
		if bin == nil {
			kind.noFitAt[i] = index.binsAdded + 1 // room only shrinks until another bin comes
			continue
		}
		if best == nil || bin.Free.Less(best.Free) || !best.Free.Less(bin.Free) && bin.index < best.index {
			best = bin
		}
	}
	return best
}

// provisionCheapest adds a machine of the cheapest offer.
func (p *Plan) provisionCheapest(kind *taskKind, zoneAllowed func(string) bool) *Bin {
	var best *offerCost
	for i := range kind.offers {
		candidate := &kind.offers[i]
		if best != nil && candidate.costPerTask > best.costPerTask {
			break
		}
		if candidate.details.Available < 1 || zoneAllowed != nil && !zoneAllowed(candidate.details.Zone) {
			continue
		}
		if best == nil || p.binsByZone[candidate.details.Zone] < p.binsByZone[best.details.Zone] {
			best = candidate
		}
	}
	if best == nil {
		return nil
	}
	if best.details.Available != Unlimited {
		best.details.Available--
	}
	b := &Bin{Offer: best.details.Offer, Free: best.details.Capacity, ToProvision: true}
	p.addBin(b)
	return b
}

// Bins lists all bins in the order in which they were added.
func (p *Plan) Bins() []*Bin { return p.bins }

// Evaluations counts what the plan has looked at so far: what it cost, independent of any
// clock.
func (p *Plan) Evaluations() int { return p.evaluations }

// Shortfall is how many machines of an offer are to be rented.
type Shortfall struct {
	Offer   Offer
	Count   int
	Purpose string // what the first one is for
}

// Shortfalls lists what is to be rented, the most urgent first.
func (p *Plan) Shortfalls() []Shortfall {
	var shortfalls []Shortfall
	position := map[Offer]int{}
	for _, b := range p.bins {
		if !b.ToProvision {
			continue
		}
		i, ok := position[b.Offer]
		if !ok {
			i = len(shortfalls)
			position[b.Offer] = i
			shortfalls = append(shortfalls, Shortfall{Offer: b.Offer, Purpose: b.Purpose})
		}
		shortfalls[i].Count++
	}
	return shortfalls
}
