package sim

import "github.com/brookwalk/brookwalk/wire"

// amountTolerance allows for rounding errors in sums of resources.
const amountTolerance = 1e-6

// freeCapacity is the free resources of a machine.
type freeCapacity struct {
	machine              *machine
	cpus, gpus, memoryGB float64
}

// freeCapacityOf returns the resources of a machine that its tasks leave free.
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

// holds reports whether a task of a job fits into the resources. It does not check whether the
// job may use the machine.
func (f freeCapacity) holds(job *groundTruth) bool {
	return f.cpus+amountTolerance >= job.CPUs && f.gpus+amountTolerance >= job.GPUs && f.memoryGB+amountTolerance >= job.MemGB
}

// tasksThatFit returns how many tasks of a job fit on the machine; 0 if the job may not use the
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
