package persistence

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/segmentio/encoding/json"
)

// resolveConflicts re-reads the records whose conditions failed. Another controller's cancellation
// has changed them, or a transaction of this leader whose response was lost.
func (w *Writer) resolveConflicts(keys []string) {
	for _, key := range keys {
		if key == election.KeyTerm {
			w.host.TermChanged()
			return
		}
		if job, ok := strings.CutPrefix(key, records.PrefixOpen); ok {
			w.resolveOpenConflict(job)
		}
		if rest, ok := strings.CutPrefix(key, records.PrefixPlacement); ok {
			w.resolvePlacementConflict(cluster.JobIDOf(rest), key)
		}
	}
}

func (w *Writer) resolveOpenConflict(id string) {
	job := w.state.Jobs[id]
	if job == nil || job.OpenVersionUnknown {
		return
	}
	job.OpenVersionUnknown = true
	w.refreshOpenRecord(job)
}

func (w *Writer) resolvePlacementConflict(id, key string) {
	job := w.state.Jobs[id]
	if job == nil {
		return
	}
	record := findPlacementRecord(job, key)
	if record == nil || record.VersionUnknown {
		return
	}
	record.VersionUnknown = true
	w.refreshPlacementRecord(job, key)
}

// findPlacementRecord returns a job's placement record by its key, or nil if there is none.
func findPlacementRecord(job *cluster.Job, key string) *cluster.PlacementRecord {
	index := slices.IndexFunc(job.PlacementRecords, func(r cluster.PlacementRecord) bool { return r.Key == key })
	if index < 0 {
		return nil
	}
	return &job.PlacementRecords[index]
}

// refreshOpenRecord re-reads a job's open record, and retries until the store answers.
func (w *Writer) refreshOpenRecord(job *cluster.Job) {
	w.store.Get(records.OpenKey(job.ID), func(r kv.GetResult) {
		if w.host.SteppedDown() {
			return
		}
		var record records.Open
		switch {
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &record) == nil:
			job.OpenVersionUnknown = false
			w.dirty = true
			w.host.OpenRecordRead(job.ID, r.Item.Version, record)
		case r.Status == kv.NotFound:
			// This leader has recorded the job's end in a transaction whose response was
			// lost: no other controller deletes an open record during this term.
			job.OpenVersionUnknown = false
			job.EndRecorded = true
			w.log.Info("job ended", "job", job.ID, "status", "recorded earlier")
			w.AddOrphans(job.RecordKeys()...)
			w.host.JobEndAlreadyRecorded(job)
		default:
			w.refreshOpenRecord(job)
		}
	})
}

// refreshPlacementRecord re-reads the version of a placement record, and retries until the store
// answers.
func (w *Writer) refreshPlacementRecord(job *cluster.Job, key string) {
	w.store.Get(key, func(r kv.GetResult) {
		if w.host.SteppedDown() {
			return
		}
		record := findPlacementRecord(job, key)
		if record == nil {
			return
		}
		switch r.Status {
		case kv.OK:
			record.Version = r.Item.Version
		case kv.NotFound:
			record.Version = 0
		default:
			w.refreshPlacementRecord(job, key)
			return
		}
		record.VersionUnknown = false
		record.Dirty = true
		w.dirty = true
	})
}
