package core

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// leader is the state of the controller that decides, for one term.
type leader struct {
	c           *Core
	term        uint64
	termVersion uint64
	grant       uint64
	gone        bool // the term is over
	ready       bool // the records are loaded

	jobs     map[string]*job
	order    []*job // by submission
	machines map[string]*machine
	byName   []*machine               // replaced, never changed in place
	leaves   []*machine               // those that may take tasks in this pass
	returned map[string]time.Duration // machines the cloud has taken back for certain

	watchFrom uint64
	loadedAt  time.Duration

	again   func() // a page to be read again
	againAt time.Duration

	txnBusy  bool
	txnRetry time.Duration
	dirty    bool

	visits    int                      // machines looked at by the passes so far
	probing   int                      // probes under way
	reached   map[string]time.Duration // when a machine of a zone last answered or reported to us directly
	resume    *job                     // where the last pass was cut short
	schedule  bool
	schedNext time.Duration

	cancelled map[string]*job // cancelled jobs whose end is not recorded
	fleet     fleet
	arrivals  map[string]*arrivals
	estimate  map[string]*estimate
}

// job is an unfinished job.
type job struct {
	wire.Job
	rank      int  // of the priority
	within    bool // fits into its team's guarantee
	at        int64
	order     uint64 // version of the first record seen: submission order
	version   uint64 // of the open record
	cancelled bool
	askedAt   time.Duration // its user asked to cancel it
	goneAt    time.Duration // cancelled and without a task since then
	goneSaid  bool          // the other controllers were told so
	told      bool          // the user may have been told so
	toldAt    time.Duration
	stale     bool // the open record must be read again

	tasks     []task
	next      uint64 // next attempt number
	chunks    []chunk
	done      int
	placed    int
	loaded    bool
	final     bool // the end is being recorded
	ended     bool // the end is recorded
	retryAt   time.Duration
	fails     int
	preempted int              // how often it made way, as a gang
	failOn    map[string]bool  // machines on which it failed
	moveTo    map[int]*machine // where moving replicas have their room
	held      []*machine       // kept for it, see preempt
}

// chunk is one placement record: a run of a job's tasks.
type chunk struct {
	version uint64
	dirty   bool
	stale   bool // the version is unknown and must be read
	busy    bool
}

// task is one task. A task with a machine counts in full (its place, its
// team's limit, its zone) until it is certainly gone, see gone.go.
type task struct {
	done     bool
	attempt  uint64
	m        *machine
	zone     string // of the machine: known even before the machine reports
	session  uint64 // of the worker, at the start
	recorded bool   // the placement is in the state service
	ours     bool   // placed under this term
	copied   bool   // a copy of the start was sent
	seen     bool   // a report under this term showed it
	state    string
	upAt     time.Duration // first seen running
	placedAt time.Duration
	stop     *stop
}

// stop is a wish that a task ends.
type stop struct {
	grace float64
	at    time.Duration
	hard  bool
	why   string
}

type placeRecord struct {
	Next  uint64       `json:"n"`
	Done  []int        `json:"d,omitempty"`
	Tasks []placeEntry `json:"t,omitempty"`
}

type placeEntry struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
	// Zone counts for spread and one-zone jobs while a new leader has not
	// heard the machine yet.
	Zone    string `json:"z"`
	Session uint64 `json:"s"`
}

// ranks is the number of priorities.
const ranks = 4

var priorityRank = map[string]int{
	wire.PriorityCritical: 3, wire.PriorityUrgent: 2, wire.PriorityNormal: 1, wire.PriorityIdle: 0,
}

func newLeader(c *Core, term, termVersion, grant uint64) *leader {
	return &leader{
		c: c, term: term, termVersion: termVersion, grant: grant,
		jobs:     map[string]*job{},
		machines: map[string]*machine{},
		reached:  map[string]time.Duration{},
		returned: map[string]time.Duration{}, cancelled: map[string]*job{},
		arrivals: map[string]*arrivals{},
		estimate: map[string]*estimate{},
		fleet:    newFleet(),
	}
}

func (l *leader) termCond() wire.Cond { return wire.Cond{Key: keyTerm, Version: l.termVersion} }

// chunkTasks is how many tasks one placement record covers, so that its value
// stays within value_kb whatever the tasks' state.
func (l *leader) chunkTasks() int {
	return max(1, int(l.c.cfg.Deployment.State.ValueKB*1024)/128)
}

func placeKey(id string, i int) string { return prefixPlace + id + "/" + strconv.Itoa(i) }

// recover loads the open jobs, then the placements, and follows the changes
// of open jobs from then on.
func (l *leader) recover() {
	l.watchFrom = 0
	l.loadOpen("")
}

func (l *leader) page(prefix, after string, f func(*wire.Page)) {
	l.c.readPage(prefix, after, true, func(p *wire.Page) {
		switch {
		case l.gone:
		case p == nil:
			l.again, l.againAt = func() { l.page(prefix, after, f) }, l.c.now+l.c.ttl()/20
		default:
			f(p)
		}
	})
}

func (l *leader) loadOpen(after string) {
	l.page(prefixOpen, after, func(p *wire.Page) {
		if after == "" {
			l.watchFrom = p.Revision
		}
		for _, it := range p.Items {
			after = it.Key
			var rec openRecord
			if json.Unmarshal(it.Value, &rec) != nil {
				l.c.log.Error("open record is not readable", "key", it.Key)
				continue
			}
			l.noteOpen(it.Key[len(prefixOpen):], it.Version, rec)
		}
		if p.More {
			l.loadOpen(after)
			return
		}
		if l.ready {
			l.watch()
			return
		}
		l.loadPlaces("")
	})
}

func (l *leader) loadPlaces(after string) {
	l.page(prefixPlace, after, func(p *wire.Page) {
		for _, it := range p.Items {
			after = it.Key
			parts := strings.Split(it.Key, "/")
			var rec placeRecord
			if len(parts) != 3 || json.Unmarshal(it.Value, &rec) != nil {
				l.c.log.Error("placement record is not readable", "key", it.Key)
				continue
			}
			n, _ := strconv.Atoi(parts[2])
			j := l.jobs[parts[1]]
			if j == nil || n >= len(j.chunks) {
				continue
			}
			j.chunks[n].version = it.Version
			j.next = max(j.next, rec.Next)
			for _, i := range rec.Done {
				if i < len(j.tasks) && !j.tasks[i].done {
					j.tasks[i].done = true
					j.done++
				}
			}
			for _, e := range rec.Tasks {
				if e.Task >= len(j.tasks) {
					continue
				}
				m := l.machine(e.Machine)
				t := &j.tasks[e.Task]
				t.attempt, t.zone, t.session, t.recorded, t.copied = e.Attempt, e.Zone, e.Session, true, true
				m.zone = e.Zone
				l.bind(j, e.Task, m)
			}
		}
		if p.More {
			l.loadPlaces(after)
			return
		}
		l.becomeReady()
	})
}

func (l *leader) becomeReady() {
	l.ready = true
	l.loadedAt = l.c.now
	for _, j := range l.order {
		j.loaded = true
	}
	l.c.log.Info("records loaded", "term", l.term, "jobs", len(l.jobs), "machines", len(l.machines))
	l.schedule = true
	l.watch()
}

// watch follows the open jobs: submissions and cancellations by any
// controller come this way.
func (l *leader) watch() {
	hold := 20 * time.Second
	path := "/changes?under=" + prefixOpen + "&since=" + strconv.FormatUint(l.watchFrom, 10) + "&holdMs=" + strconv.Itoa(int(hold/time.Millisecond))
	l.c.call(Call{Dest: DestStore, Method: "GET", Path: path, Timeout: hold + l.c.lease()/2, Watch: true}, func(r Result) {
		if l.gone {
			return
		}
		if r.Status == 410 {
			l.loadOpen("")
			return
		}
		var ch wire.Changes
		if r.Status != 200 || json.Unmarshal(r.Body, &ch) != nil {
			l.fleet.watchRetry = l.c.now + l.c.ttl()/8
			return
		}
		for _, e := range ch.Events {
			if e.Put == "" {
				continue
			}
			var rec openRecord
			if json.Unmarshal(e.Value, &rec) != nil {
				l.c.log.Error("open record is not readable", "key", e.Put)
				continue
			}
			l.noteOpen(e.Put[len(prefixOpen):], e.Version, rec)
		}
		l.watchFrom = max(l.watchFrom, ch.Revision)
		l.watch()
	})
}

// noteOpen takes in an open record, new or changed.
func (l *leader) noteOpen(id string, version uint64, rec openRecord) {
	j := l.jobs[id]
	if j == nil {
		if f, ok := l.c.users.final[id]; ok && f.Status != "" {
			return // an old event of a job that is over
		}
		n := (rec.Job.Tasks + l.chunkTasks() - 1) / l.chunkTasks()
		j = &job{Job: rec.Job, rank: priorityRank[rec.Job.Priority], at: rec.At, order: version, version: version, next: 1,
			tasks: make([]task, rec.Job.Tasks), chunks: make([]chunk, n), loaded: l.ready, failOn: map[string]bool{}, moveTo: map[int]*machine{}}
		l.jobs[id] = j
		at := sort.Search(len(l.order), func(k int) bool { return l.order[k].order > j.order })
		l.order = slices.Insert(l.order, at, j)
		l.c.log.Debug("job", "job", id, "class", j.Class, "team", j.Team, "shape", j.Shape, "tasks", len(j.tasks))
		l.noteArrival(j)
	}
	if version < j.version {
		return
	}
	j.version = version
	l.noteWish(j, rec)
	l.schedule = true
}

// bind makes a task count on a machine.
func (l *leader) bind(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.m = m
	m.add(ref{j, i, taskName(j.ID, i)})
	m.count(j, 1)
	j.placed++
}

// count adds a job's tasks to a machine's sums, or takes them out.
func (m *machine) count(j *job, n int) {
	r := times(size(&j.Job), n)
	m.used = m.used.Add(r)
	m.soft[j.rank] = m.soft[j.rank].Add(r)
	if j.CheckpointS > 0 {
		m.saves[j.rank] = m.saves[j.rank].Add(r)
	}
}

// release ends the counting of a task. Only gone.go decides to call it.
func (l *leader) release(j *job, i int) {
	t := &j.tasks[i]
	m := t.m
	m.remove(j, i)
	m.count(j, -1)
	if len(m.placed) == 0 {
		m.used, m.soft, m.saves = topology.Resources{}, [ranks]topology.Resources{}, [ranks]topology.Resources{}
		m.idleSince = l.c.now
	}
	j.placed--
	done := t.done
	*t = task{done: done}
	l.touch(j, i)
	l.schedule = true
}

// touch marks a task's record for writing.
func (l *leader) touch(j *job, i int) {
	j.chunks[i/l.chunkTasks()].dirty = true
	l.dirty = true
}

func (l *leader) markDone(j *job, i int) {
	if !j.tasks[i].done {
		j.tasks[i].done = true
		j.done++
		l.touch(j, i)
	}
}

// over tells whether nothing of the job is left to do.
func (j *job) over() bool {
	return j.loaded && j.placed == 0 && (j.cancelled || j.done == len(j.tasks))
}

// finished tells whether the job may be recorded as done: every task is done
// for certain, though copies may still count on machines.
func (j *job) finished() bool { return j.loaded && !j.cancelled && j.done == len(j.tasks) }

func (l *leader) tick() {
	if f := l.again; f != nil && l.c.now >= l.againAt {
		l.again = nil
		f()
	}
	if l.fleet.watchRetry != 0 && l.c.now >= l.fleet.watchRetry {
		l.fleet.watchRetry = 0
		l.watch()
	}
	if !l.ready {
		return
	}
	l.tickMachines()
	l.tickFleet()
	l.tickStops()
	l.tickGone()
	if l.c.now >= l.schedNext+l.c.report()/3 {
		l.schedule = true
	}
}

// settle runs after every input: decisions first, where it is time for them,
// then the records they need.
func (l *leader) settle(decide bool) {
	if l.gone || !l.ready {
		return
	}
	if decide && l.schedule && l.c.now >= l.schedNext {
		l.schedule = false
		l.schedNext = l.c.now + l.c.report()/50
		l.place()
	}
	l.writeRecords()
}

// writeRecords commits what has changed: ends of jobs ahead of placements.
// One transaction is open at a time, and every one is conditional on the term
// and on the versions of the jobs' open records, so that a deposed leader
// writes nothing and a cancellation and a start cannot both win.
func (l *leader) writeRecords() {
	if l.txnBusy || !l.dirty || l.c.now < l.txnRetry {
		return
	}
	ops := l.c.cfg.Deployment.State.TxnOps
	txn := &wire.Txn{If: []wire.Cond{l.termCond()}}
	bytes := 0
	var after []func(version uint64)
	var ends []wire.JobEnd
	more := false
	room := func(n int) bool { return len(txn.Writes)+n <= ops && bytes < 44<<10 }
	for _, j := range l.order {
		if j.ended || j.stale || j.final || !(j.finished() || j.over()) {
			continue
		}
		if j.staleChunk() {
			continue
		}
		n := 2
		for i := range j.chunks {
			if j.chunks[i].version != 0 {
				n++
			}
		}
		if n > ops {
			n = ops // long jobs shed their placement records afterwards
		}
		if !room(n) {
			more = true
			break
		}
		f := finalRecord{Status: wire.StatusDone, Tasks: len(j.tasks)}
		if j.cancelled {
			f.Status = wire.StatusCancelled
		}
		txn.If = append(txn.If, wire.Cond{Key: prefixOpen + j.ID, Version: j.version})
		txn.Writes = append(txn.Writes, wire.Write{Delete: prefixOpen + j.ID}, wire.Write{Put: prefixFinal + j.ID, Value: encode(f)})
		for i := range j.chunks {
			if j.chunks[i].version != 0 && len(txn.Writes) < ops {
				txn.Writes = append(txn.Writes, wire.Write{Delete: placeKey(j.ID, i)})
			}
		}
		bytes += 400
		j.final = true
		after = append(after, func(v uint64) {
			j.final = false
			if v == 0 {
				return
			}
			l.c.log.Info("job over", "job", j.ID, "status", f.Status)
			j.ended = true
			l.c.noteEnd(wire.JobEnd{ID: j.ID, Status: f.Status, Tasks: f.Tasks})
			ends = append(ends, wire.JobEnd{ID: j.ID, Status: f.Status, Tasks: f.Tasks})
			l.forget(j)
		})
	}
	for _, j := range l.order {
		if j.ended || j.stale || j.final || !j.loaded {
			continue
		}
		cond := false
		for i := range j.chunks {
			ch := &j.chunks[i]
			if !ch.dirty || ch.stale || ch.busy {
				continue
			}
			if !room(1) {
				more = true
				break
			}
			if !cond {
				cond = true
				txn.If = append(txn.If, wire.Cond{Key: prefixOpen + j.ID, Version: j.version})
			}
			body, starts := l.encodeChunk(j, i)
			bytes += len(body) + 300
			txn.If = append(txn.If, wire.Cond{Key: placeKey(j.ID, i), Version: ch.version})
			txn.Writes = append(txn.Writes, wire.Write{Put: placeKey(j.ID, i), Value: body})
			ch.dirty, ch.busy = false, true
			after = append(after, func(v uint64) {
				ch.busy = false
				if v == 0 {
					ch.dirty, l.dirty = true, true
					return
				}
				ch.version = v
				for _, s := range starts {
					if t := &j.tasks[s.Task]; t.m != nil && t.attempt == s.Attempt {
						t.recorded = true
					}
				}
				l.sendStarts(j, starts)
			})
		}
	}
	l.dirty = more
	if len(txn.Writes) == 0 {
		return
	}
	l.txnBusy = true
	l.c.commit(txn, true, func(r Result) {
		l.txnBusy = false
		if l.gone {
			return
		}
		var tr wire.TxnResult
		json.Unmarshal(r.Body, &tr)
		version := uint64(0)
		switch r.Status {
		case 200:
			version = tr.Revision
		case 409:
			l.conflict(tr.Failed)
		default:
			l.txnRetry = l.c.now + l.c.ttl()/20
		}
		l.dirty = l.dirty || version == 0
		for _, f := range after {
			f(version)
		}
		l.sendEnds(wire.Ends{Over: ends})
		l.schedule = true
	})
}

func (j *job) staleChunk() bool {
	for i := range j.chunks {
		if j.chunks[i].stale || j.chunks[i].busy {
			return true
		}
	}
	return false
}

func (l *leader) encodeChunk(j *job, n int) ([]byte, []placeEntry) {
	rec := placeRecord{Next: j.next}
	var starts []placeEntry
	for i := n * l.chunkTasks(); i < min((n+1)*l.chunkTasks(), len(j.tasks)); i++ {
		t := &j.tasks[i]
		if t.done {
			rec.Done = append(rec.Done, i)
		}
		if t.m != nil {
			e := placeEntry{Task: i, Attempt: t.attempt, Machine: t.m.name, Zone: t.zone, Session: t.session}
			rec.Tasks = append(rec.Tasks, e)
			if !t.recorded {
				starts = append(starts, e)
			}
		}
	}
	return encode(rec), starts
}

// conflict reads again what a failed condition says has changed: by another
// controller's cancellation, or by a transaction of ours whose answer got
// lost.
func (l *leader) conflict(failed []string) {
	for _, key := range failed {
		switch {
		case key == keyTerm:
			l.c.stepDown("the term has changed")
			return
		case strings.HasPrefix(key, prefixOpen):
			if j := l.jobs[key[len(prefixOpen):]]; j != nil && !j.stale {
				j.stale = true
				l.rereadOpen(j)
			}
		case strings.HasPrefix(key, prefixPlace):
			parts := strings.Split(key, "/")
			n, _ := strconv.Atoi(parts[2])
			if j := l.jobs[parts[1]]; j != nil && n < len(j.chunks) && !j.chunks[n].stale {
				j.chunks[n].stale = true
				l.rereadChunk(j, n)
			}
		}
	}
}

func (l *leader) rereadOpen(j *job) {
	l.c.get(prefixOpen+j.ID, func(r Result) {
		if l.gone {
			return
		}
		var it wire.Item
		var rec openRecord
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &it) == nil && json.Unmarshal(it.Value, &rec) == nil:
			j.stale = false
			l.dirty = true
			l.noteOpen(j.ID, it.Version, rec)
		case r.Status == 404:
			// Our own end of it, recorded by a transaction whose answer was
			// lost: nobody else deletes an open record under this term.
			j.stale = false
			j.ended = true
			l.c.log.Info("job over", "job", j.ID, "status", "recorded earlier")
			l.forget(j)
		default:
			l.rereadOpen(j)
		}
	})
}

func (l *leader) rereadChunk(j *job, n int) {
	l.c.get(placeKey(j.ID, n), func(r Result) {
		if l.gone {
			return
		}
		var it wire.Item
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &it) == nil:
			j.chunks[n].version = it.Version
		case r.Status == 404:
			j.chunks[n].version = 0
		default:
			l.rereadChunk(j, n)
			return
		}
		j.chunks[n].stale = false
		j.chunks[n].dirty = true
		l.dirty = true
	})
}

// forget drops a job whose end is recorded. Copies of its tasks that still
// count on machines stay bound until they are certainly gone.
func (l *leader) forget(j *job) {
	delete(l.jobs, j.ID)
	delete(l.cancelled, j.ID)
	for i, o := range l.order {
		if o == j {
			l.order = append(l.order[:i:i], l.order[i+1:]...)
			break
		}
	}
	l.schedule = true
}

// digest lists the unfinished jobs' counts for the other controllers.
func (l *leader) digest() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.order))
	for _, j := range l.order {
		if n := l.countOf(j); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

func (l *leader) countOf(j *job) wire.JobCount {
	n := wire.JobCount{ID: j.ID, Done: j.done}
	if j.placed == 0 {
		return n
	}
	for i := range j.tasks {
		if j.tasks[i].state == wire.TaskRunning {
			n.Running++
		}
	}
	return n
}

func (l *leader) count(id string) wire.JobCount {
	if j := l.jobs[id]; j != nil {
		return l.countOf(j)
	}
	return wire.JobCount{ID: id}
}
