package forecast

import (
	"testing"
	"time"
)

const now = 1000 * time.Second

func TestRecord(t *testing.T) {
	for _, tc := range []struct {
		name            string
		tasks, arrivals int
		age             time.Duration
		want            int
	}{
		{"array counts as one arrival", 10, 1, 0, 1},
		{"each task of a service counts", 10, 10, 0, 10},
		{"huge job counts up to the limit", 1000, 1000, 0, MaxCountedTasksPerJob},
		{"submission before the window", 10, 10, ArrivalWindow + time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals Arrivals
			arrivals.Record(now-tc.age, now, tc.tasks, tc.arrivals)
			if got := arrivals.Recent(now); got != tc.want || len(arrivals.times) != tc.want || arrivals.Active(now) != (tc.want > 0) {
				t.Errorf("got %d recent arrivals, active %v; want %d recent and kept, active if any", got, arrivals.Active(now), tc.want)
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
		{"probability 0.5 gives the mean", 60, 0, 0.5, 30},
		{"higher probability gives more", 60, 0, 0.95, 40},
		{"probability below the minimum", 60, 0, 0.1, 30},
		{"probability above the maximum", 60, 0, 1, 43},
		{"arrivals before the window do not count", 4, 60, 0.5, 2},
		{"at least one", 0, 60, 0.5, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var arrivals Arrivals
			for range tc.old {
				arrivals.Record(now-ArrivalWindow-time.Second, now, 1, 1)
			}
			for range tc.recent {
				arrivals.Record(now-ArrivalWindow, now, 1, 1)
			}
			if got := arrivals.Expected(now, 60, tc.probability); got != tc.want {
				t.Errorf("expected arrivals: got %d, want %d", got, tc.want)
			}
		})
	}
}

func TestAverageJobSize(t *testing.T) {
	var arrivals Arrivals
	arrivals.Record(now, now, 8, 1)
	arrivals.Record(now, now, 16, 1)
	if got := arrivals.AverageJobSize(); got != 9 {
		t.Errorf("average job size: got %v tasks, want 9", got)
	}
}
