package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Bin is a machine that tasks are packed into: one that is running or boots, one that is requested,
// or one to be provisioned.
type Bin struct {
	Machine string // its name; empty for one that is requested or to be provisioned
	Offer   Offer
	Free    topology.Resources
	// Preemptible is what tasks of each priority level hold.
	Preemptible [PriorityLevels]topology.Resources
	Used        bool   // a task was packed into it
	ToProvision bool   // the plan wants it provisioned
	Purpose     string // of the first task that was packed into it

	index int // in Plan.bins
}

// availableTo is the capacity that a task may use: what is free and, for a forecast task, what
// tasks of lower priority levels hold.
func (b *Bin) availableTo(task *TaskSpec) topology.Resources {
	available := b.Free
	if task.Forecast {
		for _, preemptible := range b.Preemptible[:task.PriorityLevel] {
			available = available.Add(preemptible)
		}
	}
	return available
}

// fits reports whether the bin has capacity for a task.
func (b *Bin) fits(task *TaskSpec) bool { return b.availableTo(task).Holds(task.Resources) }

// pack counts a task on the bin.
func (b *Bin) pack(task *TaskSpec, purpose string) {
	b.Free = b.Free.Sub(task.Resources)
	if !task.Forecast {
		b.Preemptible[task.PriorityLevel] = b.Preemptible[task.PriorityLevel].Add(task.Resources)
	}
	if !b.Used {
		b.Used, b.Purpose = true, purpose
	}
}

// tighterThan orders bins by free capacity, the scarcest resource first, then by index.
func (b *Bin) tighterThan(other *Bin) bool {
	if b.Free.Less(other.Free) {
		return true
	}
	return !other.Free.Less(b.Free) && b.index < other.index
}

// binArena allocates bins many at a time.
type binArena struct{ free []Bin }

// arenaSize is how many bins are allocated at once.
const arenaSize = 256

func (a *binArena) allocate() *Bin {
	if len(a.free) == 0 {
		a.free = make([]Bin, arenaSize)
	}
	bin := &a.free[0]
	a.free = a.free[1:]
	return bin
}
