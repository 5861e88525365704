package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
)

// TestProcessPauseIsLogged checks that a leader without input for longer than a heartbeat interval
// logs one pause, when it resumes.
func TestProcessPauseIsLogged(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause time.Duration
		want  string // expected part of the only log line; empty for no line
	}{
		{"shorter than a heartbeat interval", time.Second, ""},
		{"shorter than the leader's lease", 1900 * time.Millisecond, "leading=true term=5 own_lease_expired=false"},
		{"longer than the leader's lease", 90 * time.Second, "duration_s=90 leading=true term=5 own_lease_expired=true"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, _ := newLeadingHarness(t, func(*config.Settings) {})
			var logged bytes.Buffer
			harness.core.log = slog.New(slog.NewTextHandler(&logged, nil))
			harness.now = harness.core.now + tc.pause
			harness.step(Tick{})
			harness.now += harness.core.heartbeatInterval() / 20
			harness.step(Tick{})
			lines := strings.Count(logged.String(), `msg="process paused"`)
			if tc.want == "" && lines > 0 || tc.want != "" && (lines != 1 || !strings.Contains(logged.String(), tc.want)) {
				t.Errorf("logged %q, want one line with %q (none if empty)", logged.String(), tc.want)
			}
		})
	}
}
