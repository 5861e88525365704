package store

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestRateLimiterKeepsToLowerLimits sends as much as the pace lets through in ten seconds:
// no more than the smaller of the rates that hold now and later.
func TestRateLimiterKeepsToLowerLimits(t *testing.T) {
	for _, tc := range []struct {
		next         *config.StoreLimits
		reqs, writes float64 // a second
	}{
		{nil, 250, 100},
		{&config.StoreLimits{WriteRPS: 40}, 250, 40},
		{&config.StoreLimits{RPS: 50, WriteRPS: 400}, 50, 100},
	} {
		var settings config.Settings
		settings.Deployment.Store = config.StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16, Next: tc.next}
		count := func(call core.Call) float64 {
			limiter, start, n := NewRateLimiter(&settings), time.UnixMilli(1e12), 0.0
			for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
				if _, ok := limiter.Reserve(start.Add(at), &call, 0); ok {
					n++
				}
			}
			return n
		}
		if n := count(core.Call{}); n > 10*tc.reqs || n < 8*tc.reqs {
			t.Errorf("%+v: %.0f requests in 10 s, want somewhat less than %.0f", tc.next, n, 10*tc.reqs)
		}
		if n := count(core.Call{Writes: 1}); n > 10*min(tc.writes, tc.reqs) || n < 8*min(tc.writes, tc.reqs) {
			t.Errorf("%+v: %.0f changes in 10 s, want somewhat less than %.0f", tc.next, n, 10*tc.writes)
		}
	}
}
