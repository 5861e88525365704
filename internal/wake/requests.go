package wake

import (
	"math"
	"sort"
	"time"
)

// Handle accepts a request, to which exactly one reply is sent.
func (c *Controller) Handle(request *Request) {
	model := c.models[request.Model]
	switch {
	case model == nil:
		c.host.Reply(request.ID, Reply{Status: StatusNotFound})
	case c.host.Now() >= request.Deadline:
		c.host.Reply(request.ID, Reply{Status: StatusTimeout})
	case !model.queue.push(request):
		c.host.Reply(request.ID, Reply{Status: StatusUnavailable, RetryAfterSeconds: retryAfter(model)})
	default:
		c.reconcile(model)
	}
}

// retryAfter returns after how many seconds a client should retry a request that was rejected:
// the time that the replica usually takes to load.
func retryAfter(model *modelState) int { return int(math.Ceil(model.LoadSeconds)) }

// expireRequests answers the requests, queued or forwarded, whose deadlines have passed.
func (c *Controller) expireRequests(model *modelState, now time.Duration) {
	for _, request := range model.queue.removeExpired(now) {
		c.host.Reply(request.ID, Reply{Status: StatusTimeout})
	}
	for _, id := range sortedIDs(model.inFlight) {
		if now >= model.inFlight[id].Deadline {
			delete(model.inFlight, id)
			c.host.Reply(id, Reply{Status: StatusTimeout})
		}
	}
}

func sortedIDs(requests map[uint64]*Request) []uint64 {
	ids := make([]uint64, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// forwardAll forwards the queued requests to the replica. After one was not served, it waits for
// the poll interval.
func (c *Controller) forwardAll(model *modelState) {
	if len(model.queue.requests) == 0 {
		return
	}
	if model.lastRejection != 0 && c.host.Now() < model.lastRejection+c.pollInterval() {
		return
	}
	server := model.record.Value.Server
	for _, request := range model.queue.drain() {
		model.inFlight[request.ID] = request
		c.servers.Forward(server, request, func(outcome Outcome, body []byte) {
			c.onForwarded(model, request, outcome, body)
		})
	}
}

// onForwarded handles the outcome of a forwarded request.
func (c *Controller) onForwarded(model *modelState, request *Request, outcome Outcome, body []byte) {
	if model.inFlight[request.ID] != request {
		return // its deadline has passed, and it was answered
	}
	delete(model.inFlight, request.ID)
	if outcome == OutcomeServed {
		model.lastRejection = 0
		c.host.Reply(request.ID, Reply{Status: StatusServed, Body: body})
		return
	}
	// The replica is closing, stopped or unreachable; a change of its record will show which. The
	// request goes back to the head of the queue.
	model.lastRejection = c.host.Now()
	model.queue.pushFront(request)
}
