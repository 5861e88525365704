// Package rental plans which machines to rent. It packs the tasks that wait, and
// those that are expected, into the machines there are, those asked for and those
// that the cloud offers, the tightest first, and tells what is wanted of each offer.
//
// The cost of a plan grows with the kinds of tasks and with what differs between
// machines, not with tasks times machines: machines of one offer with the same room
// are kept together, and what was found not to fit is not looked for again. The
// package does no I/O and keeps no time.
package rental

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

// Terms are what machines of an offer hold and cost.
type Terms struct {
	Offer
	Capacity topology.Resources
	Price    float64 // an hour
	// Limit is how many machines may be counted on beside those that are asked for.
	Limit int
}

// Unlimited is the limit of an offer that has not refused lately.
const Unlimited = math.MaxInt

// Need is what one task asks of a machine. Tasks with equal needs are alike to a plan.
type Need struct {
	Task  topology.Resources
	Types string // the allowed types, separated by commas; empty for all
	Zone  string // the only allowed zone; empty for all
	Spot  bool   // spot machines are allowed
	Rank  int    // of its priority
	// Expected is set for a task that has not come yet. It may count on room that
	// tasks of lower ranks hold, since they make way for it.
	Expected bool
}

// Accepts tells whether a task may run on machines of an offer, if they have room.
func (n *Need) Accepts(o Offer) bool {
	return (n.Zone == "" || n.Zone == o.Zone) && (n.Spot || !o.Spot) &&
		(n.Types == "" || slices.Contains(strings.Split(n.Types, ","), o.Type))
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
	ToRent      bool
	Purpose     string // what the first task packed into it is of

	number int // in the order in which bins were added
}

// room is what a task finds in the bin.
func (b *Bin) room(n *Need) topology.Resources {
	free := b.Free
	if n.Expected {
		for _, held := range b.Preemptible[:n.Rank] {
			free = free.Add(held)
		}
	}
	return free
}

// Plan is a plan in the making: first come the machines, then the tasks.
type Plan struct {
	bins        []*Bin
	shelves     []*shelf // by offer, in a fixed order
	byOffer     map[Offer]*shelf
	terms       []*Terms
	machines    map[string]int // bins by zone
	needs       map[Need]*needState
	open        *Bin // the bin that was packed last; it is on no shelf meanwhile
	slab        []Bin
	evaluations int
}

// needState is what a plan knows of tasks that are alike.
type needState struct {
	shelves []*shelf      // of the offers that they accept
	missed  []int         // by shelf: how many bins it had had when none of them fitted, plus one
	offers  []pricedOffer // by price
}

// pricedOffer is an offer and its price for one task.
type pricedOffer struct {
	terms *Terms
	fit   int // tasks of one machine
	cost  float64
}

// New begins a plan with what the cloud offers, in the order in which equal offers are
// taken.
func New(terms []Terms) *Plan {
	p := &Plan{byOffer: map[Offer]*shelf{}, machines: map[string]int{}, needs: map[Need]*needState{}}
	for i := range terms {
		p.terms = append(p.terms, &terms[i])
		p.shelf(terms[i].Offer)
	}
	return p
}

// shelf finds or makes the shelf of an offer.
func (p *Plan) shelf(o Offer) *shelf {
	s := p.byOffer[o]
	if s == nil {
		s = newShelf(o)
		p.byOffer[o] = s
		p.shelves = append(p.shelves, s)
	}
	return s
}

// AddMachine adds a machine with what is free on it and what tasks of each rank hold.
func (p *Plan) AddMachine(name string, o Offer, free topology.Resources, preemptible [Ranks]topology.Resources) {
	b := p.newBin()
	b.Machine, b.Offer, b.Free, b.Preemptible = name, o, free, preemptible
	p.add(b)
}

// AddRequested adds machines that have been asked for.
func (p *Plan) AddRequested(o Offer, capacity topology.Resources, count int) {
	for range count {
		p.add(&Bin{Offer: o, Free: capacity})
	}
}

// slabSize is how many bins are made room for at once.
const slabSize = 256

// newBin makes a bin.
func (p *Plan) newBin() *Bin {
	if len(p.slab) == 0 {
		p.slab = make([]Bin, slabSize)
	}
	b := &p.slab[0]
	p.slab = p.slab[1:]
	return b
}

func (p *Plan) add(b *Bin) {
	p.record(b)
	p.shelf(b.Offer).put(b)
}

// record gives a bin its number.
func (p *Plan) record(b *Bin) {
	b.number = len(p.bins)
	p.bins = append(p.bins, b)
	p.machines[b.Offer.Zone]++
	p.shelf(b.Offer).had++
}

// state finds or makes what is known of tasks with a need.
func (p *Plan) state(n *Need) *needState {
	if s := p.needs[*n]; s != nil {
		return s
	}
	s := &needState{}
	for _, shelf := range p.shelves {
		if n.Accepts(shelf.offer) {
			s.shelves = append(s.shelves, shelf)
		}
	}
	s.missed = make([]int, len(s.shelves))
	for _, t := range p.terms {
		if fit := t.Capacity.Fit(n.Task, MaxTasksPerMachine); fit > 0 && n.Accepts(t.Offer) {
			s.offers = append(s.offers, pricedOffer{terms: t, fit: fit, cost: t.Price / float64(fit)})
		}
	}
	slices.SortStableFunc(s.offers, func(a, b pricedOffer) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	p.needs[*n] = s
	return s
}

// MaxTasksPerMachine bounds how many tasks a price is divided by.
const MaxTasksPerMachine = 1 << 20

// Pack finds a bin for a task: the tightest one with room, or else a machine of the
// cheapest offer, of equal ones in the zone with the fewest machines; nil if there is
// none. zoneAllowed may be nil. last is the bin of a like task just before, or nil: it
// was the tightest, so it still is where it has room for one more.
func (p *Plan) Pack(n *Need, zoneAllowed func(string) bool, last *Bin, purpose string) *Bin {
	p.evaluations++
	b := last
	if last == nil || !last.room(n).Holds(n.Task) || zoneAllowed != nil && !zoneAllowed(last.Offer.Zone) {
		s := p.state(n)
		b = p.tightest(n, s, zoneAllowed)
		if b == nil {
			b = p.rent(s, zoneAllowed)
		}
	}
	if b == nil {
		return nil
	}
	p.take(b, n, purpose)
	return b
}

// take packs a task into a bin.
func (p *Plan) take(b *Bin, n *Need, purpose string) {
	if p.open != b {
		p.close()
		p.byOffer[b.Offer].remove(b)
		p.open = b
	}
	b.Free = b.Free.Sub(n.Task)
	if !n.Expected {
		b.Preemptible[n.Rank] = b.Preemptible[n.Rank].Add(n.Task)
	}
	if !b.Used {
		b.Used, b.Purpose = true, purpose
	}
}

// close puts the bin that was packed last back on its shelf.
func (p *Plan) close() {
	if p.open != nil {
		p.byOffer[p.open.Offer].put(p.open)
		p.open = nil
	}
}

// tightest finds the bin with the least free room that a task fits into, of equal ones
// the first.
func (p *Plan) tightest(n *Need, s *needState, zoneAllowed func(string) bool) *Bin {
	p.close()
	var best *Bin
	for i, shelf := range s.shelves {
		if s.missed[i] == shelf.had+1 || zoneAllowed != nil && !zoneAllowed(shelf.offer.Zone) {
			continue
		}
		b := shelf.tightest(n, &p.evaluations)
		if b == nil {
			s.missed[i] = shelf.had + 1 // room only shrinks until another bin comes
			continue
		}
		if best == nil || b.Free.Less(best.Free) || !best.Free.Less(b.Free) && b.number < best.number {
			best = b
		}
	}
	return best
}

// rent adds a machine of the cheapest offer.
func (p *Plan) rent(s *needState, zoneAllowed func(string) bool) *Bin {
	var best *pricedOffer
	for i := range s.offers {
		o := &s.offers[i]
		if best != nil && o.cost > best.cost {
			break
		}
		if o.terms.Limit < 1 || zoneAllowed != nil && !zoneAllowed(o.terms.Zone) {
			continue
		}
		if best == nil || p.machines[o.terms.Zone] < p.machines[best.terms.Zone] {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	if best.terms.Limit != Unlimited {
		best.terms.Limit--
	}
	b := &Bin{Offer: best.terms.Offer, Free: best.terms.Capacity, ToRent: true}
	p.add(b)
	return b
}

// Bins lists all bins in the order in which they were added.
func (p *Plan) Bins() []*Bin { return p.bins }

// Evaluations counts what the plan has looked at so far: what it cost, independent of any
// clock.
func (p *Plan) Evaluations() int { return p.evaluations }

// Wanted is how many machines of an offer are to be rented.
type Wanted struct {
	Offer   Offer
	Count   int
	Purpose string // what the first one is for
}

// Wanted lists what is to be rented, the most urgent first.
func (p *Plan) Wanted() []Wanted {
	var out []Wanted
	at := map[Offer]int{}
	for _, b := range p.bins {
		if !b.ToRent {
			continue
		}
		i, ok := at[b.Offer]
		if !ok {
			i = len(out)
			at[b.Offer] = i
			out = append(out, Wanted{Offer: b.Offer, Purpose: b.Purpose})
		}
		out[i].Count++
	}
	return out
}
