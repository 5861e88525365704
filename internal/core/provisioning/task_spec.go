package provisioning

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// PriorityLevels is the number of priority levels.
const PriorityLevels = 4

// MaxTasksPerMachine limits how many tasks are taken to fit on a machine when its price per task is
// computed.
const MaxTasksPerMachine = 1 << 20

// TaskSpec describes what a task requires of a machine. A plan treats tasks with equal specs alike.
type TaskSpec struct {
	Resources     topology.Resources
	MachineTypes  string // the allowed types, separated by commas; empty for all
	Zone          string // the only allowed zone; empty for all
	AllowSpot     bool
	PriorityLevel int // less than PriorityLevels
	// Forecast is set for a task that has not been submitted yet. It may use the capacity of tasks
	// of lower priority levels, since it would preempt them.
	Forecast bool
}

// Accepts reports whether a task may run on machines of an offer, regardless of their capacity.
func (s *TaskSpec) Accepts(offer Offer) bool {
	return (s.Zone == "" || s.Zone == offer.Zone) &&
		(s.AllowSpot || !offer.Spot) &&
		(s.MachineTypes == "" || slices.Contains(strings.Split(s.MachineTypes, ","), offer.Type))
}
