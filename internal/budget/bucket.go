// Package budget limits the requests to a service, by a rate and by how many are under way at a
// time. It knows no service: the clients of the key-value store, the cloud and workers, the
// activator and the simulation's stand-ins each own their limits.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket. It may be used by several goroutines.
type Bucket struct {
	rate  float64 // tokens a second
	burst float64

	mu      sync.Mutex
	tokens  float64 // negative if some were reserved in advance
	updated time.Time
}

// New makes a full bucket of rate tokens a second and the given burst.
func New(rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst}
}

// ReserveAt takes tokens at a time of the caller's clock, and returns how long the caller must
// wait before it may use them. A caller that would have to wait longer than maxWait gets
// none and pays nothing: what is never used must not delay the others.
func (b *Bucket) ReserveAt(now time.Time, count float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	wait = max(0, time.Duration((count-b.tokens)/b.rate*float64(time.Second)))
	if wait > maxWait {
		return 0, false
	}
	b.tokens -= count
	return wait, true
}

// SpendAt takes tokens at a time of the caller's clock, for an urgent use without waiting: what
// it takes is missing for the others.
func (b *Bucket) SpendAt(now time.Time, count float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = max(b.tokens-count, -b.burst)
}

// refill adds the tokens that came since the last call.
func (b *Bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
}
