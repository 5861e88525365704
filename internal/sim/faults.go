package sim

import "time"

// randomFault is a fault that affects each event with a probability, until a time.
type randomFault struct {
	probability float64
	until       time.Duration
}

// occurs reports, at random, whether the fault affects an event that happens now. It draws a
// random number only while the fault lasts.
func (f randomFault) occurs(world *World) bool {
	return world.now < f.until && world.rng.Float64() < f.probability
}

// interval is the time from one moment until another.
type interval struct{ from, until time.Duration }

// unavailableTime returns for how long so far no user could be served because the key-value
// store was down or all controllers were paused.
func (w *World) unavailableTime() time.Duration {
	sum := w.store.downtime
	for _, pause := range w.pauses {
		sum += min(w.now, pause.until) - pause.from
	}
	return sum
}
