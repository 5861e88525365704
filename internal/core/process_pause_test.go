package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
)

// A controller that stood still says so once, when it goes on.
func TestProcessPauseIsLogged(t *testing.T) {
	for _, tc := range []struct {
		name string
		gap  time.Duration
		want string // part of the only line; empty for no line
	}{
		{"shorter than a report", time.Second, ""},
		{"shorter than the leader's lease", 1900 * time.Millisecond, "leading=true term=5 own_lease_ended=false"},
		{"longer than it", 90 * time.Second, "for_s=90 leading=true term=5 own_lease_ended=true"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, _ := newLeadingHarness(t, func(*config.Settings) {})
			var logged bytes.Buffer
			b.core.log = slog.New(slog.NewTextHandler(&logged, nil))
			b.now = b.core.now + tc.gap
			b.step(Tick{})
			b.now += b.core.heartbeatInterval() / 20
			b.step(Tick{})
			lines := strings.Count(logged.String(), `msg="stood still"`)
			if tc.want == "" && lines > 0 || tc.want != "" && (lines != 1 || !strings.Contains(logged.String(), tc.want)) {
				t.Errorf("logged %q, want %q", logged.String(), tc.want)
			}
		})
	}
}
