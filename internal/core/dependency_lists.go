package core

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A list of awaited jobs that does not fit into the open record of its job is
// spread over list records, a/JOB/TOKEN/0 and following. They are written in
// bounded transactions before the job is accepted; the token differs for each
// attempt, so that two attempts never share a record. The open record then holds
// a reference to the list in place of the names.
//
// The first record stands for the whole attempt: the others are written, and the
// job is accepted, on the condition that it is unchanged. Clearing what is left
// of an attempt that was given up deletes the first record before or together
// with the others. So a transaction of that attempt that is carried out late has
// no effect, and a job that is accepted has its whole list.
//
// Versions before wire.PeerVersionLists do not know these records. To them the
// reference is the name of a job that does not exist: they never start the job,
// but do not cancel it with one that it awaits either. Lists are therefore
// written only once every controller knows them.

// dependencyLists is what the leader keeps of its reading and clearing of lists.
type dependencyLists struct {
	unread        map[string]time.Duration // jobs whose list is not read; when to retry
	nextCleanupAt time.Duration            // when abandoned lists are cleared next
}

// listRecord is one record of a list.
type listRecord struct {
	At    int64    `json:"at"` // ms, time of day at which the attempt began
	Names []string `json:"w"`
}

// listRecordOverhead is what a list record takes beside its names, and
// listNameOverhead what a name takes beside its letters, in bytes.
const (
	listRecordOverhead = 50
	listNameOverhead   = 3
)

// splitList spreads names over records of at most limit bytes.
func splitList(names []string, at int64, limit int) []listRecord {
	var records []listRecord
	bytes := limit
	for _, name := range names {
		size := len(name) + listNameOverhead
		if bytes+size > limit {
			records = append(records, listRecord{At: at})
			bytes = listRecordOverhead
		}
		last := &records[len(records)-1]
		last.Names = append(last.Names, name)
		bytes += size
	}
	return records
}

// listWriter writes the list records of one attempt to submit a job.
type listWriter struct {
	ref     records.DependencyListRef
	records []listRecord
	written int
	version uint64 // of the first record
}

// firstRecordUnchanged is the condition that the attempt has not been cleared.
func (w *listWriter) firstRecordUnchanged() wire.Condition {
	return wire.Condition{Key: w.ref.Key(0), Version: w.version}
}

// complete tells whether all records are written.
func (w *listWriter) complete() bool { return w.written == len(w.records) }

// nextTxn returns the transaction that writes as many further records as fit into
// it, and their number.
func (w *listWriter) nextTxn(maxWrites int) (*wire.Txn, int) {
	txn := &wire.Txn{Conditions: []wire.Condition{w.firstRecordUnchanged()}}
	bytes := 0
	for n := w.written; n < len(w.records) && len(txn.Writes) < maxWrites; n++ {
		value := kv.Encode(w.records[n])
		if len(txn.Writes) > 0 && bytes+len(value) > kv.MaxTxnBytes {
			break
		}
		bytes += len(value) + kv.WriteOverhead
		txn.Writes = append(txn.Writes, wire.Write{Put: w.ref.Key(n), Value: value})
	}
	return txn, len(txn.Writes)
}

// writeList spreads the names that a submission awaits over records, and goes
// on with the submission once they are all written.
func (c *Core) writeList(submission *pendingSubmission) {
	c.nextDependencyList++
	token := strconv.FormatUint(c.incarnation, 36) + "-" + strconv.FormatUint(c.nextDependencyList, 36)
	listRecords := splitList(submission.unfinishedDependencies, c.wallClockMS, c.maxRecordBytes())
	submission.listWriter = &listWriter{
		ref:     records.DependencyListRef{Prefix: records.PrefixDependencyList + submission.record.Job.ID + "/" + token + "/", Records: len(listRecords)},
		records: listRecords,
	}
	c.writeListRecords(submission)
}

// writeListRecords writes the next records of a submission's list.
func (c *Core) writeListRecords(submission *pendingSubmission) {
	if c.now >= submission.expiresAt {
		c.answerRetry(submission.requestID, errorNotNow)
		return
	}
	writer := submission.listWriter
	txn, count := writer.nextTxn(c.store.MaxWrites())
	c.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			if writer.written == 0 {
				writer.version = r.Revision
			}
			writer.written += count
			if !writer.complete() {
				c.writeListRecords(submission)
				return
			}
		case kv.Unanswered, kv.Conflict:
			// Carried out or not: begun again under another token.
			submission.listWriter = nil
		default:
			if r.Status == kv.Rejected {
				c.rejectedWrites(count)
			}
			c.answerRetry(submission.requestID, errorStoreSilent)
			return
		}
		c.resolveDependencies(submission)
	})
}

// readList reads the names that a job awaits from its list records.
func (l *leader) readList(j *cluster.Job) {
	l.dependencyLists.unread[j.ID] = noRetry
	l.readListPage(j, "", nil)
}

// noRetry is the time of a retry that is not due while a call is under way.
const noRetry = time.Duration(math.MaxInt64)

func (l *leader) readListPage(job *cluster.Job, after string, names []string) {
	l.core.store.List(job.DependencyList.Prefix, after, func(r kv.ListResult) {
		if l.steppedDown || l.Jobs[job.ID] != job {
			return
		}
		if r.Status != kv.OK {
			l.retryList(job)
			return
		}
		for _, item := range r.Page.Items {
			after = item.Key
			var record listRecord
			if json.Unmarshal(item.Value, &record) != nil {
				l.core.log.Error("list record is not readable", "key", item.Key)
				l.retryList(job)
				return
			}
			names = append(names, record.Names...)
			job.ListRecordsRead++
		}
		switch {
		case r.Page.More:
			l.readListPage(job, after, names)
		case job.ListRecordsRead < job.DependencyList.Records:
			// Accepted with the whole list: read once more.
			l.core.log.Error("list records are missing", "job", job.ID, "read", job.ListRecordsRead, "of", job.DependencyList.Records)
			l.retryList(job)
		default:
			delete(l.dependencyLists.unread, job.ID)
			l.addDependencyNames(job, names)
			l.writer.MarkDirty()
		}
	})
}

func (l *leader) retryList(j *cluster.Job) {
	j.ListRecordsRead = 0
	l.dependencyLists.unread[j.ID] = l.core.now + l.core.leaderLeaseDuration()/8
}

// tickDependencyLists reads lists again whose reading failed, and now and then clears what
// is left of attempts that were given up.
func (l *leader) tickDependencyLists() {
	for _, id := range sortedKeys(l.dependencyLists.unread) {
		if l.core.now < l.dependencyLists.unread[id] {
			continue
		}
		if j := l.Jobs[id]; j != nil {
			l.readList(j)
		} else {
			delete(l.dependencyLists.unread, id)
		}
	}
	if l.core.now >= l.dependencyLists.nextCleanupAt {
		l.dependencyLists.nextCleanupAt = l.core.now + l.core.listCleanupInterval()
		l.findAbandonedLists("", nil)
	}
}

// abandonedListAge is the age from which an attempt that has led to no job counts
// as given up. No harm is done where it has not been: it fails, and its user
// comes again.
func (c *Core) abandonedListAge() time.Duration { return 4 * c.workerLease() }

// listCleanupInterval is the time between searches for such attempts. The first one
// comes that long after a leader has begun, when it has nothing more urgent to do.
func (c *Core) listCleanupInterval() time.Duration { return 3 * c.abandonedListAge() }

// listAttempt is what the state service holds of an attempt to submit a job with a
// long list.
type listAttempt struct {
	ref       records.DependencyListRef
	job       string
	version   uint64 // of the first record; 0 if it is gone
	startedAt int64
	keys      []string
}

// parseListKey tells which attempt a list record belongs to.
func parseListKey(key string) (ref records.DependencyListRef, job string, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return records.DependencyListRef{}, "", false
	}
	return records.DependencyListRef{Prefix: strings.Join(parts[:3], "/") + "/"}, parts[1], true
}

// findAbandonedLists reads all list records and clears those of attempts that have
// led to no job.
func (l *leader) findAbandonedLists(after string, found []listAttempt) {
	l.core.store.List(records.PrefixDependencyList, after, func(r kv.ListResult) {
		if l.steppedDown || r.Status != kv.OK {
			return
		}
		for _, item := range r.Page.Items {
			after = item.Key
			ref, job, ok := parseListKey(item.Key)
			if !ok {
				continue
			}
			if n := len(found); n == 0 || found[n-1].ref != ref {
				found = append(found, listAttempt{ref: ref, job: job})
			}
			attempt := &found[len(found)-1]
			attempt.keys = append(attempt.keys, item.Key)
			var record listRecord
			if item.Key == ref.Key(0) && json.Unmarshal(item.Value, &record) == nil {
				attempt.version, attempt.startedAt = item.Version, record.At
			}
		}
		if r.Page.More {
			l.findAbandonedLists(after, found)
			return
		}
		l.deleteAbandonedLists(found)
	})
}

// deleteAbandonedLists clears attempts one transaction after the other.
func (l *leader) deleteAbandonedLists(found []listAttempt) {
	for len(found) > 0 {
		attempt := &found[0]
		age := time.Duration(l.core.wallClockMS-attempt.startedAt) * time.Millisecond
		if l.Jobs[attempt.job] != nil || attempt.version != 0 && age < l.core.abandonedListAge() || len(attempt.keys) == 0 {
			found = found[1:]
			continue
		}
		count := min(len(attempt.keys), l.core.store.MaxWrites())
		// The job may just have been accepted, and the first record just have
		// been written.
		txn := &wire.Txn{Conditions: []wire.Condition{
			l.termCondition(),
			{Key: records.OpenKey(attempt.job)},
			{Key: attempt.ref.Key(0), Version: attempt.version},
		}}
		for _, key := range attempt.keys[:count] {
			txn.Writes = append(txn.Writes, wire.Write{Delete: key})
		}
		l.core.store.Commit(txn, func(r kv.TxnResult) {
			if l.steppedDown || r.Status != kv.OK && r.Status != kv.Conflict {
				return // looked for again later
			}
			if r.Status == kv.Conflict {
				l.deleteAbandonedLists(found[1:])
				return
			}
			l.core.log.Debug("list records of a submission that was given up are cleared", "job", attempt.job, "records", count)
			attempt.keys, attempt.version = attempt.keys[count:], 0
			l.deleteAbandonedLists(found)
		})
		return
	}
}
