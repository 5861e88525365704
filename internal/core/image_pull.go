package core

import (
	"slices"
	"time"
)

// A machine may fetch several images at once, each at its full rate, or one after
// the other; the cloud does not say which. The leader learns it from how long
// fetches take that began behind others. Where they wait for each other, a task goes
// to a machine that fetches nothing else: replicas of a dozen images that were
// lost with their machines were packed onto two others, and the last ones came up
// after 36 s instead of 9.

// imagePull is an image that tasks placed on a machine wait for.
type imagePull struct {
	name     string
	since    time.Duration // 0 if it is not known when it began
	queuedGB float64       // GB that were being fetched when it began
	gb       float64
}

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

// pullIndex finds the fetch of an image; -1 if there is none.
func (m *machine) pullIndex(name string) int {
	return slices.IndexFunc(m.pulls, func(f imagePull) bool { return f.name == name })
}

// beginPull notes that a task which needs an image is placed on the machine.
func (m *machine) beginPull(name string, gb float64, since time.Duration) {
	if m.hasImage(name) || m.pullIndex(name) >= 0 {
		return
	}
	ahead := 0.0
	for _, f := range m.pulls {
		ahead += f.gb
	}
	m.pulls = append(m.pulls, imagePull{name, since, ahead, gb})
}

// refreshPulls forgets the fetches that no task on the machine waits for any more,
// and takes in those of tasks that an earlier leader placed.
func (m *machine) refreshPulls() {
	m.pulls = slices.DeleteFunc(m.pulls, func(f imagePull) bool {
		return m.hasImage(f.name) || !slices.ContainsFunc(m.placements, func(p taskReference) bool { return p.job.Image == f.name && p.task().stop == nil })
	})
	for _, p := range m.placements {
		if p.task().stop == nil {
			m.beginPull(p.job.Image, p.job.ImageGB, 0)
		}
	}
}

// pullsAhead counts the fetches that one of an image would begin behind.
func (m *machine) pullsAhead(name string) int {
	if m.pullIndex(name) >= 0 {
		return 0
	}
	return len(m.pulls)
}

// recordPulled takes in that a machine holds an image, as evidence of how it fetches.
func (l *leader) recordPulled(machine *machine, name string) {
	at := machine.pullIndex(name)
	if at < 0 {
		return
	}
	pull := machine.pulls[at]
	machine.pulls = slices.Delete(machine.pulls, at, at+1)
	machineType := l.core.machineTypes[machine.typeName]
	if pull.since == 0 || pull.queuedGB == 0 || machineType == nil || machineType.PullGBPerS <= 0 {
		return
	}
	queued := l.pullStatistics.isSequential()
	// Halfway between a fetch by itself and one behind the others.
	if (l.core.now - pull.since).Seconds() > (pull.gb+pull.queuedGB/2)/machineType.PullGBPerS {
		l.pullStatistics.sequential++
	} else {
		l.pullStatistics.parallel++
	}
	if l.pullStatistics.isSequential() != queued {
		l.core.log.Info("image fetches", "queue", l.pullStatistics.isSequential(), "seen", l.pullStatistics.sequential+l.pullStatistics.parallel)
	}
}
