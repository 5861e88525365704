package wake

import "time"

// Request is a request to a model.
type Request struct {
	ID             uint64 // identifies the client that waits for the reply
	Model          string
	IdempotencyKey string // chosen by the client; a retried request has the same one
	Body           []byte
	Deadline       time.Duration // when the request times out, by the controller's clock
}

// queue holds the requests that wait for a model, in order of arrival. Its length is bounded by
// limit.
type queue struct {
	limit    int
	requests []*Request
}

// push appends a request. It reports false if the queue is full.
func (q *queue) push(request *Request) bool {
	if len(q.requests) >= q.limit {
		return false
	}
	q.requests = append(q.requests, request)
	return true
}

// pushFront puts a request that was forwarded but not served back at the head of the queue. The
// limit does not apply, since the request was admitted when it arrived.
func (q *queue) pushFront(request *Request) {
	q.requests = append([]*Request{request}, q.requests...)
}

// drain removes and returns all requests.
func (q *queue) drain() []*Request {
	all := q.requests
	q.requests = nil
	return all
}

// removeExpired removes and returns the requests whose deadlines have passed.
func (q *queue) removeExpired(now time.Duration) []*Request {
	var expired, remaining []*Request
	for _, request := range q.requests {
		if now >= request.Deadline {
			expired = append(expired, request)
		} else {
			remaining = append(remaining, request)
		}
	}
	q.requests = remaining
	return expired
}
