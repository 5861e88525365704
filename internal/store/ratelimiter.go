package store

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

const (
	// usedShare is the part of the store's rates that a controller uses. The rest is for what
	// other controllers send at the same time.
	usedShare = 0.9
	// requestBurst is the burst of requests, as a multiple of their rate.
	requestBurst = 0.5
)

// RateLimiter keeps a controller's calls under the store's rates.
type RateLimiter struct {
	requests *budget.Bucket
	writes   *budget.Bucket
}

// NewRateLimiter makes a limiter for the lower of the store's present and announced rates.
func NewRateLimiter(settings *config.Settings) *RateLimiter {
	limits := settings.Deployment.Store.Strictest()
	return &RateLimiter{
		requests: budget.New(usedShare*limits.RPS, requestBurst*limits.RPS),
		writes:   budget.New(usedShare*limits.WriteRPS, usedShare*limits.WriteRPS),
	}
}

// Reserve returns how long a call has to wait. It is not to be made if that is longer than
// maxWait; urgent calls never wait.
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
