package teamlimit

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// TestReservationsAbovePriority checks which reservations count for a job of a priority level.
// Without reservations, capacity that preemption had freed within a team's limit was taken in the
// next pass by other work of the team.
func TestReservationsAbovePriority(t *testing.T) {
	reservations := Reservations{"vision": {
		{Priority: 3, Amount: topology.Resources{GPUs: 4}},
		{Priority: 1, Amount: topology.Resources{GPUs: 2}},
	}}
	for level, want := range []float64{6, 4, 4, 0} {
		if got := reservations.AbovePriority("vision", level); got.GPUs != want {
			t.Errorf("got %v GPUs reserved above level %d, want %v", got.GPUs, level, want)
		}
	}
}
