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
	writeAt  time.Duration // records that were put off are due

	visits    int                      // machines looked at by the passes so far
	probing   int                      // probes under way
	reached   map[string]time.Duration // when a machine of a zone last answered or reported to us directly
	resume    *job                     // where the last pass was cut short
	schedule  bool
	schedNext time.Duration

	cancelled map[string]*job // cancelled jobs whose end is not recorded
	ending    []*job          // of them, those that may be without dependents
	deps      *dependencies
	looking   map[string]time.Duration // awaited jobs that are being looked up; when next
	lookups   int                      // such look-ups under way

	unreadLists  map[string]time.Duration // jobs whose list of awaited ones is not read; when to retry
	clearListsAt time.Duration
	shed         []string // placement records of jobs that are over, to be deleted
	limited      bool     // the state service refused a transaction as malformed
	single       bool     // one job a transaction, to find out whose record is refused
	fleet        fleet
	arrivals     map[string]*arrivals
	estimate     map[string]*estimate
}

// job is an unfinished job.
type job struct {
	wire.Job
	rec       openRecord // as recorded
	rank      int        // of the priority, or of a higher one that a dependent has
	due       float64    // time of day, in s, by which it has to be done; see raise
	within    bool       // fits into its team's guarantee
	waits     bool       // for jobs that are not done
	free      bool       // all that it awaited is done, which is to be recorded
	list      listRef    // of the awaited jobs, if it is spread over records
	listRead  int        // records of it that have been read
	since     int64      // ms, time of day from which its waiting counts
	order     uint64     // version of the first record seen: submission order
	version   uint64     // of the open record
	writing   bool       // the open record is being written
	cancelled bool
	askedAt   time.Duration // its user asked to cancel it
	goneAt    time.Duration // cancelled and without a task since then
	goneSaid  bool          // the other controllers were told so
	told      bool          // the user may have been told so
	toldAt    time.Duration
	stale     bool          // the open record must be read again
	oversize  bool          // the open record is larger than what the state service takes now
	refusals  int           // of its records, in a row
	writeNot  time.Duration // its records are not to be sent before
	numbered  bool          // its placement records are numbered, see placements.go
	tried     bool          // a placement record was sent under this term
	fence     bool          // the open record is to be written before others, see mayWrite

	tasks     []task
	next      uint64   // next attempt number
	chunks    []chunk  // in the order of their tasks
	old       []string // placement records that chunks have taken the place of
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
		deps: newDependencies(), looking: map[string]time.Duration{},
		unreadLists: map[string]time.Duration{},
		arrivals:    map[string]*arrivals{},
		estimate:    map[string]*estimate{},
		fleet:       newFleet(),
	}
}

func (l *leader) termCond() wire.Cond { return wire.Cond{Key: keyTerm, Version: l.termVersion} }

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
		l.loadPlaces("", map[string][]loadedPlace{})
	})
}

func (l *leader) becomeReady() {
	l.ready = true
	l.loadedAt = l.c.now
	l.clearListsAt = l.c.now + l.c.clearListsEvery()
	for _, j := range slices.Clone(l.order) {
		j.loaded = true
		l.resolve(j)
	}
	l.raise(l.order...)
	waiting := 0
	for _, j := range l.order {
		if j.waits {
			waiting++
		}
	}
	l.c.log.Info("records loaded", "term", l.term, "jobs", len(l.jobs), "waiting", waiting, "machines", len(l.machines))
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
		j = &job{Job: rec.Job, rec: rec, rank: priorityRank[rec.Job.Priority], due: ownDue(&rec), since: rec.At, order: version, version: version, next: 1,
			tasks: make([]task, rec.Job.Tasks), loaded: l.ready, failOn: map[string]bool{}, moveTo: map[int]*machine{}}
		l.layOut(j)
		l.jobs[id] = j
		at := sort.Search(len(l.order), func(k int) bool { return l.order[k].order > j.order })
		l.order = slices.Insert(l.order, at, j)
		l.c.log.Debug("job", "job", id, "class", j.Class, "team", j.Team, "shape", j.Shape, "tasks", len(j.tasks))
		l.noteAwaited(j)
	}
	if version < j.version {
		return
	}
	j.version, j.rec = version, rec
	l.noteReady(j)
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
	l.touch(j, i, true)
	l.schedule = true
}

// touch marks a task's record for writing: at once, or, where nothing is lost
// with it but the knowledge that the task is over, gathered with what follows
// in two reports' time. The worker remembers an end until it is recorded.
// Written one by one, the ends of arrays took most of the state service's
// changes, and their last ones are written in vain, since the job's own end
// deletes the record.
func (l *leader) touch(j *job, i int, later bool) {
	ch := j.chunkOf(i)
	at := l.c.now
	if later {
		at += 2 * l.c.report()
	}
	if !ch.dirty || at < ch.due {
		ch.dirty, ch.due = true, at
	}
	if !later || j.finished() || j.over() {
		l.dirty = true
	} else {
		l.writeBy(ch.due)
	}
}

// writeBy has the records written at a time, if not before.
func (l *leader) writeBy(at time.Duration) {
	if l.writeAt == 0 || at < l.writeAt {
		l.writeAt = at
	}
}

func (l *leader) markDone(j *job, i int) {
	if !j.tasks[i].done {
		j.tasks[i].done = true
		j.done++
		l.touch(j, i, true)
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
	if l.writeAt != 0 && l.c.now >= l.writeAt {
		l.writeAt, l.dirty = 0, true
	}
	l.tickMachines()
	l.tickFleet()
	l.tickStops()
	l.tickGone()
	l.tickAwaited()
	l.tickLists()
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
	ops, ranges := l.c.limits().TxnOps, l.ranges()
	txn := &wire.Txn{If: []wire.Cond{l.termCond()}}
	bytes := 0
	var after []func(version uint64)
	var ends []wire.JobEnd
	more := false
	room := func(n int) bool {
		return len(txn.Writes)+n <= ops && bytes < 44<<10 && !(l.single && len(txn.Writes) > 0)
	}
	var writers []*job // whose records are in the transaction
	end := func(j *job) bool {
		keys := j.recordKeys()
		n := min(2+len(keys), ops) // long jobs shed the rest afterwards
		if !room(n) {
			more = true
			return false
		}
		f := finalRecord{Status: wire.StatusDone, Tasks: len(j.tasks)}
		if j.cancelled {
			f.Status = wire.StatusCancelled
		}
		txn.If = append(txn.If, wire.Cond{Key: prefixOpen + j.ID, Version: j.version})
		txn.Writes = append(txn.Writes, wire.Write{Delete: prefixOpen + j.ID}, wire.Write{Put: prefixFinal + j.ID, Value: encode(f)})
		for _, k := range keys[:n-2] {
			txn.Writes = append(txn.Writes, wire.Write{Delete: k})
		}
		bytes += 400
		j.final = true
		writers = append(writers, j)
		after = append(after, func(v uint64) {
			j.final = false
			if v == 0 {
				if j.cancelled {
					l.ending = append(l.ending, j)
				}
				return
			}
			l.c.log.Info("job over", "job", j.ID, "status", f.Status)
			j.ended = true
			l.shed = append(l.shed, keys[n-2:]...)
			l.dirty = l.dirty || len(l.shed) > 0
			l.c.noteEnd(wire.JobEnd{ID: j.ID, Status: f.Status, Tasks: f.Tasks})
			ends = append(ends, wire.JobEnd{ID: j.ID, Status: f.Status, Tasks: f.Tasks})
			l.forget(j)
			l.awaitedOver(j.ID, f.Status)
		})
		return true
	}
	for _, j := range l.order {
		if !j.cancelled && l.mayEnd(j) && !end(j) {
			break
		}
	}
	l.endCancelled(end)
	named := 0 // conditions on awaited jobs
	for _, j := range l.order {
		if j.ended || j.stale || j.final || j.writing || !j.loaded || j.cancelled || !j.free && !j.fence || !l.mayWriteOpen(j) {
			continue
		}
		if !room(1) {
			more = true
			break
		}
		rec := j.rec
		if j.free {
			rec.ReadyAt = l.c.wall
			// An awaited job's end took its open record away.
			for _, a := range j.Awaits {
				if named < 2*ops-1 {
					named++
					txn.If = append(txn.If, wire.Cond{Key: prefixOpen + a})
				}
			}
		}
		body := encode(rec)
		bytes += len(body) + 300
		txn.If = append(txn.If, wire.Cond{Key: prefixOpen + j.ID, Version: j.version})
		txn.Writes = append(txn.Writes, wire.Write{Put: prefixOpen + j.ID, Value: body})
		j.writing = true
		writers = append(writers, j)
		after = append(after, func(v uint64) {
			j.writing = false
			if v == 0 {
				l.dirty = true
				return
			}
			l.c.know(j.ID, &known{version: v, rec: rec})
			if j.version < v {
				j.version, j.rec = v, rec
			}
			l.noteReady(j)
			if j.fence {
				j.fence, l.dirty = false, true
				l.relay(j)
			}
		})
	}
	for _, j := range l.order {
		if j.ended || j.stale || j.final || j.writing || !j.loaded || l.putOffWrite(j) {
			continue
		}
		if ranges && !l.mayWrite(j) {
			more = true
			continue
		}
		cond := false
		for i := range j.chunks {
			ch := &j.chunks[i]
			if !ch.dirty || ch.stale || ch.busy {
				continue
			}
			if l.c.now < ch.due {
				l.writeBy(ch.due)
				continue
			}
			if !room(1) {
				more = true
				break
			}
			if !cond {
				cond = true
				writers = append(writers, j)
				txn.If = append(txn.If, wire.Cond{Key: prefixOpen + j.ID, Version: j.version})
			}
			body, starts := encodeChunk(j, ch)
			bytes += len(body) + 300
			txn.If = append(txn.If, wire.Cond{Key: ch.key, Version: ch.version})
			txn.Writes = append(txn.Writes, wire.Write{Put: ch.key, Value: body})
			ch.dirty, ch.busy, j.tried = false, true, true
			after = append(after, func(v uint64) {
				ch.busy = false
				if v == 0 {
					ch.dirty, ch.due, l.dirty = true, 0, true
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
	var shed []string
	for len(l.shed) > len(shed) && room(1) && !more {
		shed = l.shed[:len(shed)+1]
		txn.Writes = append(txn.Writes, wire.Write{Delete: shed[len(shed)-1]})
	}
	if len(shed) > 0 {
		after = append(after, func(v uint64) {
			if v != 0 {
				l.shed = l.shed[len(shed):]
			}
		})
	}
	l.dirty = more || len(l.shed) > len(shed)
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
			l.single = false
			for _, j := range writers {
				j.refusals = 0
			}
		case 409:
			l.conflict(tr.Failed)
		default:
			if r.Status == 400 {
				l.refused(txn, writers)
			}
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

// mayEnd tells whether nothing on record keeps a job's end from being recorded.
func (l *leader) mayEnd(j *job) bool {
	return !j.ended && !j.stale && !j.final && !j.writing && (j.finished() || j.over()) && !j.staleChunk() && !l.putOffWrite(j)
}

// endCancelled has the ends of cancelled jobs recorded as far as there is room:
// nobody is told of one before its dependents are over, so these come first. A
// chain goes into one transaction where it fits: job by job, each after the
// answer for the one before, a long one would take longer than cancel_s. A job
// with dependents is looked at again when the last of them is over.
func (l *leader) endCancelled(end func(*job) bool) {
	list := l.ending
	l.ending = nil
	for k, j := range list {
		switch {
		case l.jobs[j.ID] != j || j.ended || j.final || l.deps.needed(j.ID):
		case l.mayHaveUnread(j) || !l.mayEnd(j):
			l.ending = append(l.ending, j)
		case !l.endWithAwaited(j, end):
			l.ending = append(l.ending, list[k:]...)
			return
		}
	}
}

// endWithAwaited has the end of a cancelled job recorded, and those of cancelled
// jobs that nothing but it needs. It is false if there is no room for the job.
func (l *leader) endWithAwaited(j *job, end func(*job) bool) bool {
	if !end(j) {
		return false
	}
	for at := []*job{j}; len(at) > 0; at = at[1:] {
		l.deps.eachAwaited(at[0].ID, func(a string) {
			x := l.jobs[a]
			if x != nil && x.cancelled && l.mayEnd(x) && !l.awaitedStill(a) && end(x) {
				at = append(at, x)
			}
		})
	}
	return true
}

func (j *job) staleChunk() bool {
	for i := range j.chunks {
		if j.chunks[i].stale || j.chunks[i].busy {
			return true
		}
	}
	return false
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
			j := l.jobs[jobOf(key[len(prefixPlace):])]
			if j == nil {
				continue
			}
			if n := slices.IndexFunc(j.chunks, func(ch chunk) bool { return ch.key == key }); n >= 0 && !j.chunks[n].stale {
				j.chunks[n].stale = true
				l.rereadChunk(j, key)
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
			l.shed = append(l.shed, j.recordKeys()...)
			l.forget(j)
			l.lookAwaited(j.ID)
		default:
			l.rereadOpen(j)
		}
	})
}

// forget drops a job whose end is recorded. Copies of its tasks that still
// count on machines stay bound until they are certainly gone.
func (l *leader) forget(j *job) {
	delete(l.jobs, j.ID)
	delete(l.cancelled, j.ID)
	delete(l.unreadLists, j.ID)
	var before []string
	l.deps.eachAwaited(j.ID, func(a string) { before = append(before, a) })
	l.deps.drop(j.ID)
	for _, a := range before {
		if x := l.jobs[a]; x != nil && x.cancelled && !l.deps.needed(a) {
			l.ending = append(l.ending, x)
			l.dirty = true
		}
	}
	if !j.cancelled { // else they were told when it was cancelled
		l.reclaim(before)
	}
	at := sort.Search(len(l.order), func(k int) bool { return l.order[k].order >= j.order })
	for ; at < len(l.order) && l.order[at].order == j.order; at++ {
		if l.order[at] == j {
			// Copied, for somebody may go through it.
			l.order = append(l.order[:at:at], l.order[at+1:]...)
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
