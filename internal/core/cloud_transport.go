package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
)

// cloudRetryDelay is the time after which a failed call to the cloud is retried.
const cloudRetryDelay = time.Second

// cloudTransport sends the cloud client's requests as calls of the core.
type cloudTransport struct{ core *Core }

// Send sends a request to the cloud; done receives the response.
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
