// Package httpcall makes the core's calls over HTTP. It has no state: the clients of the key-value
// store, the cloud and workers, which use it, own their connections and limits.
package httpcall

import (
	"errors"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Do makes a call and blocks until it is answered, fails or reaches the deadline. After a failure
// it closes the client's idle connections, since the server may have closed them too.
func Do(client *httpwire.Client, call *core.Call, deadline time.Time) core.Result {
	response, err := client.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	if err != nil {
		client.CloseIdle()
		return core.Result{ID: call.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: call.ID, Status: response.Status, Body: response.Body}
}
