package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// shape is what decides whether a job's tasks find room, apart from spread and
// failures: many jobs of a class share it.
type shape struct {
	needs
	oneZone    bool
	gang       int // tasks that start together
	rank       int
	guaranteed bool
	team       string
}

// needs is what a task of a job asks of a machine.
type needs struct {
	size  topology.Resources
	types string
	zone  string
	spot  bool
}

// shapeOf is the shape of a candidate's tasks.
func shapeOf(c *candidate) shape {
	j := c.job
	s := shape{needs: needs{size: size(&j.Job), types: strings.Join(j.Types, ","), zone: j.Zone, spot: j.Spot},
		rank: c.preemptionRank, guaranteed: c.guaranteed, team: j.Team}
	if j.Shape == wire.ShapeGang {
		s.gang, s.oneZone = len(c.pending), j.OneZone
	} else if j.OneZone {
		s.zone = j.ID // bound to the zone of its other tasks
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
