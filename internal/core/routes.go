package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

func (c *Core) onRequest(r Request) {
	switch {
	case r.Path == "/healthz":
		c.onHealth(r)
	case r.Path == "/checkin":
		if c.requireMethod(r, "POST") {
			c.onHeartbeat(r.ID, r.Body)
		}
	case r.Path == "/submissions":
		if c.requireMethod(r, "POST") {
			c.onSubmission(r)
		}
	case strings.HasPrefix(r.Path, "/submissions/"):
		id := strings.TrimPrefix(r.Path, "/submissions/")
		if job, ok := strings.CutSuffix(id, "/cancel"); ok {
			if c.requireMethod(r, "POST") {
				c.onCancel(r.ID, job)
			}
		} else if c.requireMethod(r, "GET") {
			c.onStatusQuery(r.ID, id)
		}
	default:
		c.answerError(r.ID, httpstatus.NotFound, "no such path")
	}
}

func (c *Core) requireMethod(r Request, want string) bool {
	if r.Method != want {
		c.answerError(r.ID, httpstatus.MethodNotAllowed, "method not allowed")
		return false
	}
	return true
}

// onHealth answers 200 unless the state service has left this controller
// alone: one that cannot reach it while others can should get no new users, nor
// one that hears no other controller either and is more likely cut off than the
// service is down. A general outage takes nobody out.
func (c *Core) onHealth(r Request) {
	if !c.requireMethod(r, "GET") {
		return
	}
	unavailable := c.store.UnavailableFor()
	if unavailable > c.leaderLeaseDuration()/2 && c.peerReachesStore() || unavailable > c.leaderLeaseDuration() && c.lostAllPeers() {
		c.answerError(r.ID, httpstatus.ServiceUnavailable, errorStoreSilent)
		return
	}
	c.answer(r.ID, httpstatus.OK, nil, 0)
}

func (c *Core) onStatusQuery(req uint64, id string) {
	if !validJobID(id) {
		c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		return
	}
	c.lookupJob(id, func(f lookupResult) {
		switch {
		case f.failed:
			c.answerRetry(req, errorStoreSilent)
		case f.open == nil && f.final == nil:
			c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		default:
			c.answer(req, httpstatus.OK, c.jobStatus(id, f), 0)
		}
	})
}

func (c *Core) jobStatus(id string, result lookupResult) wire.JobStatus {
	if result.final != nil {
		return result.final.JobStatus(id)
	}
	status := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if result.open.record.Acknowledged() {
		status.Status = wire.StatusCancelled
		return status
	}
	var count wire.JobCount
	if c.leader != nil {
		count = c.leader.jobCountByID(id)
	} else {
		count = c.jobCounts[id]
	}
	status.Done, status.Running = count.Done, count.Running
	if count.Running > 0 {
		status.Status = wire.StatusRunning
	}
	return status
}
