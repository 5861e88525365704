package bootlatency

import (
	"testing"
	"time"
)

var kind = Kind{"small", "east"}

// expectedOf is how many of a number of late machines are expected to boot.
func expectedOf(history *History, now time.Duration, late int) int {
	counter, expected := history.NewLateCounter(now), 0
	for range late {
		if counter.Expect(kind) {
			expected++
		}
	}
	return expected
}

// TestExpect expects late machines to boot by how long others took.
func TestExpect(t *testing.T) {
	const usual = 20 * time.Second
	for _, test := range []struct {
		name string
		took []time.Duration // by machines that booted, one after the other
		at   time.Duration   // when ten are late
		want int
	}{
		{"none booted", nil, time.Minute, 5},
		{"others on time", []time.Duration{usual}, time.Minute, 0},
		{"others late", []time.Duration{3 * usual}, time.Minute, 5},
		{"some on time, some late", []time.Duration{usual, 3 * usual}, time.Minute, 5},
		{"on time, long ago", []time.Duration{usual}, 10 * time.Minute, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := New()
			for _, took := range test.took {
				h.RecordBoot(kind, 30*time.Second, took, usual)
			}
			h.RecordBoot(Kind{"small", "west"}, 30*time.Second, usual, usual) // in another zone, which says nothing of this one
			if got := expectedOf(h, test.at, 10); got != test.want {
				t.Errorf("%d of 10 late machines are expected, want %d", got, test.want)
			}
		})
	}
}
