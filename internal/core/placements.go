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

// chunk is one placement record: a run of a job's tasks.
type chunk struct {
	key      string
	from, to int // tasks, the last one exclusive
	version  uint64
	dirty    bool
	due      time.Duration // when it is to be written, if dirty
	stale    bool          // the version is unknown and must be read
	busy     bool
}

// entryBytes is about what a task takes in a record, at most. numberedBytes is
// what the numbered layout allows for it, and cannot change any more.
const (
	entryBytes    = 85
	numberedBytes = 128
)

// numberedTasks is how many tasks a numbered record covers. It goes by the
// limits that hold now, as in the versions that know no other layout.
func (c *Core) numberedTasks() int {
	return max(1, int(c.cfg.Deployment.State.ValueKB*1024)/numberedBytes)
}

// ranges tells whether records that name their range are to be written.
func (l *leader) ranges() bool {
	return l.c.store.ShrinkValues() && (l.records.limited || l.c.allUnderstand(wire.PeerVersionRanges))
}

// layOut makes a job's chunks, for a job without records.
func (l *leader) layOut(j *job) {
	j.chunks = nil
	if l.ranges() {
		l.fillRanges(j)
		return
	}
	j.numbered = true
	l.fillNumbered(j)
}

// fillRanges adds chunks that name their range for the tasks that none covers.
func (l *leader) fillRanges(j *job) {
	per := max(1, l.c.store.MaxPlacementValue()/entryBytes)
	var add []chunk
	from := 0
	gap := func(to int) {
		for ; from < to; from += per {
			end := min(from+per, to)
			add = append(add, chunk{key: records.RangeKey(j.ID, from, end), from: from, to: end})
		}
	}
	for _, ch := range j.chunks {
		gap(ch.from)
		from = ch.to
	}
	gap(len(j.tasks))
	j.chunks = append(j.chunks, add...)
	slices.SortFunc(j.chunks, func(a, b chunk) int { return cmp.Compare(a.from, b.from) })
}

// chunkOf is the chunk that covers a task.
func (j *job) chunkOf(i int) *chunk {
	n, _ := slices.BinarySearchFunc(j.chunks, i, func(ch chunk, i int) int {
		switch {
		case ch.to <= i:
			return -1
		case ch.from > i:
			return 1
		}
		return 0
	})
	return &j.chunks[n]
}

// placeKeys lists a job's placement records.
func (j *job) placeKeys() []string {
	keys := slices.Clone(j.superseded)
	for i := range j.chunks {
		if j.chunks[i].version != 0 {
			keys = append(keys, j.chunks[i].key)
		}
	}
	return keys
}

// recordKeys lists what a job's end deletes beside its open record.
func (j *job) recordKeys() []string {
	return append(j.placeKeys(), j.list.keys()...)
}

// switchToRanges moves a job from numbered records to those that name their range. The
// old ones go on holding for ranges that are not written yet.
func (l *leader) switchToRanges(j *job) {
	before := j.chunks
	j.superseded = j.placeKeys()
	j.chunks, j.numbered = nil, false
	l.fillRanges(j)
	for _, b := range before {
		for i := range j.chunks {
			if ch := &j.chunks[i]; b.dirty && ch.from < b.to && b.from < ch.to {
				ch.dirty = true
			}
		}
	}
}

// mayWrite tells whether a job's chunks may be written, now that records name
// their range. Before the layout changes, the open record is written once: a copy
// of an earlier write
// that is still under way, conditional on that record, has no effect then. It
// would bring back what the new records have overtaken.
func (l *leader) mayWrite(j *job) bool {
	if !j.numbered {
		return true
	}
	dirty := false
	for i := range j.chunks {
		if j.chunks[i].busy || j.chunks[i].stale {
			return false
		}
		dirty = dirty || j.chunks[i].dirty
	}
	switch {
	case !dirty:
	case j.placementSent && !j.cancellation.Requested():
		j.fence = true
		return false
	default:
		l.switchToRanges(j)
	}
	return true
}

func encodeChunk(j *job, ch *chunk) ([]byte, []records.PlacedTask) {
	rec := records.Placement{Next: j.nextAttempt}
	var starts []records.PlacedTask
	for i := ch.from; i < ch.to; i++ {
		t := &j.tasks[i]
		if t.done {
			rec.Done = append(rec.Done, i)
		}
		if t.machine != nil {
			e := records.PlacedTask{Task: i, Attempt: t.attempt, Machine: t.machine.name, Zone: t.zone, Session: t.session}
			rec.Tasks = append(rec.Tasks, e)
			if !t.recorded {
				starts = append(starts, e)
			}
		}
	}
	return kv.Encode(rec), starts
}

// loadedPlace is a placement record as a new leader finds it.
type loadedPlace struct {
	records.PlaceRange
	key     string
	version uint64
	rec     records.Placement
}

// loadPlaces reads the placements of open jobs. What is left of jobs that are
// over is to be deleted.
func (l *leader) loadPlaces(after string, found map[string][]loadedPlace) {
	l.page(records.PrefixPlace, after, func(p *wire.Page) {
		for _, it := range p.Items {
			after = it.Key
			r, ok := records.ParsePlaceKey(it.Key, l.c.numberedTasks())
			var rec records.Placement
			if !ok || json.Unmarshal(it.Value, &rec) != nil {
				l.c.log.Error("placement record is not readable", "key", it.Key)
				continue
			}
			if l.jobs[r.Job] == nil {
				l.records.leftOver = append(l.records.leftOver, it.Key)
				continue
			}
			found[r.Job] = append(found[r.Job], loadedPlace{r, it.Key, it.Version, rec})
		}
		if p.More {
			l.loadPlaces(after, found)
			return
		}
		for _, id := range sortedKeys(found) {
			l.adopt(l.jobs[id], found[id])
		}
		l.becomeReady()
	})
}

// adopt takes in a job's placement records.
func (l *leader) adopt(j *job, found []loadedPlace) {
	covered, named := namedRanges(found, len(j.tasks))
	if named && !l.c.store.AnnouncedToShrink() {
		// A leader before this one found out that the service takes less than the
		// settings say.
		l.c.store.AssumeSmallValues()
		l.records.limited = true
	}
	j.chunks = nil
	for _, f := range found {
		f.To = min(f.To, len(j.tasks))
		if f.From >= f.To || named && f.Numbered {
			j.superseded = append(j.superseded, f.key)
		} else {
			j.chunks = append(j.chunks, chunk{key: f.key, from: f.From, to: f.To, version: f.version})
		}
		l.adoptTasks(j, f, covered)
	}
	slices.SortFunc(j.chunks, func(a, b chunk) int { return cmp.Compare(a.from, b.from) })
	j.numbered = !named
	if named {
		l.fillRanges(j)
	} else {
		l.fillNumbered(j)
	}
}

// namedRanges tells which tasks are covered by records that name their range, and
// whether there are any such records.
func namedRanges(found []loadedPlace, tasks int) (covered []bool, named bool) {
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

// adoptTasks takes in what a placement record says of a job's tasks. What a
// numbered one says of a task that is covered by another record is out of date.
func (l *leader) adoptTasks(j *job, f loadedPlace, covered []bool) {
	j.nextAttempt = max(j.nextAttempt, f.rec.Next)
	for _, i := range f.rec.Done {
		if i < len(j.tasks) && !j.tasks[i].done {
			j.tasks[i].done = true
			j.done++
		}
	}
	for _, e := range f.rec.Tasks {
		if e.Task >= len(j.tasks) || f.Numbered && covered[e.Task] {
			continue
		}
		m := l.machine(e.Machine)
		t := &j.tasks[e.Task]
		t.attempt, t.zone, t.session, t.recorded, t.copied = e.Attempt, e.Zone, e.Session, true, true
		m.zone = e.Zone
		l.bind(j, e.Task, m)
	}
}

// fillNumbered adds numbered chunks for the tasks that none covers.
func (l *leader) fillNumbered(j *job) {
	found := map[string]chunk{}
	for _, ch := range j.chunks {
		found[ch.key] = ch
	}
	per := l.c.numberedTasks()
	j.chunks = nil
	for from := 0; from < len(j.tasks); from += per {
		ch := chunk{key: records.NumberedKey(j.ID, from/per), from: from, to: min(from+per, len(j.tasks))}
		if known, ok := found[ch.key]; ok {
			ch = known
		}
		j.chunks = append(j.chunks, ch)
	}
}

// rereadChunk reads the version of a placement record that is not known.
func (l *leader) rereadChunk(j *job, key string) {
	l.c.store.Get(key, func(r kv.GetResult) {
		if l.deposed {
			return
		}
		n := slices.IndexFunc(j.chunks, func(ch chunk) bool { return ch.key == key })
		if n < 0 {
			return
		}
		ch := &j.chunks[n]
		switch r.Status {
		case kv.OK:
			ch.version = r.Item.Version
		case kv.NotFound:
			ch.version = 0
		default:
			l.rereadChunk(j, key)
			return
		}
		ch.stale = false
		ch.dirty = true
		l.records.dirty = true
	})
}
