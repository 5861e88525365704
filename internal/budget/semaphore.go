package budget

import "time"

// Semaphore bounds how many calls are under way at a time, and with them the
// sockets they hold.
type Semaphore chan struct{}

// NewSemaphore makes a semaphore for that many calls.
func NewSemaphore(calls int) Semaphore { return make(Semaphore, calls) }

// Acquire waits until a call may begin; false if none may within maxWait.
func (s Semaphore) Acquire(maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// Release ends a call for which Acquire returned true.
func (s Semaphore) Release() { <-s }
