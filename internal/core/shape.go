package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// shapeOf is the shape of a candidate's tasks.
func shapeOf(c *candidate) placement.Shape {
	j := c.job
	s := placement.Shape{Needs: placement.Needs{Size: size(&j.Job), Types: strings.Join(j.Types, ","), Zone: j.Zone, Spot: j.Spot},
		Rank: c.preemptionRank, Guaranteed: c.guaranteed, Team: j.Team}
	if j.Shape == wire.ShapeGang {
		s.Gang, s.OneZone = len(c.pending), j.OneZone
	} else if j.OneZone {
		s.Zone = j.ID // bound to the zone of its other tasks
	}
	return s
}

// times is the size of n tasks.
func times(r topology.Resources, n int) topology.Resources {
	f := float64(n)
	return topology.Resources{CPUs: r.CPUs * f, GPUs: r.GPUs * f, MemGB: r.MemGB * f}
}

// capacity is what a machine of a type offers.
func capacity(t *wire.MachineType) topology.Resources {
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// size is what a task of a job uses.
func size(j *wire.Job) topology.Resources {
	return topology.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// allowed tells whether a list names something; an empty list names all.
func allowed(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
