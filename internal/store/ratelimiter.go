package store

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

const (
	// usedShare is the share of the store's rate limits that a controller uses. The rest is left
	// for requests that other controllers send at the same time.
	usedShare = 0.9
	// requestBurst is the burst of requests, as a multiple of the store's rate per second.
	requestBurst = 0.5
)

// RateLimiter limits the rates of a controller's calls and writes to the store.
type RateLimiter struct {
	requests *budget.Bucket
	writes   *budget.Bucket
}

// NewRateLimiter creates a limiter for the lower of the store's present and announced rates.
func NewRateLimiter(settings *config.Settings) *RateLimiter {
	limits := settings.Deployment.Store.Strictest()
	return &RateLimiter{
		requests: budget.New(usedShare*limits.RPS, requestBurst*limits.RPS),
		writes:   budget.New(usedShare*limits.WriteRPS, usedShare*limits.WriteRPS),
	}
}

// Reserve returns how long the caller must wait before it makes a call. If that is longer than
// maxWait, ok is false and the call must not be made. Urgent calls never wait.
func (l *RateLimiter) Reserve(now time.Time, call *core.Call, maxWait time.Duration) (wait time.Duration, ok bool) {
	if call.Urgent {
		l.requests.SpendAt(now, 1)
		if call.Writes > 0 {
			l.writes.SpendAt(now, float64(call.Writes))
		}
		return 0, true
	}
	wait, ok = l.requests.ReserveAt(now, 1, maxWait)
	if !ok || call.Writes == 0 {
		return wait, ok
	}
	writeWait, ok := l.writes.ReserveAt(now, float64(call.Writes), maxWait)
	return max(wait, writeWait), ok
}
