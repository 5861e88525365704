package store

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestRateLimiterKeepsToLowerLimits checks that the limiter permits no more calls in ten seconds
// than the lower of the present and the announced rates, and at least 80% of them.
func TestRateLimiterKeepsToLowerLimits(t *testing.T) {
	for _, tc := range []struct {
		name             string
		next             *config.StoreLimits
		requests, writes float64 // per second
	}{
		{"nothing announced", nil, 250, 100},
		{"fewer writes", &config.StoreLimits{WriteRPS: 40}, 250, 40},
		{"fewer requests, more writes", &config.StoreLimits{RPS: 50, WriteRPS: 400}, 50, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var settings config.Settings
			settings.Deployment.Store = config.StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16, Next: tc.next}
			for _, kind := range []struct {
				name string
				call core.Call
				rate float64
			}{
				{"requests", core.Call{}, tc.requests},
				{"writes", core.Call{Writes: 1}, min(tc.writes, tc.requests)},
			} {
				got := callsInTenSeconds(NewRateLimiter(&settings), &kind.call)
				if got > 10*kind.rate || got < 8*kind.rate {
					t.Errorf("got %.0f %s in 10 s, want 80%% to 100%% of %.0f", got, kind.name, 10*kind.rate)
				}
			}
		})
	}
}

// callsInTenSeconds attempts one call per millisecond and returns how many of them the limiter
// permits without a wait.
func callsInTenSeconds(limiter *RateLimiter, call *core.Call) float64 {
	start, count := time.UnixMilli(1e12), 0.0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		if _, ok := limiter.Reserve(start.Add(at), call, 0); ok {
			count++
		}
	}
	return count
}

// TestUrgentCallsNeverWait checks that a limiter whose rates are used up still permits urgent calls
// without a wait, and that these count against the rate of the other calls.
func TestUrgentCallsNeverWait(t *testing.T) {
	var settings config.Settings
	settings.Deployment.Store = config.StoreLimits{RPS: 2, WriteRPS: 2, ValueKB: 16, TxnOps: 16}
	limiter, now := NewRateLimiter(&settings), time.UnixMilli(1e12)
	for range 20 {
		if wait, ok := limiter.Reserve(now, &core.Call{Writes: 1, Urgent: true}, 0); !ok || wait != 0 {
			t.Fatalf("urgent call: got wait %v, ok %v, want no wait, ok", wait, ok)
		}
	}
	if _, ok := limiter.Reserve(now, &core.Call{}, time.Second); ok {
		t.Error("call after 20 urgent calls: permitted, want it rejected since the rate is used up")
	}
}
