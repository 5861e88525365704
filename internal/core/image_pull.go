package core

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// A machine may pull several images at once, each at its full rate, or one after the other; the
// cloud does not say which. The leader learns it from the durations of pulls that began behind
// others. Where pulls are sequential, a task goes to a machine that pulls nothing else: replicas of
// a dozen images that were lost with their machines were packed onto two others, and the last ones
// came up after 36 s instead of 9.

// pullEvidence counts the pulls that began behind others on the same machine.
type pullEvidence struct {
	sequential int  // took as long as if they waited for the others
	parallel   int  // did not
	inherited  bool // the previous leader had found that pulls are sequential
}

// isSequential reports whether pulls on a machine wait for each other. Machines are often lost
// together with a leader: until the next one has evidence, that of the previous one counts.
func (e pullEvidence) isSequential() bool {
	if e.sequential+e.parallel == 0 {
		return e.inherited
	}
	return e.sequential > e.parallel
}

// recordPulled records that a machine holds an image, as evidence of how it pulls images.
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
	evidence := &l.pullStatistics
	before := evidence.isSequential()
	// Halfway between a pull by itself and one behind the others.
	if (l.core.now - pull.Since).Seconds() > (pull.GB+pull.QueuedGB/2)/machineType.PullGBPerS {
		evidence.sequential++
	} else {
		evidence.parallel++
	}
	if evidence.isSequential() != before {
		l.core.log.Info("image pull order learned", "sequential", evidence.isSequential(), "pulls", evidence.sequential+evidence.parallel)
	}
}
