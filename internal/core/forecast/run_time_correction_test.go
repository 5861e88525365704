package forecast

import (
	"math"
	"testing"
	"time"
)

// TestRunTimeCorrection checks that the correction converges to the ratio of the observed runs,
// here 2, and that the ratio of an outlier is clamped to 4.
func TestRunTimeCorrection(t *testing.T) {
	var runTimes RunTimeCorrection
	if got := runTimes.Correct(10); got != 10 {
		t.Errorf("estimate before any run: got %v s, want 10 s", got)
	}
	for _, want := range []float64{15, 16.666667, 17.5} {
		runTimes.Observe(20*time.Second, 10)
		if got := runTimes.Correct(10); math.Abs(got-want) > 1e-3 {
			t.Errorf("corrected estimate: got %v s, want %v s", got, want)
		}
	}
	var outlier RunTimeCorrection
	outlier.Observe(time.Hour, 10)
	if got := outlier.Correct(10); got != 25 {
		t.Errorf("estimate corrected by an outlier: got %v s, want 25 s", got)
	}
}
