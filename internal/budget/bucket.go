// Package budget limits the requests to a service, by their rate and by how many are in flight at a
// time. It holds no limits of its own: the clients of the key-value store, the cloud and workers,
// the activator and the simulated services each own theirs.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket. It is safe for concurrent use.
type Bucket struct {
	rate  float64 // tokens a second
	burst float64

	mu      sync.Mutex
	tokens  float64 // negative if future tokens are reserved or spent
	updated time.Time
}

// New creates a full bucket that holds burst tokens and refills at rate tokens a second.
func New(rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst}
}

// ReserveAt takes tokens at a time of the caller's clock, and returns how long the caller must
// wait before it may use them. If that is longer than maxWait, it takes none: tokens that are
// never used must not delay other callers.
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

// SpendAt takes tokens at a time of the caller's clock, for an urgent request that does not wait.
// Other callers wait longer instead. The bucket's debt stays within one burst.
func (b *Bucket) SpendAt(now time.Time, count float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = max(b.tokens-count, -b.burst)
}

// refill adds the tokens of the time since the last call.
func (b *Bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
}
