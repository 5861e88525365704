package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// gangWaitExceeded tells whether a gang would break on machines before it starts: tasks whose
// image is there wait for those that fetch it, and give up after gang_wait_s. The break
// ends the fetches as well, so the next attempt did the same.
func (l *leader) gangWaitExceeded(job *cluster.Job, machines []*cluster.Machine) bool {
	if job.Shape != wire.ShapeGang {
		return false
	}
	held, longest := 0, 0.0
	for _, m := range machines {
		fetch := l.pullTime(job, m)
		if fetch == 0 {
			held++
		}
		longest = max(longest, fetch)
	}
	return held > 0 && longest*slowestPullFactor > l.core.settings.Deployment.Workers.GangWaitS
}

// placePullingTogether moves a gang from where it would time out to machines all of which
// have to fetch its image, if there is room; else it stays.
func (l *leader) placePullingTogether(tree *topology.Tree, request topology.Request, job *cluster.Job, where []*topology.Machine) []*topology.Machine {
	for _, leaf := range where {
		tree.Give(leaf, request.Task)
	}
	allowed := request.Allowed
	request.Allowed = func(t *topology.Machine) bool {
		return allowed(t) && !l.passes.machines[t.Index].HasImage(job.Image)
	}
	if together := tree.Place(request); together != nil {
		return together
	}
	for _, leaf := range where {
		tree.Take(leaf, request.Task)
	}
	return where
}
