package core

import (
	"strings"

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
