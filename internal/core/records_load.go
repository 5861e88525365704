package core

import (
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// recordLoader is the state of reading the records and following their changes.
type recordLoader struct {
	retry        func() // reads a page again that could not be read
	retryAt      time.Duration
	revision     uint64        // of the state service, from which changes are followed
	watchRetryAt time.Duration // when to follow them again; 0 while that goes on
}

// recover loads the open jobs, then the placements, and follows the changes
// of open jobs from then on.
func (l *leader) recover() {
	l.loading.revision = 0
	l.loadOpen("")
}

// page reads a page of records, again and again until it is answered.
func (l *leader) page(prefix, after string, f func(*wire.Page)) {
	l.c.store.ListUrgent(prefix, after, func(r kv.ListResult) {
		switch {
		case l.deposed:
		case r.Status != kv.OK:
			l.loading.retry, l.loading.retryAt = func() { l.page(prefix, after, f) }, l.c.now+l.c.ttl()/20
		default:
			f(&r.Page)
		}
	})
}

// loadOpen reads the open records after a key, then the placements.
func (l *leader) loadOpen(after string) {
	l.page(records.PrefixOpen, after, func(p *wire.Page) {
		if after == "" {
			l.loading.revision = p.Revision
		}
		for _, it := range p.Items {
			after = it.Key
			var rec records.Open
			if json.Unmarshal(it.Value, &rec) != nil {
				l.c.log.Error("open record is not readable", "key", it.Key)
				continue
			}
			l.noteOpen(it.Key[len(records.PrefixOpen):], it.Version, rec)
		}
		if p.More {
			l.loadOpen(after)
			return
		}
		if l.ready {
			l.watch()
			return
		}
		l.loadPlaces("", map[string][]loadedPlace{})
	})
}

// becomeReady takes up the work once all records are loaded.
func (l *leader) becomeReady() {
	l.ready = true
	l.loadedAt = l.c.now
	l.lists.clearAt = l.c.now + l.c.clearListsEvery()
	for _, j := range slices.Clone(l.order) {
		j.loaded = true
		l.resolve(j)
	}
	l.inherit(l.order...)
	waiting := 0
	for _, j := range l.order {
		if j.waits {
			waiting++
		}
	}
	l.c.log.Info("records loaded", "term", l.mandate.Term, "jobs", len(l.jobs), "waiting", waiting, "machines", len(l.machines))
	l.startQuota()
	l.passes.requested = true
	l.watch()
}

// watchHold is how long a watch stays open without a change.
const watchHold = 20 * time.Second

// watch follows the open jobs: submissions and cancellations by any
// controller come this way.
func (l *leader) watch() {
	l.c.store.Watch(records.PrefixOpen, l.loading.revision, watchHold, func(r kv.WatchResult) {
		if l.deposed {
			return
		}
		if r.Status == kv.Compacted {
			l.loadOpen("")
			return
		}
		if r.Status != kv.OK {
			l.loading.watchRetryAt = l.c.now + l.c.ttl()/8
			return
		}
		for _, e := range r.Changes.Events {
			if e.Put == "" {
				continue
			}
			var rec records.Open
			if json.Unmarshal(e.Value, &rec) != nil {
				l.c.log.Error("open record is not readable", "key", e.Put)
				continue
			}
			l.noteOpen(e.Put[len(records.PrefixOpen):], e.Version, rec)
		}
		l.loading.revision = max(l.loading.revision, r.Changes.Revision)
		l.watch()
	})
}

// noteOpen takes in an open record, new or changed.
func (l *leader) noteOpen(id string, version uint64, rec records.Open) {
	j := l.jobs[id]
	if j == nil {
		if f, ok := l.c.users.final[id]; ok && f.Status != "" {
			return // an old event of a job that is over
		}
		j = newJob(rec, version)
		j.loaded = l.ready
		l.layOut(j)
		l.jobs[id] = j
		at := sort.Search(len(l.order), func(k int) bool { return l.order[k].order > j.order })
		l.order = slices.Insert(l.order, at, j)
		l.c.log.Debug("job", "job", id, "class", j.Class, "team", j.Team, "shape", j.Shape, "tasks", len(j.tasks))
		l.noteAwaited(j)
	}
	if version < j.version {
		return
	}
	j.version, j.rec = version, rec
	l.noteReady(j)
	l.noteCancellation(j, rec)
	l.passes.requested = true
}
