// Package provisioning plans which machines to provision. It packs the pending tasks, and those
// that are forecast, into the machines of the fleet, those that are requested and those that the
// cloud offers, the tightest first, and sums up how many machines of each offer are missing.
//
// The cost of a plan grows with the kinds of tasks and with what differs between machines, not
// with tasks times machines: machines of one offer with the same free capacity are indexed
// together, and a search that found nothing is not repeated. The package does no I/O and keeps no
// time. Package core makes a plan at each placement pass of a leader.
package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Plan is a plan in the making. Machines are added first, then tasks are packed.
type Plan struct {
	bins         []*Bin
	binsByZone   map[string]int // number of bins
	indexes      []*binIndex    // one for each offer, in a fixed order
	indexByOffer map[Offer]*binIndex
	offers       []*OfferDetails
	kinds        map[TaskSpec]*taskKind
	lastPacked   *Bin // the bin of the last task; it is in no index meanwhile
	arena        binArena
	evaluations  int
}

// New begins a plan. Of offers at the same price, the earlier ones are preferred. The plan counts
// down their Available.
func New(offers []OfferDetails) *Plan {
	plan := &Plan{indexByOffer: map[Offer]*binIndex{}, binsByZone: map[string]int{}, kinds: map[TaskSpec]*taskKind{}}
	for i := range offers {
		plan.offers = append(plan.offers, &offers[i])
		plan.offerIndex(offers[i].Offer)
	}
	return plan
}

// offerIndex finds or makes the index of an offer's bins.
func (p *Plan) offerIndex(offer Offer) *binIndex {
	index := p.indexByOffer[offer]
	if index == nil {
		index = newBinIndex(offer)
		p.indexByOffer[offer] = index
		p.indexes = append(p.indexes, index)
	}
	return index
}

// AddMachine adds a machine with its free capacity and what tasks of each priority level hold.
func (p *Plan) AddMachine(name string, offer Offer, free topology.Resources, preemptible [PriorityLevels]topology.Resources) {
	bin := p.arena.allocate()
	bin.Machine, bin.Offer, bin.Free, bin.Preemptible = name, offer, free, preemptible
	p.addBin(bin)
}

// AddRequested adds machines that are requested and not yet granted.
func (p *Plan) AddRequested(offer Offer, capacity topology.Resources, count int) {
	for range count {
		p.addBin(&Bin{Offer: offer, Free: capacity})
	}
}

func (p *Plan) addBin(bin *Bin) {
	bin.index = len(p.bins)
	p.bins = append(p.bins, bin)
	p.binsByZone[bin.Offer.Zone]++
	index := p.offerIndex(bin.Offer)
	index.binsAdded++
	index.insert(bin)
}

// A ZoneFilter reports whether a task may be packed in a zone. A nil filter allows all zones.
type ZoneFilter func(zone string) bool

func (f ZoneFilter) allows(zone string) bool { return f == nil || f(zone) }

// Pack finds a bin for a task: the tightest one with free capacity, or else a machine of the
// cheapest offer, of equal ones in the zone with the fewest machines; nil if there is none. last
// is the bin of an equal task just before, or nil: it was the tightest, so it still is where it
// has capacity for one more.
func (p *Plan) Pack(task *TaskSpec, zones ZoneFilter, last *Bin, purpose string) *Bin {
	p.evaluations++
	bin := last
	if last == nil || !last.fits(task) || !zones.allows(last.Offer.Zone) {
		bin = p.findBin(task, zones)
	}
	if bin == nil {
		return nil
	}
	p.assign(bin, task, purpose)
	return bin
}

// findBin is the tightest bin for a task, or a new one; nil if there is none.
func (p *Plan) findBin(task *TaskSpec, zones ZoneFilter) *Bin {
	p.reindexLastPacked()
	kind := p.taskKind(task)
	if bin := kind.tightestBin(task, zones, &p.evaluations); bin != nil {
		return bin
	}
	return p.provisionCheapest(kind, zones)
}

// assign packs a task into a bin.
func (p *Plan) assign(bin *Bin, task *TaskSpec, purpose string) {
	if p.lastPacked != bin {
		p.reindexLastPacked()
		p.indexByOffer[bin.Offer].remove(bin)
		p.lastPacked = bin
	}
	bin.pack(task, purpose)
}

// reindexLastPacked inserts the bin of the last task into its index again.
func (p *Plan) reindexLastPacked() {
	if p.lastPacked != nil {
		p.indexByOffer[p.lastPacked.Offer].insert(p.lastPacked)
		p.lastPacked = nil
	}
}

// provisionCheapest adds a machine of the cheapest offer; nil if there is none.
func (p *Plan) provisionCheapest(kind *taskKind, zones ZoneFilter) *Bin {
	best := p.cheapestOffer(kind, zones)
	if best == nil {
		return nil
	}
	best.reserve()
	bin := &Bin{Offer: best.Offer, Free: best.Capacity, ToProvision: true}
	p.addBin(bin)
	return bin
}

// cheapestOffer is the offer with the lowest price for a task, of equal ones that in the zone with
// the fewest bins; nil if there is none.
func (p *Plan) cheapestOffer(kind *taskKind, zones ZoneFilter) *OfferDetails {
	var best *offerCost
	for i := range kind.offers {
		candidate := &kind.offers[i]
		if best != nil && candidate.costPerTask > best.costPerTask {
			break
		}
		if candidate.Available < 1 || !zones.allows(candidate.Zone) {
			continue
		}
		if best == nil || p.binsByZone[candidate.Zone] < p.binsByZone[best.Zone] {
			best = candidate
		}
	}
	if best == nil {
		return nil
	}
	return best.OfferDetails
}

// Bins lists all bins in the order in which they were added.
func (p *Plan) Bins() []*Bin { return p.bins }

// Evaluations counts the tasks and groups of bins that the plan has evaluated so far: its cost,
// independent of any clock.
func (p *Plan) Evaluations() int { return p.evaluations }

// A Shortfall is how many machines of an offer are to be provisioned.
type Shortfall struct {
	Offer   Offer
	Count   int
	Purpose string // of the first machine
}

// Shortfalls lists what is to be provisioned, the most urgent first.
func (p *Plan) Shortfalls() []Shortfall {
	var shortfalls []Shortfall
	position := map[Offer]int{}
	for _, bin := range p.bins {
		if !bin.ToProvision {
			continue
		}
		i, ok := position[bin.Offer]
		if !ok {
			i = len(shortfalls)
			position[bin.Offer] = i
			shortfalls = append(shortfalls, Shortfall{Offer: bin.Offer, Purpose: bin.Purpose})
		}
		shortfalls[i].Count++
	}
	return shortfalls
}
