package forecast

import (
	"math"
	"testing"
	"time"
)

// TestRunTimes observes runs of twice the estimate, to which the correction converges, and one
// that is far off, which counts as four times the estimate.
func TestRunTimes(t *testing.T) {
	var runTimes RunTimes
	if got := runTimes.Correct(10); got != 10 {
		t.Errorf("%v s before any run, want 10", got)
	}
	for _, want := range []float64{15, 16.666667, 17.5} {
		runTimes.Observe(20*time.Second, 10)
		if got := runTimes.Correct(10); math.Abs(got-want) > 1e-3 {
			t.Errorf("%v s, want %v", got, want)
		}
	}
	var far RunTimes
	far.Observe(time.Hour, 10)
	if got := far.Correct(10); got != 25 {
		t.Errorf("%v s, want 25", got)
	}
}
