package wake

import "time"

// Request is a request to a model.
type Request struct {
	ID    uint64 // of the connection that waits for the answer
	Model string
	Key   string // the client's own; a repeated request has the same one
	Body  []byte
	Until time.Duration // when its client gives up, by the controller's clock
}

// line holds the requests that wait for a model, in the order in which they came. Its
// length is bounded.
type line struct {
	limit    int
	requests []*Request
}

// push adds a request; false if the line is full.
func (l *line) push(r *Request) bool {
	if len(l.requests) >= l.limit {
		return false
	}
	l.requests = append(l.requests, r)
	return true
}

// pushBack puts a request that was under way first again. It had its place already.
func (l *line) pushBack(r *Request) { l.requests = append([]*Request{r}, l.requests...) }

// take takes all requests out of the line.
func (l *line) take() []*Request {
	all := l.requests
	l.requests = nil
	return all
}

// expired takes out the requests whose clients give up now.
func (l *line) expired(now time.Duration) []*Request {
	var over, left []*Request
	for _, r := range l.requests {
		if now >= r.Until {
			over = append(over, r)
		} else {
			left = append(left, r)
		}
	}
	l.requests = left
	return over
}
