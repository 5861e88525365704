package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// gangWaitExceeded reports whether a gang would fail on machines before it starts: the tasks whose
// image is cached wait for those that pull it, and fail after gang_wait_s. The failure also aborts
// the pulls, so that the next attempt would fail in the same way.
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

// placeWithoutCachedImage moves a gang from leaves on which it would exceed gang_wait_s to machines
// that all have to pull its image, so that its tasks become ready together. If there are not enough
// such machines, it returns the given leaves.
func (s *Scheduler) placeWithoutCachedImage(tree *topology.Tree, request topology.Request, job *cluster.Job, leaves []*topology.Machine) []*topology.Machine {
	for _, leaf := range leaves {
		tree.Release(leaf, request.TaskSize)
	}
	allowed := request.Allowed
	request.Allowed = func(leaf *topology.Machine) bool {
		return allowed(leaf) && !s.machines[leaf.Index].HasImage(job.Image)
	}
	if uncached := tree.Place(request); uncached != nil {
		return uncached
	}
	for _, leaf := range leaves {
		tree.Allocate(leaf, request.TaskSize)
	}
	return leaves
}
