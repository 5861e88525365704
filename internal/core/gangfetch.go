package core

import (
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// gangTimesOut tells whether a gang would break on machines before it starts: tasks whose
// image is there wait for those that fetch it, and give up after gang_wait_s. The break
// ends the fetches as well, so the next attempt did the same.
func (l *leader) gangTimesOut(j *job, machines []*machine) bool {
	if j.Shape != wire.ShapeGang {
		return false
	}
	held, longest := 0, 0.0
	for _, m := range machines {
		fetch := l.fetchTime(j, m)
		if fetch == 0 {
			held++
		}
		longest = max(longest, fetch)
	}
	return held > 0 && longest*slowestFetch > l.c.cfg.Deployment.Workers.GangWaitS
}

// placeFetchingTogether moves a gang from where it would time out to machines all of which
// have to fetch its image, if there is room; else it stays.
func (l *leader) placeFetchingTogether(tree *topology.Tree, r topology.Request, j *job, where []*topology.Machine) []*topology.Machine {
	for _, leaf := range where {
		tree.Give(leaf, r.Task)
	}
	allowed := r.Allowed
	r.Allowed = func(t *topology.Machine) bool {
		return allowed(t) && !l.passes.leaves[t.Key].hasImage(j.Image)
	}
	if together := tree.Place(r); together != nil {
		return together
	}
	for _, leaf := range where {
		tree.Take(leaf, r.Task)
	}
	return where
}
