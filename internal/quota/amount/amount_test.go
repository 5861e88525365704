package amount

import (
	"fmt"
	"math"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// TestRounding checks that usage is rounded up to thousandths, apart from floating-point errors of
// sums.
func TestRounding(t *testing.T) {
	for _, tc := range []struct {
		gpus float64
		want int64
	}{{0, 0}, {1, 1000}, {0.1 + 0.2, 300}, {1e9, 1e12}, {0.0004, 1}, {2.9999999, 3000}, {2.5001, 2501}} {
		t.Run(fmt.Sprint(tc.gpus), func(t *testing.T) {
			if got := OfResources(topology.Resources{GPUs: tc.gpus}); got.GPUs != tc.want {
				t.Errorf("OfResources: got %d thousandths, want %d", got.GPUs, tc.want)
			}
		})
	}
}

// TestUnlimited checks that a resource without a limit remains unlimited, and leaves the limit of
// the other resource unchanged.
func TestUnlimited(t *testing.T) {
	a := Amount{CPUs: Unlimited, GPUs: 1500}
	if cpus, gpus := a.Units(); !math.IsInf(cpus, 1) || gpus != 1.5 {
		t.Errorf("Units: got %v CPUs and %v GPUs, want +Inf CPUs and 1.5 GPUs", cpus, gpus)
	}
	if got := a.WholeUnits(); got.GPUs != 1000 {
		t.Errorf("WholeUnits: got %v, want 1 GPU", got)
	}
	if !a.Covers(Of(1e9, 1)) || a.Covers(Of(0, 2)) {
		t.Error("Covers: an unlimited resource must cover any amount of that resource, and only of that one")
	}
	if left, _ := a.Sub(Of(1e9, 0)).Units(); !math.IsInf(left, 1) {
		t.Errorf("got %v CPUs after subtracting usage from an unlimited amount, want +Inf", left)
	}
}
