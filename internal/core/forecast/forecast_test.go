package forecast

import (
	"math"
	"testing"
	"time"
)

const now = 1000 * time.Second

func TestRecord(t *testing.T) {
	for _, tc := range []struct {
		name          string
		tasks, begins int
		age           time.Duration
		want          int
	}{
		{"an array is one", 10, 1, 0, 1},
		{"a service's tasks", 10, 10, 0, 10},
		{"a huge job is bounded", 1000, 1000, 0, MaxTasksPerJob},
		{"an old record is out of the window", 10, 10, Window + time.Second, 0},
	} {
		var a Arrivals
		a.Record(now-tc.age, now, tc.tasks, tc.begins)
		if got := a.Recent(now); got != tc.want || len(a.times) != tc.want || a.Active(now) != (tc.want > 0) {
			t.Errorf("%s: %d arrivals, coming %v; want %d", tc.name, got, a.Active(now), tc.want)
		}
	}
}

func TestExpected(t *testing.T) {
	for _, tc := range []struct {
		name        string
		recent, old int
		probability float64
		want        int
	}{
		{"evens", 60, 0, 0.5, 30},
		{"a higher probability needs more", 60, 0, 0.95, 40},
		{"below the least", 60, 0, 0.1, 30},
		{"certainty is bounded", 60, 0, 1, 43},
		{"old arrivals do not count", 4, 60, 0.5, 2},
		{"at least one", 0, 60, 0.5, 1},
	} {
		var a Arrivals
		for range tc.old {
			a.Record(now-Window-time.Second, now, 1, 1)
		}
		for range tc.recent {
			a.Record(now-Window, now, 1, 1)
		}
		if got := a.Expected(now, 60, tc.probability); got != tc.want {
			t.Errorf("%s: %d tasks, want %d", tc.name, got, tc.want)
		}
	}
}

func TestJobSize(t *testing.T) {
	var a Arrivals
	a.Record(now, now, 8, 1)
	a.Record(now, now, 16, 1)
	if got := a.JobSize(); got != 9 {
		t.Errorf("%v tasks, want 9", got)
	}
}

// Runs of twice the estimate teach that, ever more surely; one that is far off counts
// no more than four times the estimate.
func TestRunTimes(t *testing.T) {
	var r RunTimes
	if got := r.Correct(10); got != 10 {
		t.Errorf("%v s before any run, want 10", got)
	}
	for _, want := range []float64{15, 16.666667, 17.5} {
		r.Observe(20*time.Second, 10)
		if got := r.Correct(10); math.Abs(got-want) > 1e-3 {
			t.Errorf("%v s, want %v", got, want)
		}
	}
	var far RunTimes
	far.Observe(time.Hour, 10)
	if got := far.Correct(10); got != 25 {
		t.Errorf("%v s, want 25", got)
	}
}
