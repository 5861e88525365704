package bootlatency

import (
	"testing"
	"time"
)

var kind = Kind{"small", "east"}

// countExpected returns how many of a number of late machines are expected to boot.
func countExpected(history *History, now time.Duration, late int) int {
	counter, expected := history.NewLateCounter(now), 0
	for range late {
		if counter.Expect(kind) {
			expected++
		}
	}
	return expected
}

// TestExpect checks that half of the late machines are expected to boot, and none of them if other
// machines of the kind have recently booted on time and none late.
func TestExpect(t *testing.T) {
	const usual = 20 * time.Second
	for _, test := range []struct {
		name string
		took []time.Duration // boot times of other machines, in the order recorded
		at   time.Duration   // when ten machines are late
		want int
	}{
		{"no machine booted", nil, time.Minute, 5},
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
			h.RecordBoot(Kind{"small", "west"}, 30*time.Second, usual, usual) // another zone does not count
			if got := countExpected(h, test.at, 10); got != test.want {
				t.Errorf("late machines expected to boot: got %d of 10, want %d", got, test.want)
			}
		})
	}
}
