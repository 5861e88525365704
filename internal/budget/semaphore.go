package budget

import "time"

// Semaphore bounds how many calls are under way at a time, and with them the
// sockets they hold.
type Semaphore chan struct{}

// NewSemaphore makes n slots.
func NewSemaphore(n int) Semaphore { return make(Semaphore, n) }

// Acquire takes a slot; false if none becomes free in time.
func (s Semaphore) Acquire(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// Release gives a slot back.
func (s Semaphore) Release() { <-s }
