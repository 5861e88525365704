package wake

import "time"

// Request is a request to a model.
type Request struct {
	ID             uint64 // of the connection that waits for the answer
	Model          string
	IdempotencyKey string // the client's own; a repeated request has the same one
	Body           []byte
	Deadline       time.Duration // when its client gives up, by the controller's clock
}

// queue holds the requests that wait for a model, in the order in which they came. Its
// length is bounded.
type queue struct {
	limit    int
	requests []*Request
}

// push adds a request; false if the line is full.
func (l *queue) push(r *Request) bool {
	if len(l.requests) >= l.limit {
		return false
	}
	l.requests = append(l.requests, r)
	return true
}

// pushFront puts a request that was under way first again. It had its place already.
func (l *queue) pushFront(r *Request) { l.requests = append([]*Request{r}, l.requests...) }

// drain takes all requests out of the line.
func (l *queue) drain() []*Request {
	all := l.requests
	l.requests = nil
	return all
}

// removeExpired takes out the requests whose clients give up now.
func (l *queue) removeExpired(now time.Duration) []*Request {
	var expired, left []*Request
	for _, request := range l.requests {
		if now >= request.Deadline {
			expired = append(expired, request)
		} else {
			left = append(left, request)
		}
	}
	l.requests = left
	return expired
}
