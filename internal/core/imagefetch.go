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

// imageFetch is an image that tasks placed on a machine wait for.
type imageFetch struct {
	name  string
	since time.Duration // 0 if it is not known when it began
	ahead float64       // GB that were being fetched when it began
	gb    float64
}

// fetchEvidence counts the fetches that began behind others on the same machine.
type fetchEvidence struct {
	queued   int  // took as long as if they waited for the others
	parallel int  // did not
	before   bool // the leader before had seen that they wait
}

// queue tells whether fetches on a machine wait for each other. Machines are often
// lost together with a leader: until the next one has seen for itself, it goes by
// what the one before told the others.
func (e fetchEvidence) queue() bool {
	if e.queued+e.parallel == 0 {
		return e.before
	}
	return e.queued > e.parallel
}

// fetchIndex finds the fetch of an image; -1 if there is none.
func (m *machine) fetchIndex(name string) int {
	return slices.IndexFunc(m.fetching, func(f imageFetch) bool { return f.name == name })
}

// beginFetch notes that a task which needs an image is placed on the machine.
func (m *machine) beginFetch(name string, gb float64, since time.Duration) {
	if m.hasImage(name) || m.fetchIndex(name) >= 0 {
		return
	}
	ahead := 0.0
	for _, f := range m.fetching {
		ahead += f.gb
	}
	m.fetching = append(m.fetching, imageFetch{name, since, ahead, gb})
}

// reviewFetches forgets the fetches that no task on the machine waits for any more,
// and takes in those of tasks that an earlier leader placed.
func (m *machine) reviewFetches() {
	m.fetching = slices.DeleteFunc(m.fetching, func(f imageFetch) bool {
		return m.hasImage(f.name) || !slices.ContainsFunc(m.placed, func(p taskRef) bool { return p.job.Image == f.name && p.task().stop == nil })
	})
	for _, p := range m.placed {
		if p.task().stop == nil {
			m.beginFetch(p.job.Image, p.job.ImageGB, 0)
		}
	}
}

// fetchesBefore counts the fetches that one of an image would begin behind.
func (m *machine) fetchesBefore(name string) int {
	if m.fetchIndex(name) >= 0 {
		return 0
	}
	return len(m.fetching)
}

// noteFetched takes in that a machine holds an image, as evidence of how it fetches.
func (l *leader) noteFetched(m *machine, name string) {
	at := m.fetchIndex(name)
	if at < 0 {
		return
	}
	f := m.fetching[at]
	m.fetching = slices.Delete(m.fetching, at, at+1)
	t := l.c.types[m.typ]
	if f.since == 0 || f.ahead == 0 || t == nil || t.FetchGBPS <= 0 {
		return
	}
	queued := l.fetches.queue()
	// Halfway between a fetch by itself and one behind the others.
	if (l.c.now - f.since).Seconds() > (f.gb+f.ahead/2)/t.FetchGBPS {
		l.fetches.queued++
	} else {
		l.fetches.parallel++
	}
	if l.fetches.queue() != queued {
		l.c.log.Info("image fetches", "queue", l.fetches.queue(), "seen", l.fetches.queued+l.fetches.parallel)
	}
}
