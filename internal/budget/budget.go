// Package budget paces requests under a service's published rate.
package budget

import (
	"sync"
	"time"
)

// Bucket is a token bucket.
type Bucket struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	have  float64
	last  time.Time
}

// New makes a full bucket of rate tokens a second and the given burst.
func New(rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, have: burst}
}

// Take takes n tokens and returns how long the caller must wait before it may
// use them. A caller that would have to wait longer than limit gets nothing
// and pays nothing: what is never used must not hold up the others. Urgent
// takers never wait, but what they take is missing for the others.
func (b *Bucket) Take(n float64, urgent bool, limit time.Duration) (time.Duration, bool) {
	return b.TakeAt(time.Now(), n, urgent, limit)
}

// TakeAt is Take at a time of the caller's own clock.
func (b *Bucket) TakeAt(now time.Time, n float64, urgent bool, limit time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.burst, b.have+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if urgent {
		b.have = max(b.have-n, -b.burst)
		return 0, true
	}
	wait := max(0, time.Duration((n-b.have)/b.rate*float64(time.Second)))
	if wait > limit {
		return 0, false
	}
	b.have -= n
	return wait, true
}
