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
		c.answerError(r.ID, httpstatus.NotFound, "no such path")
	}
}

func (c *Core) method(r Request, want string) bool {
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
	if !c.method(r, "GET") {
		return
	}
	unavailable := c.store.UnavailableFor()
	if unavailable > c.ttl()/2 && c.peerStoreOK() || unavailable > c.ttl() && c.cutFromPeers() {
		c.answerError(r.ID, httpstatus.ServiceUnavailable, errorStoreSilent)
		return
	}
	c.answer(r.ID, httpstatus.OK, nil, 0)
}

func (c *Core) onQuery(req uint64, id string) {
	if !validID(id) {
		c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		return
	}
	c.lookUp(id, func(f lookupResult) {
		switch {
		case f.failed:
			c.answerRetry(req, errorStoreSilent)
		case f.open == nil && f.final == nil:
			c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		default:
			c.answer(req, httpstatus.OK, c.statusOf(id, f), 0)
		}
	})
}

func (c *Core) statusOf(id string, f lookupResult) wire.JobStatus {
	if f.final != nil {
		return f.final.JobStatus(id)
	}
	s := wire.JobStatus{ID: id, Status: wire.StatusPending}
	if f.open.rec.Acknowledged() {
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
