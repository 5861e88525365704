package core

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
func (l *leader) initPlacementRecords(j *cluster.Job) {
	j.PlacementRecords = nil
	if l.writesNamedRanges() {
		l.addRangeRecords(j)
		return
	}
	j.Numbered = true
	l.addNumberedRecords(j)
}

// addRangeRecords adds chunks that name their range for the tasks that none covers.
func (l *leader) addRangeRecords(j *cluster.Job) {
	per := max(1, l.core.store.MaxPlacementValue()/placementEntryBytes)
	var add []cluster.PlacementRecord
	from := 0
	gap := func(to int) {
		for ; from < to; from += per {
			end := min(from+per, to)
			add = append(add, cluster.PlacementRecord{Key: records.RangeKey(j.ID, from, end), From: from, To: end})
		}
	}
	for _, ch := range j.PlacementRecords {
		gap(ch.From)
		from = ch.To
	}
	gap(len(j.TaskStates))
	j.PlacementRecords = append(j.PlacementRecords, add...)
	slices.SortFunc(j.PlacementRecords, func(a, b cluster.PlacementRecord) int { return cmp.Compare(a.From, b.From) })
}

// switchToNamedRanges moves a job from numbered records to those that name their range. The
// old ones go on holding for ranges that are not written yet.
func (l *leader) switchToNamedRanges(j *cluster.Job) {
	before := j.PlacementRecords
	j.SupersededKeys = j.PlacementKeys()
	j.PlacementRecords, j.Numbered = nil, false
	l.addRangeRecords(j)
	for _, b := range before {
		for i := range j.PlacementRecords {
			if ch := &j.PlacementRecords[i]; b.Dirty && ch.From < b.To && b.From < ch.To {
				ch.Dirty = true
			}
		}
	}
}

// mayWriteNamedRanges tells whether a job's chunks may be written, now that records name
// their range. Before the layout changes, the open record is written once: a copy
// of an earlier write
// that is still under way, conditional on that record, has no effect then. It
// would bring back what the new records have overtaken.
func (l *leader) mayWriteNamedRanges(j *cluster.Job) bool {
	if !j.Numbered {
		return true
	}
	dirty := false
	for i := range j.PlacementRecords {
		if j.PlacementRecords[i].WritePending || j.PlacementRecords[i].VersionUnknown {
			return false
		}
		dirty = dirty || j.PlacementRecords[i].Dirty
	}
	switch {
	case !dirty:
	case j.PlacementSentThisTerm && !j.Cancellation.Requested():
		j.RewriteOpenFirst = true
		return false
	default:
		l.switchToNamedRanges(j)
	}
	return true
}

func encodePlacementRecord(j *cluster.Job, ch *cluster.PlacementRecord) ([]byte, []records.PlacedTask) {
	rec := records.Placement{NextAttempt: j.NextAttempt}
	var starts []records.PlacedTask
	for i := ch.From; i < ch.To; i++ {
		t := &j.TaskStates[i]
		if t.Done {
			rec.Done = append(rec.Done, i)
		}
		if t.Machine != nil {
			e := records.PlacedTask{Task: i, Attempt: t.Attempt, Machine: t.Machine.Name, Zone: t.Zone, Incarnation: t.Incarnation}
			rec.Tasks = append(rec.Tasks, e)
			if !t.Persisted {
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
			if l.Jobs[r.Job] == nil {
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
			l.adoptPlacements(l.Jobs[id], found[id])
		}
		l.recordsComplete()
	})
}

// adoptPlacements takes in a job's placement records.
func (l *leader) adoptPlacements(j *cluster.Job, found []loadedPlacement) {
	covered, named := namedRanges(found, len(j.TaskStates))
	if named && !l.core.store.AnnouncedToShrink() {
		// A leader before this one found out that the service takes less than the
		// settings say.
		l.core.store.AssumeSmallValues()
		l.writer.rejectedOnce = true
	}
	j.PlacementRecords = nil
	for _, f := range found {
		f.To = min(f.To, len(j.TaskStates))
		if f.From >= f.To || named && f.Numbered {
			j.SupersededKeys = append(j.SupersededKeys, f.key)
		} else {
			j.PlacementRecords = append(j.PlacementRecords, cluster.PlacementRecord{Key: f.key, From: f.From, To: f.To, Version: f.version})
		}
		l.adoptPlacedTasks(j, f, covered)
	}
	slices.SortFunc(j.PlacementRecords, func(a, b cluster.PlacementRecord) int { return cmp.Compare(a.From, b.From) })
	j.Numbered = !named
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
func (l *leader) adoptPlacedTasks(j *cluster.Job, f loadedPlacement, covered []bool) {
	j.NextAttempt = max(j.NextAttempt, f.record.NextAttempt)
	for _, i := range f.record.Done {
		if i < len(j.TaskStates) && !j.TaskStates[i].Done {
			j.TaskStates[i].Done = true
			j.TasksDone++
		}
	}
	for _, e := range f.record.Tasks {
		if e.Task >= len(j.TaskStates) || f.Numbered && covered[e.Task] {
			continue
		}
		m := l.machineNamed(e.Machine)
		t := &j.TaskStates[e.Task]
		t.Attempt, t.Zone, t.Incarnation, t.Persisted, t.StartRetransmitted = e.Attempt, e.Zone, e.Incarnation, true, true
		m.Zone = e.Zone
		l.place(j, e.Task, m)
	}
}

// addNumberedRecords adds numbered chunks for the tasks that none covers.
func (l *leader) addNumberedRecords(j *cluster.Job) {
	found := map[string]cluster.PlacementRecord{}
	for _, ch := range j.PlacementRecords {
		found[ch.Key] = ch
	}
	per := l.core.tasksPerNumberedRecord()
	j.PlacementRecords = nil
	for from := 0; from < len(j.TaskStates); from += per {
		ch := cluster.PlacementRecord{Key: records.NumberedKey(j.ID, from/per), From: from, To: min(from+per, len(j.TaskStates))}
		if known, ok := found[ch.Key]; ok {
			ch = known
		}
		j.PlacementRecords = append(j.PlacementRecords, ch)
	}
}

// refreshPlacementRecord reads the version of a placement record that is not known.
func (l *leader) refreshPlacementRecord(j *cluster.Job, key string) {
	l.core.store.Get(key, func(r kv.GetResult) {
		if l.steppedDown {
			return
		}
		n := slices.IndexFunc(j.PlacementRecords, func(ch cluster.PlacementRecord) bool { return ch.Key == key })
		if n < 0 {
			return
		}
		ch := &j.PlacementRecords[n]
		switch r.Status {
		case kv.OK:
			ch.Version = r.Item.Version
		case kv.NotFound:
			ch.Version = 0
		default:
			l.refreshPlacementRecord(j, key)
			return
		}
		ch.VersionUnknown = false
		ch.Dirty = true
		l.writer.dirty = true
	})
}
