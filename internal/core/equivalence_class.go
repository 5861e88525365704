package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// equivalenceClass is the class of candidates that find room where a candidate does.
func equivalenceClass(c *candidate) placement.EquivalenceClass {
	job := c.job
	class := placement.EquivalenceClass{
		Requirements: placement.Requirements{
			Size:  cluster.TaskSize(&job.Job),
			Types: strings.Join(job.MachineTypes, ","),
			Zone:  job.Zone,
			Spot:  job.AllowSpot,
		},
		Priority:    c.preemptionPriority,
		WithinQuota: c.withinQuota,
		Team:        job.Team,
	}
	if job.Shape == wire.ShapeGang {
		class.GangTasks, class.OneZone = len(c.pending), job.OneZone
	} else if job.OneZone {
		class.Zone = job.ID // in a class of its own: bound to the zone of its other tasks
	}
	return class
}

// emptyOrContains reports whether a list names something; an empty list names all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
