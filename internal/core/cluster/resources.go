package cluster

import (
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Scaled is the size of a number of tasks of one size.
func Scaled(size topology.Resources, tasks int) topology.Resources {
	n := float64(tasks)
	return topology.Resources{CPUs: size.CPUs * n, GPUs: size.GPUs * n, MemGB: size.MemGB * n}
}

// TypeCapacity is what a machine of a type offers.
func TypeCapacity(t *wire.MachineType) topology.Resources {
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// TaskSize is what a task of a job uses.
func TaskSize(j *wire.Job) topology.Resources {
	return topology.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}
