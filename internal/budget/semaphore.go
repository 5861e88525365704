package budget

import "time"

// Semaphore limits the calls that are in flight at a time, and so the sockets that they use.
type Semaphore chan struct{}

// NewSemaphore creates a semaphore for the given number of calls.
func NewSemaphore(calls int) Semaphore { return make(Semaphore, calls) }

// Acquire waits until a call may start; it returns false if none may within maxWait.
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

// Release marks the end of a call for which Acquire returned true.
func (s Semaphore) Release() { <-s }
