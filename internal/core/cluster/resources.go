package cluster

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// TypeCapacity returns the resources of a machine of the given type.
func TypeCapacity(t *wire.MachineType) topology.Resources {
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// TaskSize returns the resources that each task of a job uses.
func TaskSize(j *wire.Job) topology.Resources {
	return topology.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// AllowsType reports whether a job's tasks may run on machines of a type.
func AllowsType(job *wire.Job, machineType string) bool {
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType)
}
