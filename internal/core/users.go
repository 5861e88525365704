package core

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Keys of jobs. An open job has one record that only its submission, its
// cancellation and its end change; a final one has a small record that never
// changes. Finishing moves it in one transaction, so a reader that looks at
// the open record first and the final one second misses nothing.
const (
	prefixOpen  = "o/"
	prefixFinal = "f/"
	prefixPlace = "p/"
	// keyTypes is not of a job: it holds the machine types last seen.
	keyTypes = "types"
)

// openRecord is the value of an open job's record. Versions share the records:
// keys and JSON names never change, see compat_test.go.
type openRecord struct {
	Job       wire.Job `json:"j"`
	At        int64    `json:"at"` // ms, time of day of the submission
	Cancelled bool     `json:"c,omitempty"`
	// AskedAt is the time of day, in ms, at which the user asked to cancel: the
	// tasks are stopped, but nobody is told before they are gone, see cancel.go.
	AskedAt int64 `json:"ak,omitempty"`
	// CancelledAt is the time of day, in ms, at which the user was about to be
	// told: cancel_s runs from it, whoever leads.
	CancelledAt int64 `json:"ca,omitempty"`
	// Needed tells that another job awaits this one.
	Needed bool `json:"nd,omitempty"`
	// ReadyAt is the time of day, in ms, at which all jobs that it awaited were
	// done; before that none of its tasks may be placed.
	ReadyAt int64 `json:"ra,omitempty"`
}

// told tells whether the user may have been told that the job is cancelled.
func (r *openRecord) told() bool { return r.Cancelled && (r.CancelledAt != 0 || r.AskedAt == 0) }

// finalRecord is the value of an ended job's record, which is never changed.
type finalRecord struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
}

// users serves the users on every controller, straight from the state
// service. What it remembers of unfinished jobs is only ever used after the
// state service has confirmed that it still holds.
type users struct {
	open       map[string]*known
	openOrder  []string // as they became known; some may be gone
	final      map[string]finalRecord
	finalOrder []string

	submits    []*submit
	submitBusy bool
	lookups    map[string][]*lookup // by job
	order      []string             // jobs with lookups, oldest first
	lookupBusy int
	confirmAt  time.Duration // known jobs wait until then, to be confirmed together
	cancels    map[string]*cancelling
	preloaded  bool
	preloadAt  time.Duration

	storeBadSince time.Duration
}

type known struct {
	version uint64
	rec     openRecord
}

type submit struct {
	req    uint64
	rec    openRecord
	until  time.Duration
	awaits []string // all that were named
	// unfinished are those of them that are not over.
	unfinished []string
	list       *listWriter // for a list too long for the record; nil for others
	// withdrawn: a job that it awaits is cancelled, and so is this one.
	withdrawn bool
	alone     bool // in a transaction of its own
}

// submitWait is how long a submission may take before its user is asked to come
// back, and longSubmitWait how long one that awaits more jobs than go into a
// transaction may. Users wait for 5 s.
const (
	submitWait     = 2 * time.Second
	longSubmitWait = 4 * time.Second
)

type lookup struct {
	f     func(found)
	until time.Duration
}

// found is the outcome of a lookup: unknown, open or final; failed when the
// state service gave no answer.
type found struct {
	failed bool
	open   *known
	final  *finalRecord
}

// maxKnown is how many jobs of a kind are remembered, open or final: a hundred
// for each megabyte, about a fiftieth of the memory.
func (c *Core) maxKnown() int { return int(100 * c.cfg.Deployment.Limits.RAMMB) }

// maxWaiting is how many requests may wait: each comes on a connection.
func (c *Core) maxWaiting() int { return c.cfg.Deployment.Limits.MaxConnections }

// know remembers an open job; the ones known for longest make way. Forgetting
// is safe: a job that is asked for is read again.
func (c *Core) know(id string, k *known) {
	u := &c.users
	if u.open[id] == nil {
		u.openOrder = append(u.openOrder, id)
	}
	u.open[id] = k
	for len(u.openOrder) > c.maxKnown() {
		if old := u.openOrder[0]; old != id {
			delete(u.open, old)
		}
		u.openOrder = u.openOrder[1:]
	}
}

func (u *users) init() {
	u.open = map[string]*known{}
	u.final = map[string]finalRecord{}
	u.lookups = map[string][]*lookup{}
	u.cancels = map[string]*cancelling{}
}

func (c *Core) onRequest(r Request) {
	switch {
	case r.Path == "/healthz":
		c.onHealth(r)
	case r.Path == "/checkin":
		if c.method(r, "POST") {
			c.onReport(r.ID, r.Body)
		}
	case r.Path == "/submissions":
		if c.method(r, "POST") {
			c.onSubmit(r)
		}
	case strings.HasPrefix(r.Path, "/submissions/"):
		id := strings.TrimPrefix(r.Path, "/submissions/")
		if job, ok := strings.CutSuffix(id, "/cancel"); ok {
			if c.method(r, "POST") {
				c.onCancel(r.ID, job)
			}
		} else if c.method(r, "GET") {
			c.onQuery(r.ID, id)
		}
	default:
		c.answer(r.ID, 404, errorBody("no such path"), 0)
	}
}

func (c *Core) method(r Request, want string) bool {
	if r.Method != want {
		c.answer(r.ID, 405, errorBody("method not allowed"), 0)
		return false
	}
	return true
}

func errorBody(text string) any {
	return struct {
		Error string `json:"error"`
	}{text}
}

// onHealth answers 200 unless the state service has left this controller
// alone: one that cannot reach it while others can should get no new users, nor
// one that hears no other controller either and is more likely cut off than the
// service is down. A general outage takes nobody out.
func (c *Core) onHealth(r Request) {
	if !c.method(r, "GET") {
		return
	}
	bad := c.users.storeBadSince
	if bad != 0 && c.now-bad > c.ttl()/2 && c.peerStoreOK() || bad != 0 && c.now-bad > c.ttl() && c.cutFromPeers() {
		c.answer(r.ID, 503, errorBody("the state service does not answer"), 0)
		return
	}
	c.answer(r.ID, 200, nil, 0)
}

func (c *Core) onSubmit(r Request) {
	u := &c.users
	job, why := parseSubmission(r.Body)
	if job == nil {
		// A repeated submission of an accepted job is never refused, but a
		// body that names no valid job is not one.
		c.answer(r.ID, 400, errorBody(why), 0)
		return
	}
	if f, ok := u.final[job.ID]; ok {
		c.answer(r.ID, 200, f.status(job.ID), 0)
		return
	}
	if u.open[job.ID] != nil {
		c.answerKnown(r.ID, job.ID)
		return
	}
	if len(c.types) == 0 {
		c.answer(r.ID, 503, errorBody("machine types are not known yet"), 1)
		return
	}
	if why := c.possible(job); why != "" {
		// A job that was accepted before gets 200 whatever holds now.
		c.find(job.ID, func(f found) {
			switch {
			case f.failed:
				c.answer(r.ID, 503, errorBody("the state service does not answer"), 1)
			case f.open == nil && f.final == nil:
				c.answer(r.ID, 422, errorBody(why), 0)
			default:
				c.answer(r.ID, 200, c.statusOf(job.ID, f), 0)
			}
		})
		return
	}
	if c.refuse(r.ID, len(u.submits)) {
		return
	}
	s := &submit{req: r.ID, rec: openRecord{Job: *job, At: c.wall}, awaits: job.Awaits, until: c.now + submitWait}
	if len(s.awaits) > c.limits().TxnOps {
		s.until = c.now + longSubmitWait
	}
	s.rec.Job.Awaits = nil
	if len(s.awaits) > 0 {
		c.checkAwaited(s)
		return
	}
	u.submits = append(u.submits, s)
	c.pumpSubmits()
}

// refuse answers at once, with when to come back, what cannot be taken now.
func (c *Core) refuse(req uint64, waiting int) bool {
	bad := c.users.storeBadSince
	if waiting >= c.maxWaiting() || bad != 0 && c.now-bad > c.storeTimeout()/4 {
		c.answer(req, 503, errorBody("not now"), 1)
		return true
	}
	return false
}

func (c *Core) answerKnown(req uint64, id string) {
	c.find(id, func(f found) {
		if f.failed || f.open == nil && f.final == nil {
			c.answer(req, 503, errorBody("the state service does not answer"), 1)
			return
		}
		c.answer(req, 200, c.statusOf(id, f), 0)
	})
}

// pumpSubmits records waiting submissions, many in one transaction. A record
// is created only if neither an open nor a final one exists.
func (c *Core) pumpSubmits() {
	u := &c.users
	if u.submitBusy || len(u.submits) == 0 {
		return
	}
	var batch, rest, again []*submit
	txn := &wire.Txn{}
	keys := map[string]bool{} // to be written
	marks := map[string]openRecord{}
	bytes := 0
	for _, s := range u.submits {
		if len(batch) > 0 && (s.alone || batch[0].alone) {
			rest = append(rest, s)
			continue
		}
		p, ok := c.prepare(s)
		if !ok {
			again = append(again, s)
			continue
		}
		fits := bytes+p.bytes <= maxTxnBytes && len(txn.Writes)+len(p.writes) <= c.limits().TxnOps && len(txn.If)+len(p.conds) <= 4*c.limits().TxnOps
		for _, w := range p.writes {
			fits = fits && !keys[w.Put]
		}
		if !fits {
			rest = append(rest, s)
			continue
		}
		for _, w := range p.writes {
			keys[w.Put] = true
		}
		for id, rec := range p.marks {
			marks[id] = rec
		}
		bytes += p.bytes
		batch = append(batch, s)
		txn.If = append(txn.If, p.conds...)
		txn.Writes = append(txn.Writes, p.writes...)
	}
	u.submits = rest
	// Afterwards, since they may come back here at once.
	defer func() {
		for _, s := range again {
			c.checkAwaited(s)
		}
	}()
	if len(batch) == 0 {
		return
	}
	u.submitBusy = true
	c.commit(txn, c.smallTxn(len(txn.Writes)), func(r Result) {
		u.submitBusy = false
		var tr wire.TxnResult
		switch r.Status {
		case 200:
			json.Unmarshal(r.Body, &tr)
			for _, id := range sortedKeys(marks) {
				c.know(id, &known{version: tr.Revision, rec: marks[id]})
			}
			for _, s := range batch {
				id := s.rec.Job.ID
				if s.withdrawn {
					f := s.final()
					c.remember(id, f)
					c.answer(s.req, 201, f.status(id), 0)
					continue
				}
				c.know(id, &known{version: tr.Revision, rec: s.rec})
				c.answer(s.req, 201, wire.JobStatus{ID: id, Status: wire.StatusPending}, 0)
			}
		case 409:
			json.Unmarshal(r.Body, &tr)
			failed := map[string]bool{}
			for _, k := range tr.Failed {
				failed[k[2:]] = true
			}
			for _, s := range batch {
				if failed[s.rec.Job.ID] {
					c.answerKnown(s.req, s.rec.Job.ID)
					continue
				}
				if s.list != nil && slices.Contains(tr.Failed, s.list.ref.key(0)) {
					s.list = nil // cleared
					c.checkAwaited(s)
					continue
				}
				changed := false
				for _, a := range s.unfinished {
					if failed[a] {
						changed = true
						delete(u.open, a)
					}
				}
				if changed {
					c.checkAwaited(s)
				} else {
					u.submits = append(u.submits, s)
				}
			}
		case 0:
			// Carried out or not, or still to be: sent again, a record that
			// was made after all is found. With the next tick: a connection
			// that is reset gives no answer at once.
			u.submits = append(batch, u.submits...)
			return
		case 400:
			// One of them may be too large for the service. Alone it does not
			// hold up the others.
			c.refusedTxn(len(txn.Writes))
			for _, s := range batch {
				if len(batch) == 1 {
					c.answer(s.req, 503, errorBody("the state service refuses the record"), 1)
				} else {
					s.alone = true
					u.submits = append(u.submits, s)
				}
			}
		default:
			// Refused: the user comes again.
			for _, s := range batch {
				c.answer(s.req, 503, errorBody("the state service does not answer"), 1)
			}
		}
		c.pumpSubmits()
	})
}

// smallTxn tells whether a transaction is small enough to go ahead of the pace:
// less than half of the changes that one may have. The leader's records are not
// held up either, and where they have used up the rate, a submission to the
// leader would be turned away for it, though the others take them at once. Many
// submissions at a time keep to the pace.
func (c *Core) smallTxn(writes int) bool { return 2*writes < c.limits().TxnOps }

func (c *Core) onQuery(req uint64, id string) {
	if !validID(id) {
		c.answer(req, 404, errorBody("no such job"), 0)
		return
	}
	c.find(id, func(f found) {
		switch {
		case f.failed:
			c.answer(req, 503, errorBody("the state service does not answer"), 1)
		case f.open == nil && f.final == nil:
			c.answer(req, 404, errorBody("no such job"), 0)
		default:
			c.answer(req, 200, c.statusOf(id, f), 0)
		}
	})
}

func (f finalRecord) status(id string) wire.JobStatus {
	s := wire.JobStatus{ID: id, Status: f.Status}
	if f.Status == wire.StatusDone {
		s.Done = f.Tasks
	}
	return s
}

func (c *Core) statusOf(id string, f found) wire.JobStatus {
	if f.final != nil {
		return f.final.status(id)
	}
	s := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if f.open.rec.told() {
		s.Status = wire.StatusCancelled
		return s
	}
	var n wire.JobCount
	if c.lead != nil {
		n = c.lead.count(id)
	} else {
		n = c.counts[id]
	}
	s.Done, s.Running = n.Done, n.Running
	if n.Running > 0 {
		s.Status = wire.StatusRunning
	}
	return s
}

// find looks a job up, so that its answer is no older than this call.
func (c *Core) find(id string, f func(found)) {
	u := &c.users
	if rec, ok := u.final[id]; ok {
		f(found{final: &rec})
		return
	}
	bad := u.storeBadSince
	if len(u.order) >= c.maxWaiting() || bad != 0 && c.now-bad > c.storeTimeout()/4 {
		f(found{failed: true})
		return
	}
	u.wait(id, nil)
	u.lookups[id] = append(u.lookups[id], &lookup{f: f, until: c.now + 1500*time.Millisecond})
	c.pumpLookups()
}

// pumpLookups confirms known jobs by one compare-only transaction for many of
// them, and reads the others. Questions of a moment are gathered: users poll
// without end, and a transaction for each would take most of the processor and
// of the state service's requests.
func (c *Core) pumpLookups() {
	u := &c.users
	confirm := c.now >= u.confirmAt
	for len(u.order) > 0 && u.lookupBusy < 4 {
		var batch, rest []string
		txn := &wire.Txn{}
		limit := 4 * c.limits().TxnOps
		unknown := ""
		for _, id := range u.order {
			k := u.open[id]
			if k == nil {
				if unknown == "" {
					unknown = id
				} else {
					rest = append(rest, id)
				}
				continue
			}
			if len(batch) >= limit || !confirm {
				rest = append(rest, id)
				continue
			}
			batch = append(batch, id)
			txn.If = append(txn.If, wire.Cond{Key: prefixOpen + id, Version: k.version})
		}
		u.order = rest
		if unknown != "" {
			u.lookupBusy++
			c.read(unknown, u.take(unknown))
		}
		if len(batch) == 0 {
			if unknown == "" {
				return
			}
			continue
		}
		u.confirmAt = c.now + c.report()/10
		u.lookupBusy++
		waiting := map[string][]*lookup{}
		for _, id := range batch {
			waiting[id] = u.take(id)
		}
		c.commit(txn, false, func(r Result) {
			u.lookupBusy--
			failed := map[string]bool{}
			if r.Status == 409 {
				var tr wire.TxnResult
				json.Unmarshal(r.Body, &tr)
				for _, k := range tr.Failed {
					failed[k[2:]] = true
				}
			}
			for _, id := range batch {
				switch {
				case r.Status == 0:
					u.wait(id, waiting[id])
				case r.Status != 200 && r.Status != 409:
					resolve(waiting[id], found{failed: true})
				case failed[id] || u.open[id] == nil:
					delete(u.open, id)
					u.lookupBusy++
					c.read(id, waiting[id])
				default:
					resolve(waiting[id], found{open: u.open[id]})
				}
			}
			c.pumpLookups()
		})
	}
}

// wait has lookups of a job wait (again) for their turn, ahead of later ones.
func (u *users) wait(id string, ls []*lookup) {
	if len(u.lookups[id]) == 0 {
		u.order = append(u.order, id)
	}
	u.lookups[id] = append(ls, u.lookups[id]...)
}

func (u *users) take(id string) []*lookup {
	l := u.lookups[id]
	delete(u.lookups, id)
	return l
}

func resolve(ls []*lookup, f found) {
	for _, l := range ls {
		l.f(f)
	}
}

// read fetches the open record, then the final one.
func (c *Core) read(id string, waiting []*lookup) {
	u := &c.users
	end := func(f found) {
		u.lookupBusy--
		resolve(waiting, f)
		c.pumpLookups()
	}
	c.get(prefixOpen+id, func(r Result) {
		c.noteStore(r)
		var it wire.Item
		if r.Status == 200 && json.Unmarshal(r.Body, &it) == nil {
			k := &known{version: it.Version}
			if json.Unmarshal(it.Value, &k.rec) == nil {
				// What was learned while the answer was on its way is newer: a
				// user may have been told of it here meanwhile.
				if f, over := u.final[id]; over {
					end(found{final: &f})
					return
				}
				if old := u.open[id]; old == nil || old.version < k.version {
					c.know(id, k)
				} else {
					k = old
				}
				end(found{open: k})
				return
			}
		}
		if r.Status != 404 {
			end(found{failed: true})
			return
		}
		c.get(prefixFinal+id, func(r Result) {
			c.noteStore(r)
			var it wire.Item
			var f finalRecord
			switch {
			case r.Status == 404:
				delete(u.open, id)
				end(found{})
			case r.Status == 200 && json.Unmarshal(r.Body, &it) == nil && json.Unmarshal(it.Value, &f) == nil:
				c.remember(id, f)
				end(found{final: &f})
			default:
				end(found{failed: true})
			}
		})
	})
}

// remember keeps a final state in memory; the oldest ones make way.
func (c *Core) remember(id string, f finalRecord) {
	u := &c.users
	delete(u.open, id)
	if _, ok := u.final[id]; !ok {
		u.finalOrder = append(u.finalOrder, id)
		if len(u.finalOrder) > c.maxKnown() {
			delete(u.final, u.finalOrder[0])
			u.finalOrder = u.finalOrder[1:]
		}
	}
	u.final[id] = f
}

// tickPreload reads the open jobs once after the start, in pages: else the polls
// of every user, right after all controllers have restarted, would each take a
// read of their own, and the state service's budget with them.
func (c *Core) tickPreload() {
	if u := &c.users; !u.preloaded && c.now >= u.preloadAt {
		u.preloaded = true
		c.preload("")
	}
}

func (c *Core) preload(after string) {
	c.readPage(prefixOpen, after, false, func(p *wire.Page) {
		u := &c.users
		if p == nil {
			u.preloaded, u.preloadAt = false, c.now+c.ttl()
			return
		}
		for _, it := range p.Items {
			after = it.Key
			id := it.Key[len(prefixOpen):]
			k := &known{version: it.Version}
			if _, over := u.final[id]; !over && u.open[id] == nil && json.Unmarshal(it.Value, &k.rec) == nil {
				c.know(id, k)
			}
		}
		if p.More {
			c.preload(after)
		}
	})
}

// readPage reads keys in order; f gets nil if there was no answer.
func (c *Core) readPage(prefix, after string, urgent bool, f func(*wire.Page)) {
	path := "/store?under=" + prefix + "&limit=500"
	if after != "" {
		path += "&since=" + after
	}
	c.call(Call{Dest: DestStore, Method: "GET", Path: path, Timeout: 2 * c.storeTimeout(), Urgent: urgent}, func(r Result) {
		c.noteStore(r)
		var p wire.Page
		if r.Status != 200 || json.Unmarshal(r.Body, &p) != nil {
			f(nil)
			return
		}
		f(&p)
	})
}

// tickUsers gives up on what has waited too long, at once and with word of
// when to come back.
func (c *Core) tickUsers() {
	u := &c.users
	var keep []*submit
	for _, s := range u.submits {
		if c.now >= s.until {
			c.answer(s.req, 503, errorBody("not now"), 1)
		} else {
			keep = append(keep, s)
		}
	}
	u.submits = keep
	c.pumpSubmits()
	var order []string
	for _, id := range u.order {
		var ls []*lookup
		for _, l := range u.lookups[id] {
			if c.now >= l.until {
				l.f(found{failed: true})
			} else {
				ls = append(ls, l)
			}
		}
		if len(ls) > 0 {
			u.lookups[id] = ls
			order = append(order, id)
		} else {
			delete(u.lookups, id)
		}
	}
	u.order = order
	c.pumpLookups()
	c.tickCancels()
}

func sortUint64(s []uint64) { sort.Slice(s, func(i, j int) bool { return s[i] < s[j] }) }
