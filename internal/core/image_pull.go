package core

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// A machine may fetch several images at once, each at its full rate, or one after
// the other; the cloud does not say which. The leader learns it from how long
// fetches take that began behind others. Where they wait for each other, a task goes
// to a machine that fetches nothing else: replicas of a dozen images that were
// lost with their machines were packed onto two others, and the last ones came up
// after 36 s instead of 9.

// pullEvidence counts the fetches that began behind others on the same machine.
type pullEvidence struct {
	sequential int  // took as long as if they waited for the others
	parallel   int  // did not
	inherited  bool // the leader before had seen that they wait
}

// isSequential tells whether fetches on a machine wait for each other. Machines are often
// lost together with a leader: until the next one has seen for itself, it goes by
// what the one before told the others.
func (e pullEvidence) isSequential() bool {
	if e.sequential+e.parallel == 0 {
		return e.inherited
	}
	return e.sequential > e.parallel
}

// recordPulled takes in that a machine holds an image, as evidence of how it fetches.
func (l *leader) recordPulled(machine *cluster.Machine, name string) {
	at := machine.PullIndex(name)
	if at < 0 {
		return
	}
	pull := machine.Pulls[at]
	machine.Pulls = slices.Delete(machine.Pulls, at, at+1)
	machineType := l.core.machineTypes[machine.TypeName]
	if pull.Since == 0 || pull.QueuedGB == 0 || machineType == nil || machineType.PullGBPerS <= 0 {
		return
	}
	queued := l.pullStatistics.isSequential()
	// Halfway between a fetch by itself and one behind the others.
	if (l.core.now - pull.Since).Seconds() > (pull.GB+pull.QueuedGB/2)/machineType.PullGBPerS {
		l.pullStatistics.sequential++
	} else {
		l.pullStatistics.parallel++
	}
	if l.pullStatistics.isSequential() != queued {
		l.core.log.Info("image fetches", "queue", l.pullStatistics.isSequential(), "seen", l.pullStatistics.sequential+l.pullStatistics.parallel)
	}
}
