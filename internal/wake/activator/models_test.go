package activator

import (
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/wake"
)

// TestCommandOutcomes checks what an owner learns of a command: a late answer within one controller lease
// counts, and a command that may have been executed differs from one that was not sent. When late answers
// did not count, a model was started on a second server beside the replica.
func TestCommandOutcomes(t *testing.T) {
	const lease = time.Second
	ready := httpserve.Response{Status: httpstatus.OK, Body: []byte(`{"state":"ready"}`)}
	for _, tc := range []struct {
		name     string
		delay    time.Duration // of the response
		response httpserve.Response
		want     wake.ReplicaState
	}{
		{"answer", 0, ready, wake.ReplicaReady},
		{"answer after three quarters of a lease", lease * 3 / 4, ready, wake.ReplicaReady},
		{"answer after two leases", 2 * lease, ready, wake.ReplicaUnreachable},
		{"not an answer", 0, httpserve.Response{Status: httpstatus.OK, Body: []byte(`{`)}, wake.ReplicaUnreachable},
		{"an error", 0, httpserve.Response{Status: httpstatus.ServiceUnavailable, Body: []byte(`{}`)}, wake.ReplicaUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			modelServer, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, func(_ *httpwire.Request, reply func(httpserve.Response)) {
				time.AfterFunc(tc.delay, func() { reply(tc.response) })
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(modelServer.CloseAll)
			if got := sendProbe(lease, modelServer.Addr()); got != tc.want {
				t.Errorf("state after the command: got %q, want %q", got, tc.want)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listener.Close()
		if got := sendProbe(lease, address); got != wake.ReplicaNotSent {
			t.Errorf("state after the command: got %q, want %q", got, wake.ReplicaNotSent)
		}
	})
}

// sendProbe sends a probe to a model server as an activator with the given lease does, and returns the
// state that the owner learns.
func sendProbe(lease time.Duration, address string) wake.ReplicaState {
	activator := &Server{
		config:       Config{Registry: &wake.Registry{LeaseSeconds: lease.Seconds()}},
		modelClients: map[string]*httpwire.Client{},
	}
	state := make(chan wake.ReplicaState, 1)
	activator.Command(address, wake.Command{Verb: wake.VerbProbe, Model: "m", Epoch: 1}, func(status wake.ReplicaStatus) {
		state <- status.State
	})
	return <-state
}
