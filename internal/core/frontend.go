package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/records"
)

// frontEnd serves the users on every controller, straight from the state
// service. What it remembers of unfinished jobs is only ever used after the
// state service has confirmed that it still holds.
type frontEnd struct {
	openJobs         map[string]*cachedJob
	openJobOrder     []string // as they became known; some may be gone
	finalRecords     map[string]records.Final
	finalRecordOrder []string

	submissionQueue       []*pendingSubmission
	committingSubmissions bool
	lookups               map[string][]*lookupWaiter // by job
	lookupOrder           []string                   // jobs with lookups, oldest first
	lookupCalls           int
	nextConfirmationAt    time.Duration // known jobs wait until then, to be confirmed together
	cancellations         *cancellation.Registry
	preloaded             bool
	preloadAt             time.Duration
}

func (c *Core) initFrontEnd() {
	u := &c.users
	u.openJobs = map[string]*cachedJob{}
	u.finalRecords = map[string]records.Final{}
	u.lookups = map[string][]*lookupWaiter{}
	u.cancellations = cancellation.New(c.cancellationTimeout(), c.cancelGracePeriod())
}

// maxWaitingRequests is how many requests may wait: each comes on a connection.
func (c *Core) maxWaitingRequests() int { return c.settings.Deployment.MachineLimits.MaxConnections }

// shed answers at once, with when to come back, what cannot be taken now.
func (c *Core) shed(req uint64, waiting int) bool {
	if waiting >= c.maxWaitingRequests() || c.storeOverdue() {
		c.answerRetry(req, errorNotNow)
		return true
	}
	return false
}

// storeOverdue reports whether the store has not answered for so long that a request is better
// refused than kept waiting.
func (c *Core) storeOverdue() bool { return c.store.UnavailableFor() > c.store.Timeout()/4 }

func (c *Core) answerStatus(req uint64, id string) {
	c.lookupJob(id, func(f lookupResult) {
		if f.failed || f.open == nil && f.final == nil {
			c.answerRetry(req, errorStoreSilent)
			return
		}
		c.answer(req, httpstatus.OK, c.jobStatus(id, f), 0)
	})
}

// tickFrontEnd gives up on what has waited too long, at once and with word of
// when to come back.
func (c *Core) tickFrontEnd() {
	c.expireSubmissions()
	c.startSubmissionBatch()
	c.expireLookups()
	c.startLookups()
	c.answerStillStopping(c.users.cancellations.Expire(c.now))
}

// expireSubmissions answers the submissions in the queue whose time is up.
func (c *Core) expireSubmissions() {
	u := &c.users
	var keep []*pendingSubmission
	for _, s := range u.submissionQueue {
		if c.now >= s.expiresAt {
			c.answerRetry(s.requestID, errorNotNow)
		} else {
			keep = append(keep, s)
		}
	}
	u.submissionQueue = keep
}

// expireLookups fails the waiting lookups whose time is up.
func (c *Core) expireLookups() {
	u := &c.users
	var order []string
	for _, id := range u.lookupOrder {
		var keep []*lookupWaiter
		for _, l := range u.lookups[id] {
			if c.now >= l.expiresAt {
				l.done(lookupResult{failed: true})
			} else {
				keep = append(keep, l)
			}
		}
		if len(keep) > 0 {
			u.lookups[id] = keep
			order = append(order, id)
		} else {
			delete(u.lookups, id)
		}
	}
	u.lookupOrder = order
}

func sortUint64(s []uint64) { sort.Slice(s, func(i, j int) bool { return s[i] < s[j] }) }
