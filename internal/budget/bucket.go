// Package budget paces requests under a service's published rate.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket.
type Bucket struct {
	mu      sync.Mutex
	rate    float64
	burst   float64
	tokens  float64
	updated time.Time
}

// New makes a full bucket of rate tokens a second and the given burst.
func New(rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst}
}

// Reserve takes n tokens and returns how long the caller must wait before it may
// use them. A caller that would have to wait longer than limit gets nothing
// and pays nothing: what is never used must not hold up the others. Urgent
// takers never wait, but what they take is missing for the others.
func (b *Bucket) Reserve(count float64, urgent bool, limit time.Duration) (time.Duration, bool) {
	return b.ReserveAt(time.Now(), count, urgent, limit)
}

// ReserveAt is Take at a time of the caller's own clock.
func (b *Bucket) ReserveAt(now time.Time, count float64, urgent bool, limit time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
	if urgent {
		b.tokens = max(b.tokens-count, -b.burst)
		return 0, true
	}
	wait := max(0, time.Duration((count-b.tokens)/b.rate*float64(time.Second)))
	if wait > limit {
		return 0, false
	}
	b.tokens -= count
	return wait, true
}
