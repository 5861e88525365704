package forecast

import (
	"testing"
	"time"
)

const now = 1000 * time.Second

func TestRecord(t *testing.T) {
	for _, tc := range []struct {
		name          string
		tasks, starts int
		age           time.Duration
		want          int
	}{
		{"an array is one arrival", 10, 1, 0, 1},
		{"a service's tasks", 10, 10, 0, 10},
		{"a huge job is bounded", 1000, 1000, 0, MaxTasksPerJob},
		{"an old submission is out of the window", 10, 10, Window + time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals Arrivals
			arrivals.Record(now-tc.age, now, tc.tasks, tc.starts)
			if got := arrivals.Recent(now); got != tc.want || len(arrivals.times) != tc.want || arrivals.Active(now) != (tc.want > 0) {
				t.Errorf("%d arrivals, active %v; want %d", got, arrivals.Active(now), tc.want)
			}
		})
	}
}

func TestExpected(t *testing.T) {
	for _, tc := range []struct {
		name        string
		recent, old int
		probability float64
		want        int
	}{
		{"an even chance", 60, 0, 0.5, 30},
		{"a higher probability needs more", 60, 0, 0.95, 40},
		{"below the lowest probability", 60, 0, 0.1, 30},
		{"above the highest probability", 60, 0, 1, 43},
		{"old arrivals do not count", 4, 60, 0.5, 2},
		{"at least one", 0, 60, 0.5, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals Arrivals
			for range tc.old {
				arrivals.Record(now-Window-time.Second, now, 1, 1)
			}
			for range tc.recent {
				arrivals.Record(now-Window, now, 1, 1)
			}
			if got := arrivals.Expected(now, 60, tc.probability); got != tc.want {
				t.Errorf("%d tasks, want %d", got, tc.want)
			}
		})
	}
}

func TestJobSize(t *testing.T) {
	var arrivals Arrivals
	arrivals.Record(now, now, 8, 1)
	arrivals.Record(now, now, 16, 1)
	if got := arrivals.JobSize(); got != 9 {
		t.Errorf("%v tasks, want 9", got)
	}
}
