// Package httpcall makes the core's calls over HTTP. It owns nothing: the clients of the key-value
// store, the cloud and workers own their connections and limits, and call it.
package httpcall

import (
	"errors"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Do makes a call and blocks until it is answered, fails or reaches the deadline. After a failure
// the client's idle connections are closed, since the server may have closed them too.
func Do(client *httpwire.Client, call *core.Call, deadline time.Time) core.Result {
	response, err := client.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	if err != nil {
		client.CloseIdle()
		return core.Result{ID: call.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: call.ID, Status: response.Status, Body: response.Body}
}
