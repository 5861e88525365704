package teamlimit

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// What was freed within a limit went to the team's other work in the next pass.
func TestReservationsAbovePriority(t *testing.T) {
	kept := Reservations{"vision": {
		{Priority: 3, Amount: topology.Resources{GPUs: 4}},
		{Priority: 1, Amount: topology.Resources{GPUs: 2}},
	}}
	for rank, want := range []float64{6, 4, 4, 0} {
		if got := kept.AbovePriority("vision", rank); got.GPUs != want {
			t.Errorf("%v GPUs are kept from rank %d, want %v", got.GPUs, rank, want)
		}
	}
}
