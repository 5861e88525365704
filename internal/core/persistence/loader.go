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

// watchHold is the long-poll timeout of a watch: how long the store waits for a change.
const watchHold = 20 * time.Second

// A Loader reads all records for a leader whose term has started, and then watches the open
// records: this is how the leader receives submissions and cancellations by any controller.
type Loader struct {
	store  *kv.Client
	state  *cluster.State
	host   LoaderHost
	writer *Writer
	log    *slog.Logger

	loaded       bool
	retry        func() // repeats a failed read; nil if there is none to retry
	retryAt      time.Duration
	revision     uint64        // of the store, after which changes are watched
	watchRetryAt time.Duration // when to watch again; 0 while a watch is open
}

// NewLoader returns a loader for a leader. It passes the loaded placements to the writer.
func NewLoader(store *kv.Client, state *cluster.State, host LoaderHost, writer *Writer, log *slog.Logger) *Loader {
	return &Loader{store: store, state: state, host: host, writer: writer, log: log}
}

// Load reads the open records, then the placement records, and then watches the open records.
func (l *Loader) Load() {
	l.revision = 0
	l.loadOpenRecords("")
}

// RetryOnNextTick makes the next Tick call a function.
func (l *Loader) RetryOnNextTick(retry func()) { l.retry, l.retryAt = retry, 0 }

// Tick retries failed reads and watches that are due.
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

// Revision returns the revision of the store up to which the open records are known.
func (l *Loader) Revision() uint64 { return l.revision }

// loadPage reads a page of records, and retries until the store answers.
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

// loadOpenRecords reads the open records after a key. Then it reads the placement records, or, if
// they have been loaded before, resumes the watch.
func (l *Loader) loadOpenRecords(after string) {
	l.loadPage(records.PrefixOpen, after, func(page wire.Page) {
		if after == "" {
			l.revision = page.Revision
		}
		for _, item := range page.Items {
			after = item.Key
			l.handleOpenRecord(item.Key, item.Value, item.Version)
		}
		switch {
		case page.More:
			l.loadOpenRecords(after)
		case l.loaded:
			l.watch()
		default:
			l.loadPlacements("", map[string][]LoadedPlacement{})
		}
	})
}

// handleOpenRecord decodes an open record and passes it to the leader.
func (l *Loader) handleOpenRecord(key string, value json.RawMessage, version uint64) {
	var record records.Open
	if err := json.Unmarshal(value, &record); err != nil {
		l.log.Error("cannot decode open record; ignoring it", "key", key, "error", err)
		return
	}
	l.host.OpenRecordRead(key[len(records.PrefixOpen):], version, record)
}

// loadPlacements reads the placement records. Those of jobs that have ended are orphans.
func (l *Loader) loadPlacements(after string, found map[string][]LoadedPlacement) {
	l.loadPage(records.PrefixPlacement, after, func(page wire.Page) {
		for _, item := range page.Items {
			after = item.Key
			l.handlePlacementRecord(item, found)
		}
		if page.More {
			l.loadPlacements(after, found)
			return
		}
		for _, id := range slices.Sorted(maps.Keys(found)) {
			l.writer.RestorePlacements(l.state.Jobs[id], found[id])
		}
		l.finishLoading()
	})
}

// handlePlacementRecord decodes a placement record and adds it to those found for its job.
func (l *Loader) handlePlacementRecord(item wire.Item, found map[string][]LoadedPlacement) {
	covers, ok := records.ParsePlacementKey(item.Key, l.writer.TasksPerNumberedRecord())
	var record records.Placement
	if !ok || json.Unmarshal(item.Value, &record) != nil {
		l.log.Error("cannot decode placement record; ignoring it", "key", item.Key)
		return
	}
	if l.state.Jobs[covers.Job] == nil {
		l.writer.AddOrphans(item.Key)
		return
	}
	loaded := LoadedPlacement{PlacementRange: covers, Key: item.Key, Version: item.Version, Record: record}
	found[covers.Job] = append(found[covers.Job], loaded)
}

// finishLoading notifies the leader that all records have been read, and starts the watch.
func (l *Loader) finishLoading() {
	l.loaded = true
	l.host.RecordsLoaded()
	l.watch()
}

// watch receives changes of open records from the store until the term is over.
func (l *Loader) watch() {
	l.store.Watch(records.PrefixOpen, l.revision, watchHold, func(r kv.WatchResult) {
		switch {
		case l.host.SteppedDown():
		case r.Status == kv.Compacted:
			l.loadOpenRecords("")
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
			l.handleOpenRecord(event.Put, event.Value, event.Version)
		}
	}
	l.revision = max(l.revision, changes.Revision)
}
