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

// resolveConflicts reads again the records that have changed by a failed condition: by another
// controller's cancellation, or by a transaction of this leader whose answer got lost.
func (w *Writer) resolveConflicts(keys []string) {
	for _, key := range keys {
		if key == election.KeyTerm {
			w.host.TermChanged()
			return
		}
		if job, ok := strings.CutPrefix(key, records.PrefixOpen); ok {
			w.resolveOpenConflict(job)
		}
		if task, ok := strings.CutPrefix(key, records.PrefixPlacement); ok {
			w.resolvePlacementConflict(cluster.JobIDOf(task), key)
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
	record := placementRecord(job, key)
	if record == nil || record.VersionUnknown {
		return
	}
	record.VersionUnknown = true
	w.refreshPlacementRecord(job, key)
}

// placementRecord finds a job's placement record by its key; nil if there is none.
func placementRecord(job *cluster.Job, key string) *cluster.PlacementRecord {
	at := slices.IndexFunc(job.PlacementRecords, func(r cluster.PlacementRecord) bool { return r.Key == key })
	if at < 0 {
		return nil
	}
	return &job.PlacementRecords[at]
}

// refreshOpenRecord reads a job's open record until it is answered.
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
			// This leader's own end of it, recorded by a transaction whose answer was
			// lost: nobody else deletes an open record in this term.
			job.OpenVersionUnknown = false
			job.EndRecorded = true
			w.log.Info("job ended", "job", job.ID, "status", "recorded earlier")
			w.AddOrphans(job.RecordKeys()...)
			w.host.JobEndedBefore(job)
		default:
			w.refreshOpenRecord(job)
		}
	})
}

// refreshPlacementRecord reads the version of a placement record until it is answered.
func (w *Writer) refreshPlacementRecord(job *cluster.Job, key string) {
	w.store.Get(key, func(r kv.GetResult) {
		if w.host.SteppedDown() {
			return
		}
		record := placementRecord(job, key)
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
