package sim

import "github.com/brookwalk/brookwalk/wire"

// amountTolerance makes up for the rounding of sums of resources.
const amountTolerance = 1e-6

// freeCapacity is what is free on a machine.
type freeCapacity struct {
	machine              *machine
	cpus, gpus, memoryGB float64
}

// freeCapacityOf is what the tasks on a machine leave free.
func (c *cloudService) freeCapacityOf(m *machine) freeCapacity {
	total := c.machineType(m.machineType)
	free := freeCapacity{m, total.CPUs, total.GPUs, total.MemGB}
	for _, t := range m.sortedTasks() {
		if t.state != wire.TaskExited {
			free.cpus -= t.job.CPUs
			free.gpus -= t.job.GPUs
			free.memoryGB -= t.job.MemGB
		}
	}
	return free
}

// holds reports whether there is room for a task of a job, wherever its tasks may be.
func (f freeCapacity) holds(job *groundTruth) bool {
	return f.cpus+amountTolerance >= job.CPUs && f.gpus+amountTolerance >= job.GPUs && f.memoryGB+amountTolerance >= job.MemGB
}

// tasksThatFit is for how many tasks of a job there is room, 0 if they may not be on this
// machine.
func (f freeCapacity) tasksThatFit(job *groundTruth) int {
	if !job.eligibleOn(f.machine) {
		return 0
	}
	count := job.Tasks
	for _, resource := range []struct{ free, needed float64 }{{f.cpus, job.CPUs}, {f.gpus, job.GPUs}, {f.memoryGB, job.MemGB}} {
		if resource.needed > 0 {
			count = min(count, int((resource.free+amountTolerance)/resource.needed))
		}
	}
	return max(count, 0)
}
