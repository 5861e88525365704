package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// recordLoader is the state of reading the records and following their changes.
type recordLoader struct {
	retry           func() // reads a page again that could not be read
	retryDueAt      time.Duration
	revision        uint64        // of the state service, from which changes are followed
	watchRetryDueAt time.Duration // when to follow them again; 0 while that goes on
}

// recover loads the open jobs, then the placements, and follows the changes
// of open jobs from then on.
func (l *leader) recover() {
	l.loader.revision = 0
	l.loadOpen("")
}

// loadPage reads a page of records, again and again until it is answered.
func (l *leader) loadPage(prefix, after string, handlePage func(*wire.Page)) {
	l.core.store.ListUrgent(prefix, after, func(r kv.ListResult) {
		switch {
		case l.steppedDown:
		case r.Status != kv.OK:
			l.loader.retry, l.loader.retryDueAt = func() { l.loadPage(prefix, after, handlePage) }, l.core.now+l.core.leaderLeaseDuration()/20
		default:
			handlePage(&r.Page)
		}
	})
}

// loadOpen reads the open records after a key, then the placements.
func (l *leader) loadOpen(after string) {
	l.loadPage(records.PrefixOpen, after, func(p *wire.Page) {
		if after == "" {
			l.loader.revision = p.Revision
		}
		for _, it := range p.Items {
			after = it.Key
			var rec records.Open
			if json.Unmarshal(it.Value, &rec) != nil {
				l.core.log.Error("open record is not readable", "key", it.Key)
				continue
			}
			l.applyOpenRecord(it.Key[len(records.PrefixOpen):], it.Version, rec)
		}
		if p.More {
			l.loadOpen(after)
			return
		}
		if l.recordsLoaded {
			l.watchOpenJobs()
			return
		}
		l.loadPlacements("", map[string][]loadedPlacement{})
	})
}

// recordsComplete takes up the work once all records are loaded.
func (l *leader) recordsComplete() {
	l.recordsLoaded = true
	l.recordsLoadedAt = l.core.now
	l.dependencyLists.nextCleanupAt = l.core.now + l.core.listCleanupInterval()
	for _, j := range slices.Clone(l.JobsBySubmission) {
		j.Loaded = true
		l.resolveDependencies(j)
	}
	l.propagateUrgency(l.JobsBySubmission...)
	waiting := 0
	for _, j := range l.JobsBySubmission {
		if j.Waiting {
			waiting++
		}
	}
	l.core.log.Info("records loaded", "term", l.leadership.Term, "jobs", len(l.Jobs), "waiting", waiting, "machines", len(l.Machines))
	l.startQuota()
	l.passes.requested = true
	l.watchOpenJobs()
}

// watchHold is how long a watch stays open without a change.
const watchHold = 20 * time.Second

// watchOpenJobs follows the open jobs: submissions and cancellations by any
// controller come this way.
func (l *leader) watchOpenJobs() {
	l.core.store.Watch(records.PrefixOpen, l.loader.revision, watchHold, func(r kv.WatchResult) {
		if l.steppedDown {
			return
		}
		if r.Status == kv.Compacted {
			l.loadOpen("")
			return
		}
		if r.Status != kv.OK {
			l.loader.watchRetryDueAt = l.core.now + l.core.leaderLeaseDuration()/8
			return
		}
		for _, e := range r.Changes.Events {
			if e.Put == "" {
				continue
			}
			var rec records.Open
			if json.Unmarshal(e.Value, &rec) != nil {
				l.core.log.Error("open record is not readable", "key", e.Put)
				continue
			}
			l.applyOpenRecord(e.Put[len(records.PrefixOpen):], e.Version, rec)
		}
		l.loader.revision = max(l.loader.revision, r.Changes.Revision)
		l.watchOpenJobs()
	})
}

// applyOpenRecord takes in an open record, new or changed.
func (l *leader) applyOpenRecord(id string, version uint64, rec records.Open) {
	j := l.Jobs[id]
	if j == nil {
		if f, ok := l.core.users.finalRecords[id]; ok && f.Status != "" {
			return // an old event of a job that is over
		}
		j = cluster.NewJob(rec, version)
		j.Loaded = l.recordsLoaded
		l.initPlacementRecords(j)
		l.AddJob(j)
		l.core.log.Debug("job", "job", id, "class", j.Class, "team", j.Team, "shape", j.Shape, "tasks", len(j.TaskStates))
		l.addDependencies(j)
	}
	if version < j.OpenVersion {
		return
	}
	j.OpenVersion, j.Record = version, rec
	l.markReady(j)
	l.recordCancellation(j, rec)
	l.passes.requested = true
}
