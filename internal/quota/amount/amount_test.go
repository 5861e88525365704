package amount

import (
	"math"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// TestRounding reads sums of floating-point numbers: a use is never counted for less than it is,
// but for what rounding of sums adds.
func TestRounding(t *testing.T) {
	for _, tc := range []struct {
		gpus float64
		want int64
	}{{0, 0}, {1, 1000}, {0.1 + 0.2, 300}, {1e9, 1e12}, {0.0004, 1}, {2.9999999, 3000}, {2.5001, 2501}} {
		if got := OfResources(topology.Resources{GPUs: tc.gpus}); got.GPUs != tc.want {
			t.Errorf("%v GPUs are %d thousandths, want %d", tc.gpus, got.GPUs, tc.want)
		}
	}
}

// TestUnlimited keeps a resource without a limit out of all sums that matter.
func TestUnlimited(t *testing.T) {
	a := Amount{CPUs: Unlimited, GPUs: 1500}
	if cpus, gpus := a.Units(); !math.IsInf(cpus, 1) || gpus != 1.5 {
		t.Errorf("%v and %v", cpus, gpus)
	}
	if got := a.WholeUnits(); got.GPUs != 1000 {
		t.Errorf("whole %v", got)
	}
	if !a.Covers(Of(1e9, 1)) || a.Covers(Of(0, 2)) {
		t.Error("what it covers")
	}
	if left := a.Sub(Of(1e9, 0)); math.IsNaN(left.units()) || !math.IsInf(left.units(), 1) {
		t.Error("a use takes something from what is unlimited")
	}
}

func (a Amount) units() float64 {
	cpus, _ := a.Units()
	return cpus
}
