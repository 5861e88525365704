package sim

import (
	"strings"
	"time"
)

// Names of endpoints, and patterns that match several of them. Scenario files use them too.
const (
	storeEndpoint      = "state"
	cloudEndpoint      = "cloud"
	userEndpoint       = "user"
	controllersPattern = "nodes"
	workersPattern     = "workers"
	zonePattern        = "zone:" // followed by the zone's name

	controllerPrefix = "node-" // of controllers' names
	machinePrefix    = "n-"    // of machines' names
)

// partition blocks messages in one direction between two sets of endpoints.
type partition struct {
	from, to string // patterns, see World.matches
	until    time.Duration
	// holdsMessages delays messages until the end of the partition instead of dropping them.
	holdsMessages bool
}

// partition blocks messages from one set of endpoints to another for a duration.
func (w *World) partition(from, to string, duration time.Duration, holdsMessages bool) {
	w.partitions = append(w.partitions, &partition{from, to, w.now + duration, holdsMessages})
}

// partitionBothWays blocks messages between two sets of endpoints for a duration.
func (w *World) partitionBothWays(a, b string, duration time.Duration, holdsMessages bool) {
	w.partition(a, b, duration, holdsMessages)
	w.partition(b, a, duration, holdsMessages)
}

// matches reports whether a pattern matches an endpoint: the pattern is the endpoint's name, a
// kind of endpoints, or "zone:" with the endpoint's zone.
func (w *World) matches(pattern, name string) bool {
	if pattern == name {
		return true
	}
	switch pattern {
	case controllersPattern:
		return strings.HasPrefix(name, controllerPrefix)
	case workersPattern:
		return strings.HasPrefix(name, machinePrefix)
	}
	zone, isZone := strings.CutPrefix(pattern, zonePattern)
	return isZone && w.zoneOf(name) == zone
}

// zoneOf returns the zone of a controller or a machine; empty for other endpoints.
func (w *World) zoneOf(name string) string {
	zones := w.settings.Deployment.Zones
	for _, c := range w.controllers {
		if c.name == name {
			return zones[c.index%len(zones)]
		}
	}
	if m := w.cloud.machines[name]; m != nil {
		return m.zone
	}
	return ""
}

// Bounds of the delay of a message.
const (
	minMessageDelay   = time.Millisecond
	messageDelayRange = 4 * time.Millisecond
)

// deliver sends a message: it schedules receive after a random delay. A partition drops the
// message, or delays it until its end.
func (w *World) deliver(from, to string, receive func()) {
	delay := minMessageDelay + time.Duration(w.rng.Int64N(int64(messageDelayRange)))
	for _, p := range w.partitions {
		if p.until <= w.now || !w.matches(p.from, from) || !w.matches(p.to, to) {
			continue
		}
		if !p.holdsMessages {
			return
		}
		delay = max(delay, p.until-w.now+time.Millisecond)
	}
	w.after(delay, receive)
}
