// Package provisioning plans which machines to provision. It packs pending and forecast tasks by
// best fit into the machines of the fleet and those already requested, adds machines of the
// cheapest offers for the tasks that do not fit, and counts the added machines of each offer.
//
// The cost of a plan depends on the number of different task specs and of different machine
// capacities, not on tasks times machines: machines of one offer with the same free capacity are
// indexed together, and a search that found no machine is not repeated. The package does no I/O and
// reads no clock. Package core makes a plan in each placement pass of a leader.
package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Plan is a provisioning plan under construction. Machines are added first, then tasks are packed.
type Plan struct {
	bins         []*Bin
	binsByZone   map[string]int // number of bins
	indexes      []*binIndex    // one for each offer, in the order in which they were added
	indexByOffer map[Offer]*binIndex
	offers       []*OfferDetails
	stateBySpec  map[TaskSpec]*packingState
	lastPacked   *Bin // bin of the last task packed, or nil; it is in no index until reindexed
	arena        binArena
	evaluations  int
}

// New returns a plan without machines. Among offers at the same price per task in zones with equally
// many bins, the first one is preferred. The plan decrements Available in the given slice.
func New(offers []OfferDetails) *Plan {
	plan := &Plan{indexByOffer: map[Offer]*binIndex{}, binsByZone: map[string]int{}, stateBySpec: map[TaskSpec]*packingState{}}
	for i := range offers {
		plan.offers = append(plan.offers, &offers[i])
		plan.offerIndex(offers[i].Offer)
	}
	return plan
}

// offerIndex returns the index of an offer's bins and adds it if there is none.
func (p *Plan) offerIndex(offer Offer) *binIndex {
	index := p.indexByOffer[offer]
	if index == nil {
		index = newBinIndex(offer)
		p.indexByOffer[offer] = index
		p.indexes = append(p.indexes, index)
	}
	return index
}

// AddMachine adds a machine with its free capacity and the capacity used by the tasks of each
// priority level.
func (p *Plan) AddMachine(name string, offer Offer, free topology.Resources, preemptible [PriorityLevels]topology.Resources) {
	bin := p.arena.allocate()
	bin.Machine, bin.Offer, bin.Free, bin.Preemptible = name, offer, free, preemptible
	p.addBin(bin)
}

// AddRequested adds machines that have been requested but not yet granted.
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

// Pack packs a task into the tightest bin that it fits into, or else into a new machine of the
// cheapest offer, and returns the bin; nil if there is none. Among equally cheap offers, it takes
// one in the zone with the fewest bins. last is the bin of an equal task packed just before, or nil:
// it was the tightest bin then, so it still is if another task fits.
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

// findBin returns the tightest bin for a task, or a new one; nil if there is none.
func (p *Plan) findBin(task *TaskSpec, zones ZoneFilter) *Bin {
	p.reindexLastPacked()
	state := p.packingState(task)
	if bin := state.tightestBin(task, zones, &p.evaluations); bin != nil {
		return bin
	}
	return p.provisionCheapest(state, zones)
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

// reindexLastPacked reinserts the bin of the last task packed into its index.
func (p *Plan) reindexLastPacked() {
	if p.lastPacked != nil {
		p.indexByOffer[p.lastPacked.Offer].insert(p.lastPacked)
		p.lastPacked = nil
	}
}

// provisionCheapest adds a machine of the cheapest offer and returns its bin; nil if there is no
// offer.
func (p *Plan) provisionCheapest(state *packingState, zones ZoneFilter) *Bin {
	best := p.cheapestOffer(state, zones)
	if best == nil {
		return nil
	}
	best.reserve()
	bin := &Bin{Offer: best.Offer, Free: best.Capacity, ToProvision: true}
	p.addBin(bin)
	return bin
}

// cheapestOffer returns the available offer with the lowest price per task, and among equal ones
// that in the zone with the fewest bins; nil if there is none.
func (p *Plan) cheapestOffer(state *packingState, zones ZoneFilter) *OfferDetails {
	var best *offerCost
	for i := range state.offers {
		candidate := &state.offers[i]
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

// Bins returns all bins in the order in which they were added.
func (p *Plan) Bins() []*Bin { return p.bins }

// Evaluations returns the number of tasks and groups of bins evaluated so far. It measures the cost
// of the plan independently of any clock.
func (p *Plan) Evaluations() int { return p.evaluations }

// A Shortfall is a number of machines of one offer to be provisioned.
type Shortfall struct {
	Offer   Offer
	Count   int
	Purpose string // that of the first machine, for log lines
}

// Shortfalls returns the machines to be provisioned by offer, in the order in which the plan first
// added a machine of each: the most urgent first if the most urgent tasks were packed first.
func (p *Plan) Shortfalls() []Shortfall {
	var shortfalls []Shortfall
	positionByOffer := map[Offer]int{}
	for _, bin := range p.bins {
		if !bin.ToProvision {
			continue
		}
		i, ok := positionByOffer[bin.Offer]
		if !ok {
			i = len(shortfalls)
			positionByOffer[bin.Offer] = i
			shortfalls = append(shortfalls, Shortfall{Offer: bin.Offer, Purpose: bin.Purpose})
		}
		shortfalls[i].Count++
	}
	return shortfalls
}
