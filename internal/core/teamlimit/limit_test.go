package teamlimit

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// What was freed within a limit went to other work of the team in the next pass.
func TestReservationsAbovePriority(t *testing.T) {
	reservations := Reservations{"vision": {
		{Priority: 3, Amount: topology.Resources{GPUs: 4}},
		{Priority: 1, Amount: topology.Resources{GPUs: 2}},
	}}
	for level, want := range []float64{6, 4, 4, 0} {
		if got := reservations.AbovePriority("vision", level); got.GPUs != want {
			t.Errorf("%v GPUs are reserved above level %d, want %v", got.GPUs, level, want)
		}
	}
}
