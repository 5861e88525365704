package budget

import "time"

// Slots bounds how many calls are under way at a time, and with them the
// sockets they hold.
type Slots chan struct{}

// NewSlots makes n slots.
func NewSlots(n int) Slots { return make(Slots, n) }

// Take takes a slot; false if none becomes free in time.
func (s Slots) Take(limit time.Duration) bool {
	wait := time.NewTimer(limit)
	defer wait.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-wait.C:
		return false
	}
}

// Free gives a slot back.
func (s Slots) Free() { <-s }
