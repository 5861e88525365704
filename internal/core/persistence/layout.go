package persistence

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// Placement records store which of a job's tasks may be running on which machine. Each covers a
// range of the tasks, so that its value stays within the size limit of the store. There are two
// layouts of keys:
//
//   - Numbered: p/JOB/N is the Nth range of as many tasks as fit into value_kb. Versions before
//     wire.PeerVersionPlacementRanges read and write only this layout.
//   - Named ranges: p/JOB/FROM-TO names its range. It is written where values have to be smaller
//     than value_kb now allows, once every controller reads it or the store has rejected a
//     transaction. For the tasks of its range it takes precedence over any numbered record. The
//     numbered records stay unchanged until the job has ended.

// placementEntryMaxBytes is the approximate maximum size of a task's entry in a record.
// numberedEntryBytes is the size that the numbered layout reserves for it. It must not change:
// every version derives the range of a numbered record from it.
const (
	placementEntryMaxBytes = 85
	numberedEntryBytes     = 128
)

// TasksPerNumberedRecord returns how many tasks a numbered record covers. It uses the current
// value limit of the settings, not an announced one, as versions that know only this layout do.
func (w *Writer) TasksPerNumberedRecord() int {
	return max(1, int(w.deployment.Store.ValueKB*1024)/numberedEntryBytes)
}

// AllowNamedRanges allows records with named ranges before every peer has announced that it reads
// them. It is called when the store has rejected a transaction, of this leader or an earlier one,
// since it may no longer accept the numbered records.
func (w *Writer) AllowNamedRanges() { w.namedRangesAllowed = true }

// writesNamedRanges reports whether to write records with named ranges.
func (w *Writer) writesNamedRanges() bool {
	return w.store.ValueLimitReduced() && (w.namedRangesAllowed || w.host.PeersReadNamedRanges())
}

// InitPlacementRecords divides a job's tasks into new placement records, which are not stored yet.
func (w *Writer) InitPlacementRecords(job *cluster.Job) {
	job.PlacementRecords = nil
	if w.writesNamedRanges() {
		w.addRangeRecords(job)
		return
	}
	job.NumberedKeys = true
	w.addNumberedRecords(job)
}

// addRangeRecords adds records with named ranges for the tasks that no record covers.
func (w *Writer) addRangeRecords(job *cluster.Job) {
	tasksPerRecord := max(1, w.store.MaxPlacementValue()/placementEntryMaxBytes)
	var added []cluster.PlacementRecord
	from := 0
	coverUpTo := func(to int) {
		for ; from < to; from += tasksPerRecord {
			end := min(from+tasksPerRecord, to)
			added = append(added, cluster.PlacementRecord{Key: records.RangeKey(job.ID, from, end), From: from, To: end})
		}
	}
	for _, record := range job.PlacementRecords {
		coverUpTo(record.From)
		from = record.To
	}
	coverUpTo(len(job.TaskStates))
	job.PlacementRecords = append(job.PlacementRecords, added...)
	sortByRange(job.PlacementRecords)
}

func sortByRange(placementRecords []cluster.PlacementRecord) {
	slices.SortFunc(placementRecords, func(a, b cluster.PlacementRecord) int { return cmp.Compare(a.From, b.From) })
}

// addNumberedRecords adds numbered records for the tasks that no record covers.
func (w *Writer) addNumberedRecords(job *cluster.Job) {
	known := map[string]cluster.PlacementRecord{}
	for _, record := range job.PlacementRecords {
		known[record.Key] = record
	}
	tasksPerRecord := w.TasksPerNumberedRecord()
	job.PlacementRecords = nil
	for from := 0; from < len(job.TaskStates); from += tasksPerRecord {
		record := cluster.PlacementRecord{
			Key:  records.NumberedKey(job.ID, from/tasksPerRecord),
			From: from,
			To:   min(from+tasksPerRecord, len(job.TaskStates)),
		}
		if k, ok := known[record.Key]; ok {
			record = k
		}
		job.PlacementRecords = append(job.PlacementRecords, record)
	}
}

// switchToNamedRanges moves a job from numbered records to records with named ranges. A numbered
// record stays valid for the tasks whose new record is not written yet.
func (w *Writer) switchToNamedRanges(job *cluster.Job) {
	oldRecords := job.PlacementRecords
	job.SupersededKeys = job.PlacementKeys()
	job.PlacementRecords, job.NumberedKeys = nil, false
	w.addRangeRecords(job)
	for _, old := range oldRecords {
		for i := range job.PlacementRecords {
			if record := &job.PlacementRecords[i]; old.Dirty && record.From < old.To && old.From < record.To {
				record.Dirty = true
			}
		}
	}
}

// mayWriteNamedRanges reports whether a job's placements may be written to records with named
// ranges, and switches a job with numbered records to them if necessary. If this term has already
// sent placements of the job, its open record is rewritten first: a delayed copy of an earlier
// write could otherwise still be applied and restore what the new records have replaced. Such a
// copy is conditional on the old version of the open record. The open records of cancelled jobs
// are not rewritten (see addOpenRecords).
func (w *Writer) mayWriteNamedRanges(job *cluster.Job) bool {
	if !job.NumberedKeys {
		return true
	}
	if job.HasUnknownPlacementVersion() {
		return false
	}
	dirty := slices.ContainsFunc(job.PlacementRecords, func(r cluster.PlacementRecord) bool { return r.Dirty })
	switch {
	case !dirty:
	case job.PlacementSentThisTerm && !job.Cancellation.Requested():
		job.RewriteOpenFirst = true
		return false
	default:
		w.switchToNamedRanges(job)
	}
	return true
}

// EncodePlacement encodes the value of a placement record. It also returns the tasks whose
// placement has not been recorded yet.
func EncodePlacement(job *cluster.Job, record *cluster.PlacementRecord) (value []byte, unpersisted []records.PlacedTask) {
	placement := records.Placement{NextAttempt: job.NextAttempt}
	for i := record.From; i < record.To; i++ {
		t := &job.TaskStates[i]
		if t.Done {
			placement.Done = append(placement.Done, i)
		}
		if t.Machine == nil {
			continue
		}
		placed := records.PlacedTask{Task: i, Attempt: t.Attempt, Machine: t.Machine.Name, Zone: t.Zone, Incarnation: t.Incarnation}
		placement.Tasks = append(placement.Tasks, placed)
		if !t.Persisted {
			unpersisted = append(unpersisted, placed)
		}
	}
	return kv.Encode(placement), unpersisted
}

// LoadedPlacement is a placement record as a new leader reads it from the store.
type LoadedPlacement struct {
	records.PlacementRange
	Key     string
	Version uint64
	Record  records.Placement
}

// RestorePlacements restores a job's placements from the placement records of earlier terms.
func (w *Writer) RestorePlacements(job *cluster.Job, found []LoadedPlacement) {
	covered, named := coveredByNamedRanges(found, len(job.TaskStates))
	if named && !w.store.ValueLimitReductionAnnounced() {
		// The store rejected values of an earlier leader that the settings allow.
		w.store.AssumeLargeValuesRejected()
		w.AllowNamedRanges()
	}
	job.PlacementRecords = nil
	for _, f := range found {
		f.To = min(f.To, len(job.TaskStates))
		if f.From >= f.To || named && f.Numbered {
			job.SupersededKeys = append(job.SupersededKeys, f.Key)
		} else {
			record := cluster.PlacementRecord{Key: f.Key, From: f.From, To: f.To, Version: f.Version}
			job.PlacementRecords = append(job.PlacementRecords, record)
		}
		w.restoreTasks(job, f, covered)
	}
	sortByRange(job.PlacementRecords)
	job.NumberedKeys = !named
	if named {
		w.addRangeRecords(job)
	} else {
		w.addNumberedRecords(job)
	}
}

// coveredByNamedRanges returns which tasks are covered by records with named ranges, and whether
// there are any such records.
func coveredByNamedRanges(found []LoadedPlacement, tasks int) (covered []bool, named bool) {
	covered = make([]bool, tasks)
	for _, f := range found {
		if f.Numbered {
			continue
		}
		named = true
		for i := f.From; i < min(f.To, tasks); i++ {
			covered[i] = true
		}
	}
	return covered, named
}

// restoreTasks restores the state of a job's tasks from a placement record. A numbered record's
// placement of a task is out of date if a record with a named range covers that task.
func (w *Writer) restoreTasks(job *cluster.Job, found LoadedPlacement, covered []bool) {
	job.NextAttempt = max(job.NextAttempt, found.Record.NextAttempt)
	for _, i := range found.Record.Done {
		if i < len(job.TaskStates) && !job.TaskStates[i].Done {
			job.TaskStates[i].Done = true
			job.TasksDone++
		}
	}
	for _, placed := range found.Record.Tasks {
		if placed.Task >= len(job.TaskStates) || found.Numbered && covered[placed.Task] {
			continue
		}
		w.host.PlacementRead(job, placed)
	}
}
