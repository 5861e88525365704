// Package bootlatency learns from the machines that come up, or do not, whether machines of a
// kind that take too long to boot may be counted on.
//
// A single late machine is replaced: others come up in time, so its replacement will.
// Where all machines of a kind are late, a replacement would be late as well, and its
// replacement too; half of the late ones are counted on then, which bounds what is rented
// for the same work to twice of it. The package does no I/O and is given the time.
package bootlatency

import "time"

// Kind names machines that are alike in how they boot.
type Kind struct{ Type, Zone string }

// LateFactor is from how many times its type's boot time on a machine is late. Boot times are
// usually 0.6 to 1.5 times the type's.
const LateFactor = 1.6

// windowBootTimes is for how many boot times of the type an observation counts.
const windowBootTimes = 8

// observations is when machines of a kind were last seen to come up.
type observations struct {
	lastOnTime, lastLate time.Duration // the last time; 0 for never
	window               time.Duration // for how long that counts
}

// History is what was seen of the machines of all kinds.
type History struct{ byKind map[Kind]*observations }

// New makes a history in which nothing was seen.
func New() *History { return &History{byKind: map[Kind]*observations{}} }

// RecordBoot notes that a machine came up after a time, where its type usually takes usual.
func (h *History) RecordBoot(kind Kind, now, took, usual time.Duration) {
	observed := h.byKind[kind]
	if observed == nil {
		observed = &observations{}
		h.byKind[kind] = observed
	}
	observed.window = windowBootTimes * usual
	if float64(took) <= LateFactor*float64(usual) {
		observed.lastOnTime = now
	} else {
		observed.lastLate = now
	}
}

// BootsOnTime tells whether machines of a kind were lately seen to come up in time and
// none was seen to come up late: one that is late is an exception, and may well never
// come up.
func (h *History) BootsOnTime(kind Kind, now time.Duration) bool {
	observed := h.byKind[kind]
	if observed == nil {
		return false
	}
	recent := func(at time.Duration) bool { return at != 0 && now-at <= observed.window }
	return recent(observed.lastOnTime) && !recent(observed.lastLate)
}

// LateCounter decides, machine by machine, which of the late ones are counted on.
type LateCounter struct {
	history *History
	now     time.Duration
	counted map[Kind]int
}

// NewLateCounter begins to count the late machines of a moment.
func (h *History) NewLateCounter(now time.Duration) *LateCounter {
	return &LateCounter{history: h, now: now, counted: map[Kind]int{}}
}

// Expect tells whether one more late machine of a kind is counted on: every second one,
// unless others of its kind come up in time.
func (c *LateCounter) Expect(kind Kind) bool {
	c.counted[kind]++
	return c.counted[kind]%2 == 0 && !c.history.BootsOnTime(kind, c.now)
}
