package bootlatency

import (
	"testing"
	"time"
)

var kind = Kind{"small", "east"}

// expectedOf is how many of n late machines are counted on.
func expectedOf(h *History, now time.Duration, n int) int {
	c, on := h.NewLateCounter(now), 0
	for range n {
		if c.Expect(kind) {
			on++
		}
	}
	return on
}

// TestExpect counts on late machines by what became of others.
func TestExpect(t *testing.T) {
	const usual = 20 * time.Second
	for _, test := range []struct {
		name string
		took []time.Duration // of machines that came up, one after the other
		at   time.Duration   // when ten are late
		want int
	}{
		{"none came up", nil, time.Minute, 5},
		{"others in time", []time.Duration{usual}, time.Minute, 0},
		{"others late", []time.Duration{3 * usual}, time.Minute, 5},
		{"some in time, some late", []time.Duration{usual, 3 * usual}, time.Minute, 5},
		{"in time, long ago", []time.Duration{usual}, 10 * time.Minute, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := New()
			for _, took := range test.took {
				h.RecordBoot(kind, 30*time.Second, took, usual)
			}
			h.RecordBoot(Kind{"small", "west"}, 30*time.Second, usual, usual) // speaks for no other zone
			if got := expectedOf(h, test.at, 10); got != test.want {
				t.Errorf("%d of 10 late machines are counted on, want %d", got, test.want)
			}
		})
	}
}
