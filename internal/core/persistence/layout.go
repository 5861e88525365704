package persistence

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// Placement records say which of a job's tasks may be on which machine. Each covers a range
// of its tasks, so that its value stays within the limits of the store. There are two
// layouts:
//
//   - p/JOB/N covers as many tasks as value_kb allows, the Nth such range. It is what
//     versions before wire.PeerVersionRanges read and write;
//   - p/JOB/FROM-TO names its range. It is written where the limits are to become smaller
//     than that, once every controller reads it. For the tasks of its range it takes
//     precedence over any record of the first layout, which is left as it is until the
//     job is over.

// placementEntryBytes is about what a task takes in a record, at most. numberedEntryBytes is
// what the numbered layout allows for it, and can no longer change.
const (
	placementEntryBytes = 85
	numberedEntryBytes  = 128
)

// TasksPerNumberedRecord is how many tasks a numbered record covers. It goes by the limits that
// hold now, as in the versions that know no other layout.
func (w *Writer) TasksPerNumberedRecord() int {
	return max(1, int(w.deployment.Store.ValueKB*1024)/numberedEntryBytes)
}

// AllowNamedRanges allows records that name their range though not every peer has said that it
// reads them: the store no longer accepts the numbered ones.
func (w *Writer) AllowNamedRanges() { w.namedRangesAllowed = true }

// writesNamedRanges reports whether records that name their range are to be written.
func (w *Writer) writesNamedRanges() bool {
	return w.store.ValueLimitReduced() && (w.namedRangesAllowed || w.host.PeersReadNamedRanges())
}

// InitPlacementRecords lays out the placement records of a job that has none.
func (w *Writer) InitPlacementRecords(job *cluster.Job) {
	job.PlacementRecords = nil
	if w.writesNamedRanges() {
		w.addRangeRecords(job)
		return
	}
	job.Numbered = true
	w.addNumberedRecords(job)
}

// addRangeRecords adds records that name their range for the tasks that none covers.
func (w *Writer) addRangeRecords(job *cluster.Job) {
	perRecord := max(1, w.store.MaxPlacementValue()/placementEntryBytes)
	var added []cluster.PlacementRecord
	from := 0
	coverUpTo := func(to int) {
		for ; from < to; from += perRecord {
			end := min(from+perRecord, to)
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

// addNumberedRecords adds numbered records for the tasks that none covers.
func (w *Writer) addNumberedRecords(job *cluster.Job) {
	known := map[string]cluster.PlacementRecord{}
	for _, record := range job.PlacementRecords {
		known[record.Key] = record
	}
	perRecord := w.TasksPerNumberedRecord()
	job.PlacementRecords = nil
	for from := 0; from < len(job.TaskStates); from += perRecord {
		record := cluster.PlacementRecord{
			Key:  records.NumberedKey(job.ID, from/perRecord),
			From: from,
			To:   min(from+perRecord, len(job.TaskStates)),
		}
		if k, ok := known[record.Key]; ok {
			record = k
		}
		job.PlacementRecords = append(job.PlacementRecords, record)
	}
}

// switchToNamedRanges moves a job from numbered records to those that name their range. The
// old ones stay valid for ranges that are not written yet.
func (w *Writer) switchToNamedRanges(job *cluster.Job) {
	before := job.PlacementRecords
	job.SupersededKeys = job.PlacementKeys()
	job.PlacementRecords, job.Numbered = nil, false
	w.addRangeRecords(job)
	for _, old := range before {
		for i := range job.PlacementRecords {
			if record := &job.PlacementRecords[i]; old.Dirty && record.From < old.To && old.From < record.To {
				record.Dirty = true
			}
		}
	}
}

// mayWriteNamedRanges reports whether a job's placements may be written, now that records name
// their range. Before the layout changes, the open record is written once: a copy of an
// earlier write that is still under way, conditional on that record, has no effect then.
// It would restore what the new records have replaced.
func (w *Writer) mayWriteNamedRanges(job *cluster.Job) bool {
	if !job.Numbered {
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
// placement no record has yet.
func EncodePlacement(job *cluster.Job, record *cluster.PlacementRecord) (value []byte, first []records.PlacedTask) {
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
			first = append(first, placed)
		}
	}
	return kv.Encode(placement), first
}

// LoadedPlacement is a placement record as a new leader finds it.
type LoadedPlacement struct {
	records.PlacementRange
	Key     string
	Version uint64
	Record  records.Placement
}

// Adopt takes over a job's placement records of an earlier term.
func (w *Writer) Adopt(job *cluster.Job, found []LoadedPlacement) {
	covered, named := namedRanges(found, len(job.TaskStates))
	if named && !w.store.ValueLimitReductionAnnounced() {
		// An earlier leader found out that the store takes less than the settings say.
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
		w.adoptTasks(job, f, covered)
	}
	sortByRange(job.PlacementRecords)
	job.Numbered = !named
	if named {
		w.addRangeRecords(job)
	} else {
		w.addNumberedRecords(job)
	}
}

// namedRanges returns which tasks are covered by records that name their range, and whether
// there are any such records.
func namedRanges(found []LoadedPlacement, tasks int) (covered []bool, named bool) {
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

// adoptTasks takes over what a placement record says of a job's tasks. What a numbered one says
// of a task that another record covers is out of date.
func (w *Writer) adoptTasks(job *cluster.Job, found LoadedPlacement, covered []bool) {
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
