// Package boots learns from the machines that come up, or do not, whether machines of a
// kind that take too long to boot may be counted on.
//
// A single late machine is replaced: others come up in time, so its replacement will.
// Where all machines of a kind are late, a replacement would be late as well, and its
// replacement too; half of the late ones are counted on then, which bounds what is rented
// for the same work to twice of it. The package does no I/O and is given the time.
package boots

import "time"

// Kind names machines that are alike in how they boot.
type Kind struct{ Type, Zone string }

// Late is from how many times its type's boot time on a machine is late. Boot times are
// usually 0.6 to 1.5 times the type's.
const Late = 1.6

// remembered is for how many boot times of the type an observation counts.
const remembered = 8

// history is when machines of a kind were last seen to come up.
type history struct {
	inTime, late time.Duration // the last time; 0 for never
	memory       time.Duration // for how long that counts
}

// History is what was seen of the machines of all kinds.
type History struct{ kinds map[Kind]*history }

// New makes a history in which nothing was seen.
func New() *History { return &History{kinds: map[Kind]*history{}} }

// Up notes that a machine came up after a time, where its type usually takes usual.
func (h *History) Up(k Kind, now, took, usual time.Duration) {
	s := h.kinds[k]
	if s == nil {
		s = &history{}
		h.kinds[k] = s
	}
	s.memory = remembered * usual
	if float64(took) <= Late*float64(usual) {
		s.inTime = now
	} else {
		s.late = now
	}
}

// ComeUpInTime tells whether machines of a kind were lately seen to come up in time and
// none was seen to come up late: one that is late is an exception, and may well never
// come up.
func (h *History) ComeUpInTime(k Kind, now time.Duration) bool {
	s := h.kinds[k]
	if s == nil {
		return false
	}
	lately := func(at time.Duration) bool { return at != 0 && now-at <= s.memory }
	return lately(s.inTime) && !lately(s.late)
}

// LateCount decides, machine by machine, which of the late ones are counted on.
type LateCount struct {
	history *History
	now     time.Duration
	seen    map[Kind]int
}

// CountLate begins to count the late machines of a moment.
func (h *History) CountLate(now time.Duration) *LateCount {
	return &LateCount{history: h, now: now, seen: map[Kind]int{}}
}

// CountOn tells whether one more late machine of a kind is counted on: every second one,
// unless others of its kind come up in time.
func (c *LateCount) CountOn(k Kind) bool {
	c.seen[k]++
	return c.seen[k]%2 == 0 && !c.history.ComeUpInTime(k, c.now)
}
