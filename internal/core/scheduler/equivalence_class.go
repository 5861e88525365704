package scheduler

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// equivalenceClass returns the class of candidates that fit where this candidate fits.
func equivalenceClass(candidate *Candidate) placement.EquivalenceClass {
	job := candidate.Job
	class := placement.EquivalenceClass{
		Requirements: placement.Requirements{
			Size:  cluster.TaskSize(&job.Job),
			Types: strings.Join(job.MachineTypes, ","),
			Zone:  job.Zone,
			Spot:  job.AllowSpot,
		},
		Priority:    candidate.PreemptionPriority,
		WithinQuota: candidate.WithinQuota,
		Team:        job.Team,
	}
	if job.Shape == wire.ShapeGang {
		class.GangTasks, class.OneZone = len(candidate.Pending), job.OneZone
	} else if job.OneZone {
		class.Zone = job.ID // a class of its own, because its other tasks decide the zone
	}
	return class
}
