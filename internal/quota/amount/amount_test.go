package amount

import (
	"fmt"
	"math"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// TestRounding converts floating-point numbers: a use is never counted for less than it is, apart
// from the rounding errors of sums.
func TestRounding(t *testing.T) {
	for _, tc := range []struct {
		gpus float64
		want int64
	}{{0, 0}, {1, 1000}, {0.1 + 0.2, 300}, {1e9, 1e12}, {0.0004, 1}, {2.9999999, 3000}, {2.5001, 2501}} {
		t.Run(fmt.Sprint(tc.gpus), func(t *testing.T) {
			if got := OfResources(topology.Resources{GPUs: tc.gpus}); got.GPUs != tc.want {
				t.Errorf("%d thousandths, want %d", got.GPUs, tc.want)
			}
		})
	}
}

// TestUnlimited keeps a resource without a limit apart from the other one.
func TestUnlimited(t *testing.T) {
	a := Amount{CPUs: Unlimited, GPUs: 1500}
	if cpus, gpus := a.Units(); !math.IsInf(cpus, 1) || gpus != 1.5 {
		t.Errorf("%v CPUs and %v GPUs", cpus, gpus)
	}
	if got := a.WholeUnits(); got.GPUs != 1000 {
		t.Errorf("whole units: %v", got)
	}
	if !a.Covers(Of(1e9, 1)) || a.Covers(Of(0, 2)) {
		t.Error("an unlimited amount has to cover any other, in its resource only")
	}
	if left, _ := a.Sub(Of(1e9, 0)).Units(); !math.IsInf(left, 1) {
		t.Errorf("after a use %v CPUs are left of an unlimited amount", left)
	}
}
