package cluster

import (
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// PriorityLevels is the number of priority levels.
const PriorityLevels = provisioning.PriorityLevels

// PriorityLevel maps the priorities of the protocol to levels; a higher one may preempt a
// lower one.
var PriorityLevel = map[wire.Priority]int{
	wire.PriorityCritical: 3,
	wire.PriorityUrgent:   2,
	wire.PriorityNormal:   1,
	wire.PriorityIdle:     0,
}
