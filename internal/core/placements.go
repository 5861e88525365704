package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Placement records say which of a job's tasks may be on which machine. Each
// covers a range of its tasks, so that its value stays within the limits of the
// state service. There are two layouts:
//
//   - p/JOB/N covers as many tasks as value_kb allows, the Nth such range. It is
//     what versions before wire.PeerVersionRanges read and write;
//   - p/JOB/FROM-TO names its range. It is written where the limits are to
//     become smaller than that, once every controller understands it. For the
//     tasks of its range it stands above any record of the first layout, which
//     is left as it is until the job is over.

// placementRecord is one placement record: a run of a job's tasks.
type placementRecord struct {
	key            string
	from, to       int // tasks, the last one exclusive
	version        uint64
	dirty          bool
	dueAt          time.Duration // when it is to be written, if dirty
	versionUnknown bool          // the version is unknown and must be read
	writePending   bool
}

// placementEntryBytes is about what a task takes in a record, at most. numberedEntryBytes is
// what the numbered layout allows for it, and cannot change any more.
const (
	placementEntryBytes = 85
	numberedEntryBytes  = 128
)

// tasksPerNumberedRecord is how many tasks a numbered record covers. It goes by the
// limits that hold now, as in the versions that know no other layout.
func (c *Core) tasksPerNumberedRecord() int {
	return max(1, int(c.settings.Deployment.Store.ValueKB*1024)/numberedEntryBytes)
}

// writesNamedRanges tells whether records that name their range are to be written.
func (l *leader) writesNamedRanges() bool {
	return l.core.store.ShrinkValues() && (l.writer.rejectedOnce || l.core.allPeersSupport(wire.PeerVersionRanges))
}

// initPlacementRecords makes a job's chunks, for a job without records.
func (l *leader) initPlacementRecords(j *job) {
	j.placementRecords = nil
	if l.writesNamedRanges() {
		l.addRangeRecords(j)
		return
	}
	j.numbered = true
	l.addNumberedRecords(j)
}

// addRangeRecords adds chunks that name their range for the tasks that none covers.
func (l *leader) addRangeRecords(j *job) {
	per := max(1, l.core.store.MaxPlacementValue()/placementEntryBytes)
	var add []placementRecord
	from := 0
	gap := func(to int) {
		for ; from < to; from += per {
			end := min(from+per, to)
			add = append(add, placementRecord{key: records.RangeKey(j.ID, from, end), from: from, to: end})
		}
	}
	for _, ch := range j.placementRecords {
		gap(ch.from)
		from = ch.to
	}
	gap(len(j.tasks))
	j.placementRecords = append(j.placementRecords, add...)
	slices.SortFunc(j.placementRecords, func(a, b placementRecord) int { return cmp.Compare(a.from, b.from) })
}

// placementRecordOf is the chunk that covers a task.
func (j *job) placementRecordOf(i int) *placementRecord {
	n, _ := slices.BinarySearchFunc(j.placementRecords, i, func(ch placementRecord, i int) int {
		switch {
		case ch.to <= i:
			return -1
		case ch.from > i:
			return 1
		}
		return 0
	})
	return &j.placementRecords[n]
}

// placementKeys lists a job's placement records.
func (j *job) placementKeys() []string {
	keys := slices.Clone(j.supersededKeys)
	for i := range j.placementRecords {
		if j.placementRecords[i].version != 0 {
			keys = append(keys, j.placementRecords[i].key)
		}
	}
	return keys
}

// recordKeys lists what a job's end deletes beside its open record.
func (j *job) recordKeys() []string {
	return append(j.placementKeys(), j.list.keys()...)
}

// switchToNamedRanges moves a job from numbered records to those that name their range. The
// old ones go on holding for ranges that are not written yet.
func (l *leader) switchToNamedRanges(j *job) {
	before := j.placementRecords
	j.supersededKeys = j.placementKeys()
	j.placementRecords, j.numbered = nil, false
	l.addRangeRecords(j)
	for _, b := range before {
		for i := range j.placementRecords {
			if ch := &j.placementRecords[i]; b.dirty && ch.from < b.to && b.from < ch.to {
				ch.dirty = true
			}
		}
	}
}

// mayWriteNamedRanges tells whether a job's chunks may be written, now that records name
// their range. Before the layout changes, the open record is written once: a copy
// of an earlier write
// that is still under way, conditional on that record, has no effect then. It
// would bring back what the new records have overtaken.
func (l *leader) mayWriteNamedRanges(j *job) bool {
	if !j.numbered {
		return true
	}
	dirty := false
	for i := range j.placementRecords {
		if j.placementRecords[i].writePending || j.placementRecords[i].versionUnknown {
			return false
		}
		dirty = dirty || j.placementRecords[i].dirty
	}
	switch {
	case !dirty:
	case j.placementSentThisTerm && !j.cancellation.Requested():
		j.rewriteOpenFirst = true
		return false
	default:
		l.switchToNamedRanges(j)
	}
	return true
}

func encodePlacementRecord(j *job, ch *placementRecord) ([]byte, []records.PlacedTask) {
	rec := records.Placement{NextAttempt: j.nextAttempt}
	var starts []records.PlacedTask
	for i := ch.from; i < ch.to; i++ {
		t := &j.tasks[i]
		if t.done {
			rec.Done = append(rec.Done, i)
		}
		if t.machine != nil {
			e := records.PlacedTask{Task: i, Attempt: t.attempt, Machine: t.machine.name, Zone: t.zone, Incarnation: t.incarnation}
			rec.Tasks = append(rec.Tasks, e)
			if !t.persisted {
				starts = append(starts, e)
			}
		}
	}
	return kv.Encode(rec), starts
}

// loadedPlacement is a placement record as a new leader finds it.
type loadedPlacement struct {
	records.PlacementRange
	key     string
	version uint64
	record  records.Placement
}

// loadPlacements reads the placements of open jobs. What is left of jobs that are
// over is to be deleted.
func (l *leader) loadPlacements(after string, found map[string][]loadedPlacement) {
	l.loadPage(records.PrefixPlacement, after, func(p *wire.Page) {
		for _, it := range p.Items {
			after = it.Key
			r, ok := records.ParsePlacementKey(it.Key, l.core.tasksPerNumberedRecord())
			var rec records.Placement
			if !ok || json.Unmarshal(it.Value, &rec) != nil {
				l.core.log.Error("placement record is not readable", "key", it.Key)
				continue
			}
			if l.jobs[r.Job] == nil {
				l.writer.orphanedRecords = append(l.writer.orphanedRecords, it.Key)
				continue
			}
			found[r.Job] = append(found[r.Job], loadedPlacement{r, it.Key, it.Version, rec})
		}
		if p.More {
			l.loadPlacements(after, found)
			return
		}
		for _, id := range sortedKeys(found) {
			l.adoptPlacements(l.jobs[id], found[id])
		}
		l.recordsComplete()
	})
}

// adoptPlacements takes in a job's placement records.
func (l *leader) adoptPlacements(j *job, found []loadedPlacement) {
	covered, named := namedRanges(found, len(j.tasks))
	if named && !l.core.store.AnnouncedToShrink() {
		// A leader before this one found out that the service takes less than the
		// settings say.
		l.core.store.AssumeSmallValues()
		l.writer.rejectedOnce = true
	}
	j.placementRecords = nil
	for _, f := range found {
		f.To = min(f.To, len(j.tasks))
		if f.From >= f.To || named && f.Numbered {
			j.supersededKeys = append(j.supersededKeys, f.key)
		} else {
			j.placementRecords = append(j.placementRecords, placementRecord{key: f.key, from: f.From, to: f.To, version: f.version})
		}
		l.adoptPlacedTasks(j, f, covered)
	}
	slices.SortFunc(j.placementRecords, func(a, b placementRecord) int { return cmp.Compare(a.from, b.from) })
	j.numbered = !named
	if named {
		l.addRangeRecords(j)
	} else {
		l.addNumberedRecords(j)
	}
}

// namedRanges tells which tasks are covered by records that name their range, and
// whether there are any such records.
func namedRanges(found []loadedPlacement, tasks int) (covered []bool, named bool) {
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

// adoptPlacedTasks takes in what a placement record says of a job's tasks. What a
// numbered one says of a task that is covered by another record is out of date.
func (l *leader) adoptPlacedTasks(j *job, f loadedPlacement, covered []bool) {
	j.nextAttempt = max(j.nextAttempt, f.record.NextAttempt)
	for _, i := range f.record.Done {
		if i < len(j.tasks) && !j.tasks[i].done {
			j.tasks[i].done = true
			j.tasksDone++
		}
	}
	for _, e := range f.record.Tasks {
		if e.Task >= len(j.tasks) || f.Numbered && covered[e.Task] {
			continue
		}
		m := l.machineNamed(e.Machine)
		t := &j.tasks[e.Task]
		t.attempt, t.zone, t.incarnation, t.persisted, t.startRetransmitted = e.Attempt, e.Zone, e.Incarnation, true, true
		m.zone = e.Zone
		l.place(j, e.Task, m)
	}
}

// addNumberedRecords adds numbered chunks for the tasks that none covers.
func (l *leader) addNumberedRecords(j *job) {
	found := map[string]placementRecord{}
	for _, ch := range j.placementRecords {
		found[ch.key] = ch
	}
	per := l.core.tasksPerNumberedRecord()
	j.placementRecords = nil
	for from := 0; from < len(j.tasks); from += per {
		ch := placementRecord{key: records.NumberedKey(j.ID, from/per), from: from, to: min(from+per, len(j.tasks))}
		if known, ok := found[ch.key]; ok {
			ch = known
		}
		j.placementRecords = append(j.placementRecords, ch)
	}
}

// refreshPlacementRecord reads the version of a placement record that is not known.
func (l *leader) refreshPlacementRecord(j *job, key string) {
	l.core.store.Get(key, func(r kv.GetResult) {
		if l.steppedDown {
			return
		}
		n := slices.IndexFunc(j.placementRecords, func(ch placementRecord) bool { return ch.key == key })
		if n < 0 {
			return
		}
		ch := &j.placementRecords[n]
		switch r.Status {
		case kv.OK:
			ch.version = r.Item.Version
		case kv.NotFound:
			ch.version = 0
		default:
			l.refreshPlacementRecord(j, key)
			return
		}
		ch.versionUnknown = false
		ch.dirty = true
		l.writer.dirty = true
	})
}
