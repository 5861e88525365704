package store

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestRateLimiterKeepsToLowerLimits reserves as many calls as the limiter lets through in ten
// seconds: no more than the lower of the present and the announced rates.
func TestRateLimiterKeepsToLowerLimits(t *testing.T) {
	for _, tc := range []struct {
		name         string
		next         *config.StoreLimits
		reqs, writes float64 // a second
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
				{"requests", core.Call{}, tc.reqs},
				{"changes", core.Call{Writes: 1}, min(tc.writes, tc.reqs)},
			} {
				got := callsInTenSeconds(NewRateLimiter(&settings), &kind.call)
				if got > 10*kind.rate || got < 8*kind.rate {
					t.Errorf("%.0f %s in 10 s, want somewhat less than %.0f", got, kind.name, 10*kind.rate)
				}
			}
		})
	}
}

// callsInTenSeconds counts the calls that a limiter lets through without a wait, of one a
// millisecond.
func callsInTenSeconds(limiter *RateLimiter, call *core.Call) float64 {
	start, count := time.UnixMilli(1e12), 0.0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		if _, ok := limiter.Reserve(start.Add(at), call, 0); ok {
			count++
		}
	}
	return count
}

// TestUrgentCallsNeverWait checks that a limiter whose rates are used up lets urgent calls through.
func TestUrgentCallsNeverWait(t *testing.T) {
	var settings config.Settings
	settings.Deployment.Store = config.StoreLimits{RPS: 2, WriteRPS: 2, ValueKB: 16, TxnOps: 16}
	limiter, now := NewRateLimiter(&settings), time.UnixMilli(1e12)
	for range 20 {
		if wait, ok := limiter.Reserve(now, &core.Call{Writes: 1, Urgent: true}, 0); !ok || wait != 0 {
			t.Fatalf("an urgent call waits %v, ok %v", wait, ok)
		}
	}
	if _, ok := limiter.Reserve(now, &core.Call{}, time.Second); ok {
		t.Error("urgent calls are not missing for the others")
	}
}
