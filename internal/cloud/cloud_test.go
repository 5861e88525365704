package cloud

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestRateLimiter uses up the burst: a further call is refused if it had to wait longer than half
// of its timeout, and an urgent one never waits.
func TestRateLimiter(t *testing.T) {
	var settings config.Settings
	settings.Deployment.Cloud.RPS = 10
	limiter, now := NewRateLimiter(&settings), time.Unix(1e9, 0)
	for i := range 10 {
		if wait, ok := limiter.Reserve(now, &core.Call{Timeout: time.Second}); !ok || wait != 0 {
			t.Fatalf("call %d of the burst: wait %v, ok %v", i, wait, ok)
		}
	}
	// The next token comes after 125 ms.
	if _, ok := limiter.Reserve(now, &core.Call{Timeout: 240 * time.Millisecond}); ok {
		t.Error("a call is to wait for more than half of its timeout")
	}
	if wait, ok := limiter.Reserve(now, &core.Call{Timeout: 260 * time.Millisecond}); !ok || wait.Round(time.Millisecond) != 125*time.Millisecond {
		t.Errorf("a call behind the burst: wait %v, ok %v", wait, ok)
	}
	if wait, ok := limiter.Reserve(now, &core.Call{Urgent: true}); !ok || wait != 0 {
		t.Errorf("an urgent call: wait %v, ok %v", wait, ok)
	}
}
