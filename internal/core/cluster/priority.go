package cluster

import (
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// PriorityLevels is the number of priority levels.
const PriorityLevels = provisioning.PriorityLevels

// PriorityLevel maps the protocol's priorities to levels; tasks of a higher level may preempt those
// of a lower one.
var PriorityLevel = map[wire.Priority]int{
	wire.PriorityCritical: 3,
	wire.PriorityUrgent:   2,
	wire.PriorityNormal:   1,
	wire.PriorityIdle:     0,
}
