package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
)

// cloudRetryDelay is the time between a call to the cloud that failed and the next one.
const cloudRetryDelay = time.Second

// cloudTransport carries the requests of the cloud's client as calls of the core.
type cloudTransport struct{ core *Core }

// Send makes a call to the cloud.
func (t cloudTransport) Send(request cloudapi.Request, done func(cloudapi.Response)) {
	call := Call{
		Destination: DestinationCloud,
		Method:      request.Method,
		Path:        request.Path,
		Body:        request.Body,
		Timeout:     request.Timeout,
		Urgent:      request.Urgent,
	}
	t.core.call(call, func(r Result) { done(cloudapi.Response{StatusCode: r.Status, Body: r.Body}) })
}
