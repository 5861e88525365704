package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
)

// Methods of requests.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

// Paths of requests.
const (
	pathHealth     = "/healthz"
	pathHeartbeat  = "/checkin"
	pathSubmission = "/submissions"
	suffixCancel   = "/cancel"
)

// onRequest routes an HTTP request.
func (c *Core) onRequest(r Request) {
	job, ofJob := strings.CutPrefix(r.Path, pathSubmission+"/")
	switch {
	case r.Path == pathHealth:
		c.route(r, methodGet, func() { c.onHealth(r) })
	case r.Path == pathHeartbeat:
		c.route(r, methodPost, func() { c.onHeartbeat(r.ID, r.Body) })
	case r.Path == pathSubmission:
		c.route(r, methodPost, func() { c.frontEnd.Submit(frontend.RequestID(r.ID), r.Body) })
	case ofJob:
		c.onJobRequest(r, job)
	default:
		c.refuse(r.ID, frontend.NoSuchPath)
	}
}

// onJobRequest routes a request about one job; rest is its path after that of submissions.
func (c *Core) onJobRequest(r Request, rest string) {
	if job, cancel := strings.CutSuffix(rest, suffixCancel); cancel {
		c.route(r, methodPost, func() { c.frontEnd.Cancel(frontend.RequestID(r.ID), job) })
		return
	}
	c.route(r, methodGet, func() { c.frontEnd.Query(frontend.RequestID(r.ID), rest) })
}

// route handles a request if it has the method of its path.
func (c *Core) route(r Request, method string, handle func()) {
	if r.Method != method {
		c.refuse(r.ID, frontend.MethodNotAllowed)
		return
	}
	handle()
}

// onHealth answers 200 unless the store is unavailable to this controller alone: one that cannot
// reach it while others can should get no new users, nor one that hears no other controller
// either and is more likely cut off than the store is down. A general outage makes no
// controller unhealthy.
func (c *Core) onHealth(r Request) {
	unavailable := c.store.UnavailableFor()
	othersReachStore := unavailable > c.leaderLeaseDuration()/2 && c.membership.PeerReachesStore()
	cutOff := unavailable > c.leaderLeaseDuration() && c.membership.LostAllPeers()
	if othersReachStore || cutOff {
		c.refuse(r.ID, frontend.Unhealthy)
		return
	}
	c.answer(r.ID, httpstatus.OK, nil, 0)
}
