package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// equivalenceClass is the shape of a candidate's tasks.
func equivalenceClass(c *candidate) placement.EquivalenceClass {
	j := c.job
	s := placement.EquivalenceClass{Requirements: placement.Requirements{Size: taskSize(&j.Job), Types: strings.Join(j.MachineTypes, ","), Zone: j.Zone, Spot: j.AllowSpot},
		Priority: c.preemptionPriority, WithinQuota: c.withinQuota, Team: j.Team}
	if j.Shape == wire.ShapeGang {
		s.GangTasks, s.OneZone = len(c.pending), j.OneZone
	} else if j.OneZone {
		s.Zone = j.ID // bound to the zone of its other tasks
	}
	return s
}

// scaled is the size of n tasks.
func scaled(r topology.Resources, n int) topology.Resources {
	f := float64(n)
	return topology.Resources{CPUs: r.CPUs * f, GPUs: r.GPUs * f, MemGB: r.MemGB * f}
}

// typeCapacity is what a machine of a type offers.
func typeCapacity(t *wire.MachineType) topology.Resources {
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// taskSize is what a task of a job uses.
func taskSize(j *wire.Job) topology.Resources {
	return topology.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// emptyOrContains tells whether a list names something; an empty list names all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
