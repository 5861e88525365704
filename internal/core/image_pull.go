package core

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// A machine may pull several images in parallel, each at the full rate, or one at a time; the cloud
// does not say which. The leader infers it from the durations of pulls that began while others were
// in progress. If pulls are sequential, a task is placed on a machine that pulls no other image.
// When replicas of a dozen images were lost with their machines and packed onto two others instead,
// the last ones started after 36 s instead of 9 s.

// pullEvidence counts the pulls that began while others were in progress on the same machine.
type pullEvidence struct {
	sequential int  // took as long as if they waited for the earlier ones
	parallel   int  // took less
	inherited  bool // the previous leader found that pulls are sequential
}

// isSequential reports whether a machine pulls one image at a time. Until a new leader has evidence
// of its own, it uses the finding of the previous one: machines are often lost together with a
// leader, and their tasks have to be placed again before there is any evidence.
func (e pullEvidence) isSequential() bool {
	if e.sequential+e.parallel == 0 {
		return e.inherited
	}
	return e.sequential > e.parallel
}

// recordPulled records that a machine's pull of an image is complete, and whether its duration is
// evidence for sequential or for parallel pulls.
func (l *leader) recordPulled(machine *cluster.Machine, name string) {
	index := machine.PullIndex(name)
	if index < 0 {
		return
	}
	pull := machine.Pulls[index]
	machine.Pulls = slices.Delete(machine.Pulls, index, index+1)
	machineType := l.core.machineTypes[machine.TypeName]
	if pull.Since == 0 || pull.QueuedGB == 0 || machineType == nil || machineType.PullGBPerS <= 0 {
		return
	}
	evidence := &l.pullEvidence
	wasSequential := evidence.isSequential()
	// The threshold is halfway between the duration of the pull alone and that of the pull after
	// all earlier ones.
	if (l.core.now - pull.Since).Seconds() > (pull.GB+pull.QueuedGB/2)/machineType.PullGBPerS {
		evidence.sequential++
	} else {
		evidence.parallel++
	}
	if evidence.isSequential() != wasSequential {
		l.core.log.Info("image pull order inferred", "sequential", evidence.isSequential(), "pulls", evidence.sequential+evidence.parallel)
	}
}
