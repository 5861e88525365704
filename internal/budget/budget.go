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
	return &Bucket{rate: rate, burst: burst, have: burst, last: time.Now()}
}

// Take takes n tokens and returns how long the caller must wait before it may
// use them. Urgent takers never wait, but what they take is missing for the
// others.
func (b *Bucket) Take(n float64, urgent bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.have = min(b.burst, b.have+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	b.have -= n
	if b.have >= 0 || urgent {
		b.have = max(b.have, -b.burst)
		return 0
	}
	return time.Duration(-b.have / b.rate * float64(time.Second))
}
