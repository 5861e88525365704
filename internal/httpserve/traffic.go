package httpserve

import "sync/atomic"

// Traffic counts requests and the bytes of requests and responses.
type Traffic struct {
	Requests      atomic.Int64
	RequestBytes  atomic.Int64
	ResponseBytes atomic.Int64
}

// Add counts a request and its response by their sizes in bytes.
func (t *Traffic) Add(requestBytes, responseBytes int) {
	t.Requests.Add(1)
	t.RequestBytes.Add(int64(requestBytes))
	t.ResponseBytes.Add(int64(responseBytes))
}
