package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// dependencyLists is the leader's state for reading dependency lists and deleting abandoned ones. A
// dependency list holds the dependencies of a job with too many for its open record.
type dependencyLists struct {
	unread        map[string]time.Duration // by ID of the jobs whose list is not read yet; when to retry
	nextCleanupAt time.Duration            // time of the next search for abandoned lists
}

// readInProgress is the retry time of a list that is being read.
const readInProgress = time.Duration(math.MaxInt64)

// readDependencyList reads the dependencies of a job from its list records.
func (l *leader) readDependencyList(job *cluster.Job) {
	l.dependencyLists.unread[job.ID] = readInProgress
	l.readDependencyListPage(job, dependencylist.NewReader(job.DependencyList))
}

// readDependencyListPage reads the next page of a job's list records.
func (l *leader) readDependencyListPage(job *cluster.Job, reader *dependencylist.Reader) {
	l.core.store.List(reader.Prefix(), reader.After(), func(r kv.ListResult) {
		if l.steppedDown || l.Jobs[job.ID] != job {
			return
		}
		if r.Status != kv.OK {
			l.scheduleListRetry(job)
			return
		}
		if err := reader.AddPage(r.Page.Items); err != nil {
			l.handleUnreadableList(job, err)
			return
		}
		if r.Page.More {
			l.readDependencyListPage(job, reader)
			return
		}
		names, err := reader.Names()
		if err != nil {
			l.handleUnreadableList(job, err)
			return
		}
		delete(l.dependencyLists.unread, job.ID)
		l.addDependencyNames(job, names)
		l.writer.MarkDirty()
	})
}

// handleUnreadableList handles a list with missing records or records that cannot be decoded. The
// read is retried.
func (l *leader) handleUnreadableList(job *cluster.Job, err error) {
	l.core.log.Error("dependency list incomplete or malformed", "job", job.ID, "error", err)
	l.scheduleListRetry(job)
}

// scheduleListRetry schedules another read of a job's list.
func (l *leader) scheduleListRetry(job *cluster.Job) {
	l.dependencyLists.unread[job.ID] = l.core.now + l.core.leaderLeaseDuration()/8
}

// tickDependencyLists retries failed reads of lists, and periodically deletes abandoned lists.
func (l *leader) tickDependencyLists() {
	for _, id := range sortedKeys(l.dependencyLists.unread) {
		if l.core.now < l.dependencyLists.unread[id] {
			continue
		}
		if job := l.Jobs[id]; job != nil {
			l.readDependencyList(job)
		} else {
			delete(l.dependencyLists.unread, id)
		}
	}
	if l.core.now >= l.dependencyLists.nextCleanupAt {
		l.dependencyLists.nextCleanupAt = l.core.now + l.core.listCleanupInterval()
		l.findAbandonedLists("", nil)
	}
}

// abandonedListAge returns the age at which a submission attempt that has not created its job is
// considered abandoned. If the attempt is still in progress after all, it fails and the user
// retries.
func (c *Core) abandonedListAge() time.Duration { return 4 * c.workerLease() }

// listCleanupInterval returns the time between searches for abandoned lists. The first search is
// delayed by this time as well, since the leader has more urgent work at the start of a term.
func (c *Core) listCleanupInterval() time.Duration { return 3 * c.abandonedListAge() }

// findAbandonedLists reads all list records, page by page, and then deletes those of abandoned
// submission attempts. attempts holds the attempts found on the previous pages.
func (l *leader) findAbandonedLists(after string, attempts []dependencylist.Attempt) {
	l.core.store.List(records.PrefixDependencyList, after, func(r kv.ListResult) {
		if l.steppedDown || r.Status != kv.OK {
			return
		}
		for _, item := range r.Page.Items {
			after = item.Key
			attempts = dependencylist.AddItem(attempts, item)
		}
		if r.Page.More {
			l.findAbandonedLists(after, attempts)
			return
		}
		l.deleteAbandonedLists(attempts)
	})
}

// deleteAbandonedLists deletes the list records of those of the given attempts that are abandoned,
// one transaction at a time.
func (l *leader) deleteAbandonedLists(attempts []dependencylist.Attempt) {
	for len(attempts) > 0 && !l.isAbandoned(&attempts[0]) {
		attempts = attempts[1:]
	}
	if len(attempts) == 0 {
		return
	}
	attempt := &attempts[0]
	txn := attempt.DeletionTxn(l.termCondition(), l.core.store.MaxWrites())
	l.core.store.Commit(txn, func(r kv.TxnResult) {
		if l.steppedDown || r.Status != kv.OK && r.Status != kv.Conflict {
			return // the next search retries
		}
		if r.Status == kv.Conflict {
			l.deleteAbandonedLists(attempts[1:])
			return
		}
		l.core.log.Debug("deleted records of abandoned dependency list", "job", attempt.Job, "records", len(txn.Writes))
		attempt.MarkDeleted(txn)
		l.deleteAbandonedLists(attempts)
	})
}

// isAbandoned reports whether an attempt with remaining records has not created its job, and is
// older than abandonedListAge or already partly deleted.
func (l *leader) isAbandoned(attempt *dependencylist.Attempt) bool {
	if l.Jobs[attempt.Job] != nil || len(attempt.Keys) == 0 {
		return false
	}
	age := time.Duration(l.core.wallClockMS-attempt.StartedAtMS) * time.Millisecond
	return attempt.FirstVersion == 0 || age >= l.core.abandonedListAge()
}
