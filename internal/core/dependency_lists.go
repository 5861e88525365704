package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// dependencyLists is the leader's state of reading dependency lists and of deleting abandoned
// ones.
type dependencyLists struct {
	unread        map[string]time.Duration // jobs whose list is not read; when to retry
	nextCleanupAt time.Duration            // when abandoned lists are deleted next
}

// noRetry is the time of a retry that is not due while a call is under way.
const noRetry = time.Duration(math.MaxInt64)

// readList reads the dependencies of a job from its list records.
func (l *leader) readList(job *cluster.Job) {
	l.dependencyLists.unread[job.ID] = noRetry
	l.readListPage(job, dependencylist.NewReader(job.DependencyList))
}

// readListPage reads the next page of a job's list records.
func (l *leader) readListPage(job *cluster.Job, reader *dependencylist.Reader) {
	l.core.store.List(reader.Prefix(), reader.After(), func(r kv.ListResult) {
		if l.steppedDown || l.Jobs[job.ID] != job {
			return
		}
		if r.Status != kv.OK {
			l.retryList(job)
			return
		}
		if err := reader.AddPage(r.Page.Items); err != nil {
			l.listUnreadable(job, err)
			return
		}
		if r.Page.More {
			l.readListPage(job, reader)
			return
		}
		names, err := reader.Names()
		if err != nil {
			l.listUnreadable(job, err)
			return
		}
		delete(l.dependencyLists.unread, job.ID)
		l.addDependencyNames(job, names)
		l.writer.MarkDirty()
	})
}

// listUnreadable handles a list that was read and is not as it was written.
func (l *leader) listUnreadable(job *cluster.Job, err error) {
	l.core.log.Error("dependency list unreadable", "job", job.ID, "error", err)
	l.retryList(job)
}

// retryList lets the list of a job be read again after a while.
func (l *leader) retryList(job *cluster.Job) {
	l.dependencyLists.unread[job.ID] = l.core.now + l.core.leaderLeaseDuration()/8
}

// tickDependencyLists retries the reading of lists that failed, and deletes abandoned ones at
// intervals.
func (l *leader) tickDependencyLists() {
	for _, id := range sortedKeys(l.dependencyLists.unread) {
		if l.core.now < l.dependencyLists.unread[id] {
			continue
		}
		if job := l.Jobs[id]; job != nil {
			l.readList(job)
		} else {
			delete(l.dependencyLists.unread, id)
		}
	}
	if l.core.now >= l.dependencyLists.nextCleanupAt {
		l.dependencyLists.nextCleanupAt = l.core.now + l.core.listCleanupInterval()
		l.findAbandonedLists("", nil)
	}
}

// abandonedListAge is the age from which an attempt that has led to no job counts as abandoned.
// No harm is done where it has not been: it fails, and its user retries.
func (c *Core) abandonedListAge() time.Duration { return 4 * c.workerLease() }

// listCleanupInterval is the time between searches for such attempts. The first one comes that
// long after the beginning of a term, when the leader has nothing more urgent to do.
func (c *Core) listCleanupInterval() time.Duration { return 3 * c.abandonedListAge() }

// findAbandonedLists reads all list records and deletes those of attempts that have led to no
// job.
func (l *leader) findAbandonedLists(after string, found []dependencylist.Attempt) {
	l.core.store.List(records.PrefixDependencyList, after, func(r kv.ListResult) {
		if l.steppedDown || r.Status != kv.OK {
			return
		}
		for _, item := range r.Page.Items {
			after = item.Key
			found = dependencylist.AddItem(found, item)
		}
		if r.Page.More {
			l.findAbandonedLists(after, found)
			return
		}
		l.deleteAbandonedLists(found)
	})
}

// deleteAbandonedLists deletes those of some attempts that are abandoned, one transaction after
// the other.
func (l *leader) deleteAbandonedLists(found []dependencylist.Attempt) {
	for len(found) > 0 && !l.isAbandoned(&found[0]) {
		found = found[1:]
	}
	if len(found) == 0 {
		return
	}
	attempt := &found[0]
	txn := attempt.DeletionTxn(l.termCondition(), l.core.store.MaxWrites())
	l.core.store.Commit(txn, func(r kv.TxnResult) {
		if l.steppedDown || r.Status != kv.OK && r.Status != kv.Conflict {
			return // found again by the next search
		}
		if r.Status == kv.Conflict {
			l.deleteAbandonedLists(found[1:])
			return
		}
		l.core.log.Debug("records of an abandoned dependency list deleted", "job", attempt.Job, "records", len(txn.Writes))
		attempt.MarkDeleted(txn)
		l.deleteAbandonedLists(found)
	})
}

// isAbandoned reports whether an attempt that has records left has led to no job and is old
// enough to count as abandoned, or is partly deleted already.
func (l *leader) isAbandoned(attempt *dependencylist.Attempt) bool {
	if l.Jobs[attempt.Job] != nil || len(attempt.Keys) == 0 {
		return false
	}
	age := time.Duration(l.core.wallClockMS-attempt.StartedAtMS) * time.Millisecond
	return attempt.FirstVersion == 0 || age >= l.core.abandonedListAge()
}
