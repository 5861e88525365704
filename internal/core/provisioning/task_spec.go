package provisioning

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// PriorityLevels is the number of priority levels.
const PriorityLevels = 4

// MaxTasksPerMachine bounds how many tasks a machine's price is divided by.
const MaxTasksPerMachine = 1 << 20

// TaskSpec is what one task requires of a machine. Tasks with equal specs are interchangeable to a
// plan.
type TaskSpec struct {
	Resources     topology.Resources
	MachineTypes  string // the allowed types, separated by commas; empty for all
	Zone          string // the only allowed zone; empty for all
	AllowSpot     bool
	PriorityLevel int // less than PriorityLevels
	// Forecast is set for a task that has not been submitted yet. It may count on capacity that
	// tasks of lower priority levels hold, since it would preempt them.
	Forecast bool
}

// Accepts reports whether a task may run on machines of an offer, if they have free capacity.
func (s *TaskSpec) Accepts(offer Offer) bool {
	return (s.Zone == "" || s.Zone == offer.Zone) &&
		(s.AllowSpot || !offer.Spot) &&
		(s.MachineTypes == "" || slices.Contains(strings.Split(s.MachineTypes, ","), offer.Type))
}
