package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestWorkerTrafficIsLogged checks the counts of the line with the traffic of workers, and that it comes
// once a minute.
func TestWorkerTrafficIsLogged(t *testing.T) {
	harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
	var log bytes.Buffer
	harness.core.log = slog.New(slog.NewTextHandler(&log, nil))
	for sequence := range uint64(3) {
		status := wire.Heartbeat{
			Machine: "n-1", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, Sequence: sequence + 1, FencingToken: 5,
			Tasks: []wire.TaskStatus{{Task: "job-101/0", Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}},
		}
		leader.handleHeartbeat(kv.Encode(status), "n0")
	}
	for range 2 {
		harness.now += trafficLogInterval
		harness.step(Tick{})
		harness.step(Tick{})
	}
	lines := strings.Split(log.String(), "\n")
	var found []string
	for _, line := range lines {
		if _, text, ok := strings.Cut(line, `msg="worker traffic" `); ok {
			found = append(found, text)
		}
	}
	if len(found) != 2 {
		t.Fatalf("got %d lines, want one a minute:\n%s", len(found), log.String())
	}
	for _, want := range []string{"heartbeats=3 ", "most_exited=1 ", "forgets=3 ", "starts=0 ", "raised_tokens=0"} {
		if !strings.Contains(found[0]+" ", want) {
			t.Errorf("first line: got %s, want %s", found[0], want)
		}
	}
	if !strings.Contains(found[1], "heartbeats=0 ") {
		t.Errorf("second line: got %s, want the counts of the second minute", found[1])
	}
}
