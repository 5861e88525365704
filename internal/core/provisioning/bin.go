package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Bin is a machine that tasks are packed into: a running or booting one, a requested one or one to
// be provisioned.
type Bin struct {
	Machine string // name; empty if the machine is requested or to be provisioned
	Offer   Offer
	Free    topology.Resources
	// Preemptible is the capacity used by the tasks of each priority level.
	Preemptible [PriorityLevels]topology.Resources
	Used        bool   // a task has been packed into it
	ToProvision bool   // the plan has added it, to be provisioned
	Purpose     string // that of the first task packed into it, for log lines

	index int // in Plan.bins
}

// availableTo returns the capacity that a task may use: the free capacity and, for a forecast task,
// also that used by tasks of lower priority levels.
func (b *Bin) availableTo(task *TaskSpec) topology.Resources {
	available := b.Free
	if task.Forecast {
		for _, preemptible := range b.Preemptible[:task.PriorityLevel] {
			available = available.Add(preemptible)
		}
	}
	return available
}

// fits reports whether a task fits into the bin.
func (b *Bin) fits(task *TaskSpec) bool { return b.availableTo(task).Holds(task.Resources) }

// pack adds a task to the bin.
func (b *Bin) pack(task *TaskSpec, purpose string) {
	b.Free = b.Free.Sub(task.Resources)
	if !task.Forecast {
		b.Preemptible[task.PriorityLevel] = b.Preemptible[task.PriorityLevel].Add(task.Resources)
	}
	if !b.Used {
		b.Used, b.Purpose = true, purpose
	}
}

// tighterThan orders bins by free capacity, compared from the scarcest resource on, then by index.
func (b *Bin) tighterThan(other *Bin) bool {
	if b.Free.Less(other.Free) {
		return true
	}
	return !other.Free.Less(b.Free) && b.index < other.index
}

// binArena allocates bins in blocks.
type binArena struct{ free []Bin }

// arenaBlockSize is the number of bins in one allocated block.
const arenaBlockSize = 256

func (a *binArena) allocate() *Bin {
	if len(a.free) == 0 {
		a.free = make([]Bin, arenaBlockSize)
	}
	bin := &a.free[0]
	a.free = a.free[1:]
	return bin
}
