package persistence

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// watchHold is how long a watch stays open without a change.
const watchHold = 20 * time.Second

// A Loader reads the records for a leader whose term has begun, and follows changes of open
// jobs from then on: submissions and cancellations by any controller come this way.
type Loader struct {
	store  *kv.Client
	state  *cluster.State
	host   LoaderHost
	writer *Writer
	log    *slog.Logger

	loaded       bool
	retry        func() // repeats what was not answered; nil if nothing has to be retried
	retryAt      time.Duration
	revision     uint64        // of the store, from which changes are followed
	watchRetryAt time.Duration // when to watch again; 0 while a watch is open
}

// NewLoader makes a loader for a leader with a writer.
func NewLoader(store *kv.Client, state *cluster.State, host LoaderHost, writer *Writer, log *slog.Logger) *Loader {
	return &Loader{store: store, state: state, host: host, writer: writer, log: log}
}

// Load reads the open jobs, then the placements, and follows the changes of open jobs.
func (l *Loader) Load() {
	l.revision = 0
	l.loadOpen("")
}

// RetryWith makes the next tick call a function.
func (l *Loader) RetryWith(retry func()) { l.retry, l.retryAt = retry, 0 }

// Tick retries what was not answered.
func (l *Loader) Tick() {
	now := l.host.Now()
	if retry := l.retry; retry != nil && now >= l.retryAt {
		l.retry = nil
		retry()
	}
	if l.watchRetryAt != 0 && now >= l.watchRetryAt {
		l.watchRetryAt = 0
		l.watch()
	}
}

// loadPage reads a page of records, again and again until it is answered.
func (l *Loader) loadPage(prefix, after string, handle func(wire.Page)) {
	l.store.ListUrgent(prefix, after, func(r kv.ListResult) {
		switch {
		case l.host.SteppedDown():
		case r.Status != kv.OK:
			l.retry = func() { l.loadPage(prefix, after, handle) }
			l.retryAt = l.host.Now() + l.host.LeaderLease()/20
		default:
			handle(r.Page)
		}
	})
}

// loadOpen reads the open records after a key, then the placements.
func (l *Loader) loadOpen(after string) {
	l.loadPage(records.PrefixOpen, after, func(page wire.Page) {
		if after == "" {
			l.revision = page.Revision
		}
		for _, item := range page.Items {
			after = item.Key
			l.handleOpen(item.Key, item.Value, item.Version)
		}
		switch {
		case page.More:
			l.loadOpen(after)
		case l.loaded:
			l.watch()
		default:
			l.loadPlacements("", map[string][]LoadedPlacement{})
		}
	})
}

// handleOpen passes an open record to the leader.
func (l *Loader) handleOpen(key string, value json.RawMessage, version uint64) {
	var record records.Open
	if err := json.Unmarshal(value, &record); err != nil {
		l.log.Error("open record is not readable", "key", key, "error", err)
		return
	}
	l.host.OpenRecordRead(key[len(records.PrefixOpen):], version, record)
}

// loadPlacements reads the placements of open jobs. Records of jobs that are over are orphaned.
func (l *Loader) loadPlacements(after string, found map[string][]LoadedPlacement) {
	l.loadPage(records.PrefixPlacement, after, func(page wire.Page) {
		for _, item := range page.Items {
			after = item.Key
			l.handlePlacement(item, found)
		}
		if page.More {
			l.loadPlacements(after, found)
			return
		}
		for _, id := range slices.Sorted(maps.Keys(found)) {
			l.writer.Adopt(l.state.Jobs[id], found[id])
		}
		l.complete()
	})
}

// handlePlacement adds a placement record to those that were found, by job.
func (l *Loader) handlePlacement(item wire.Item, found map[string][]LoadedPlacement) {
	covers, ok := records.ParsePlacementKey(item.Key, l.writer.TasksPerNumberedRecord())
	var record records.Placement
	if !ok || json.Unmarshal(item.Value, &record) != nil {
		l.log.Error("placement record is not readable", "key", item.Key)
		return
	}
	if l.state.Jobs[covers.Job] == nil {
		l.writer.AddOrphans(item.Key)
		return
	}
	loaded := LoadedPlacement{PlacementRange: covers, Key: item.Key, Version: item.Version, Record: record}
	found[covers.Job] = append(found[covers.Job], loaded)
}

// complete begins to watch, and notifies the leader that all records are read.
func (l *Loader) complete() {
	l.loaded = true
	l.host.RecordsLoaded()
	l.watch()
}

// watch follows the open jobs.
func (l *Loader) watch() {
	l.store.Watch(records.PrefixOpen, l.revision, watchHold, func(r kv.WatchResult) {
		switch {
		case l.host.SteppedDown():
		case r.Status == kv.Compacted:
			l.loadOpen("")
		case r.Status != kv.OK:
			l.watchRetryAt = l.host.Now() + l.host.LeaderLease()/8
		default:
			l.handleChanges(r.Changes)
			l.watch()
		}
	})
}

func (l *Loader) handleChanges(changes wire.Changes) {
	for _, event := range changes.Events {
		if event.Put != "" {
			l.handleOpen(event.Put, event.Value, event.Version)
		}
	}
	l.revision = max(l.revision, changes.Revision)
}
