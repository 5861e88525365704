package core

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

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
