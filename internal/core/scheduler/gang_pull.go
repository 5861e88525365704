package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// gangWaitExceeded reports whether a gang would fail on machines before it starts: tasks whose
// image is cached wait for those that pull it, and give up after gang_wait_s. The failure ends the
// pulls as well, so the next attempt fared no better.
func (s *Scheduler) gangWaitExceeded(job *cluster.Job, machines []*cluster.Machine) bool {
	if job.Shape != wire.ShapeGang {
		return false
	}
	cached, longest := 0, 0.0
	for _, m := range machines {
		pull := s.pullTime(job, m)
		if pull == 0 {
			cached++
		}
		longest = max(longest, pull)
	}
	return cached > 0 && longest*slowestPullFactor > s.deployment.Workers.GangWaitS
}

// placePullingTogether moves a gang from leaves on which it would exceed gang_wait_s to machines
// all of which have to pull its image, if there are any; else it returns the leaves.
func (s *Scheduler) placePullingTogether(tree *topology.Tree, request topology.Request, job *cluster.Job, leaves []*topology.Machine) []*topology.Machine {
	for _, leaf := range leaves {
		tree.Give(leaf, request.Task)
	}
	allowed := request.Allowed
	request.Allowed = func(leaf *topology.Machine) bool {
		return allowed(leaf) && !s.machines[leaf.Index].HasImage(job.Image)
	}
	if together := tree.Place(request); together != nil {
		return together
	}
	for _, leaf := range leaves {
		tree.Take(leaf, request.Task)
	}
	return leaves
}
