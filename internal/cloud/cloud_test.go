package cloud

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestRateLimiter uses up the burst: a further call is rejected if it would have to wait longer
// than half of its timeout, and an urgent one never waits.
func TestRateLimiter(t *testing.T) {
	var settings config.Settings
	settings.Deployment.Cloud.RPS = 10
	limiter, now := NewRateLimiter(&settings), time.Unix(1e9, 0)
	for i := range 10 {
		if wait, ok := limiter.Reserve(now, &core.Call{Timeout: time.Second}); !ok || wait != 0 {
			t.Fatalf("call %d of the burst: got wait %v, ok %v, want no wait, ok", i, wait, ok)
		}
	}
	// The next token is available after 125 ms: 8 tokens per second, 80% of the rate.
	if _, ok := limiter.Reserve(now, &core.Call{Timeout: 240 * time.Millisecond}); ok {
		t.Error("call with a timeout of 240 ms: permitted, want it rejected, since it would wait longer than 120 ms")
	}
	if wait, ok := limiter.Reserve(now, &core.Call{Timeout: 260 * time.Millisecond}); !ok || wait.Round(time.Millisecond) != 125*time.Millisecond {
		t.Errorf("call with a timeout of 260 ms: got wait %v, ok %v, want a wait of 125 ms, ok", wait, ok)
	}
	if wait, ok := limiter.Reserve(now, &core.Call{Urgent: true}); !ok || wait != 0 {
		t.Errorf("urgent call: got wait %v, ok %v, want no wait, ok", wait, ok)
	}
}
