// Package bootlatency records how long machines take to boot and decides from that whether a late
// machine is still expected to boot or has to be replaced.
//
// Where other machines of the same kind boot on time, a late machine is replaced: its replacement
// will boot on time too. Where all machines of a kind are late, replacements would be late as well
// and would be replaced in turn. Half of the late machines are then expected to boot, which limits
// the machines provisioned for the same work to twice the number needed. The package owns this
// history only, does no I/O and takes the time from its caller. The leader of package core records
// boots and queries the history when it plans provisioning.
package bootlatency

import "time"

// Kind identifies the machines whose boot times are recorded together.
type Kind struct{ Type, Zone string }

// LateFactor is the multiple of its type's boot time after which a booting machine is late. Boot
// times are usually 0.6 to 1.5 times that of the type.
const LateFactor = 1.6

// windowFactor is how long a recorded boot counts, as a multiple of the type's boot time.
const windowFactor = 8

// recentBoots records when machines of one kind last booted on time and late.
type recentBoots struct {
	lastOnTime, lastLate time.Duration // 0 if never
	window               time.Duration // for how long both count
}

// History records the recent boots of machines of all kinds.
type History struct{ byKind map[Kind]*recentBoots }

// New returns an empty history.
func New() *History { return &History{byKind: map[Kind]*recentBoots{}} }

// RecordBoot records that a machine has booted now after bootTime. typicalBootTime is the boot time
// of its type.
func (h *History) RecordBoot(kind Kind, now, bootTime, typicalBootTime time.Duration) {
	boots := h.byKind[kind]
	if boots == nil {
		boots = &recentBoots{}
		h.byKind[kind] = boots
	}
	boots.window = windowFactor * typicalBootTime
	if float64(bootTime) <= LateFactor*float64(typicalBootTime) {
		boots.lastOnTime = now
	} else {
		boots.lastLate = now
	}
}

// BootsOnTime reports whether machines of a kind have recently booted on time and none late. A late
// machine is then an exception and may never boot.
func (h *History) BootsOnTime(kind Kind, now time.Duration) bool {
	boots := h.byKind[kind]
	if boots == nil {
		return false
	}
	recent := func(at time.Duration) bool { return at != 0 && now-at <= boots.window }
	return recent(boots.lastOnTime) && !recent(boots.lastLate)
}

// LateCounter decides for each late machine in turn whether it is expected to boot.
type LateCounter struct {
	history *History
	now     time.Duration
	counted map[Kind]int // late machines so far
}

// NewLateCounter returns a counter for the machines that are late at the time now.
func (h *History) NewLateCounter(now time.Duration) *LateCounter {
	return &LateCounter{history: h, now: now, counted: map[Kind]int{}}
}

// Expect counts one more late machine of a kind and reports whether it is expected to boot: every
// second one is, unless other machines of the kind boot on time.
func (c *LateCounter) Expect(kind Kind) bool {
	c.counted[kind]++
	return c.counted[kind]%2 == 0 && !c.history.BootsOnTime(kind, c.now)
}
