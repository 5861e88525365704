package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// equivalenceClass is the shape of a candidate's tasks.
func equivalenceClass(c *candidate) placement.EquivalenceClass {
	j := c.job
	s := placement.EquivalenceClass{Requirements: placement.Requirements{Size: cluster.TaskSize(&j.Job), Types: strings.Join(j.MachineTypes, ","), Zone: j.Zone, Spot: j.AllowSpot},
		Priority: c.preemptionPriority, WithinQuota: c.withinQuota, Team: j.Team}
	if j.Shape == wire.ShapeGang {
		s.GangTasks, s.OneZone = len(c.pending), j.OneZone
	} else if j.OneZone {
		s.Zone = j.ID // bound to the zone of its other tasks
	}
	return s
}

// emptyOrContains tells whether a list names something; an empty list names all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
