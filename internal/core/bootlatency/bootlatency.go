// Package bootlatency learns from the machines that boot, or do not, whether machines that take too
// long to boot are to be expected nevertheless.
//
// A single late machine is replaced: others boot in time, so its replacement will. Where all
// machines of a kind are late, a replacement would be late as well, and its replacement too; half
// of the late ones are expected then, which bounds what is provisioned for the same work to twice
// of it. The package owns this history only, does no I/O and is given the time. The leader of
// package core records boots, and asks when it plans provisioning.
package bootlatency

import "time"

// Kind names machines whose boot times are alike.
type Kind struct{ Type, Zone string }

// LateFactor times its type's boot time is when a booting machine becomes late. Boot times are
// usually 0.6 to 1.5 times the type's.
const LateFactor = 1.6

// windowBootTimes is how long an observation counts, in boot times of the type.
const windowBootTimes = 8

// observations is when machines of a kind last booted.
type observations struct {
	lastOnTime, lastLate time.Duration // 0 for never
	window               time.Duration // for how long they count
}

// History is what was observed of the machines of all kinds.
type History struct{ byKind map[Kind]*observations }

// New makes a history without observations.
func New() *History { return &History{byKind: map[Kind]*observations{}} }

// RecordBoot records that a machine has booted now, and how long it and its type's machines usually
// take.
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

// BootsOnTime reports whether machines of a kind were lately observed to boot in time and none to
// boot late: one that is late is an exception, and may well never boot.
func (h *History) BootsOnTime(kind Kind, now time.Duration) bool {
	observed := h.byKind[kind]
	if observed == nil {
		return false
	}
	recent := func(at time.Duration) bool { return at != 0 && now-at <= observed.window }
	return recent(observed.lastOnTime) && !recent(observed.lastLate)
}

// LateCounter decides, machine by machine, which of the late ones are expected.
type LateCounter struct {
	history *History
	now     time.Duration
	counted map[Kind]int
}

// NewLateCounter begins to count the late machines of a moment.
func (h *History) NewLateCounter(now time.Duration) *LateCounter {
	return &LateCounter{history: h, now: now, counted: map[Kind]int{}}
}

// Expect counts one more late machine of a kind and reports whether it is expected to boot: every
// second one is, unless others of its kind boot in time.
func (c *LateCounter) Expect(kind Kind) bool {
	c.counted[kind]++
	return c.counted[kind]%2 == 0 && !c.history.BootsOnTime(kind, c.now)
}
