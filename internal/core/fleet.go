package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// fleet is the leader's state of scaling the fleet: provisioning requests, machine returns and what
// is known from the cloud's responses. Its fields are grouped by concern; the comment on each group
// names the files that change it.
type fleet struct {
	scaleOut
	scaleIn
	inventory
	consolidationState

	partitionedAt  map[string]time.Duration // when a zone was last found partitioned; health.go
	urgentCommands map[string]bool          // machines to send commands to before their next heartbeat; stops.go
}

// consolidationState is the state of emptying machines whose replicas fit on other machines. Only
// consolidation.go changes it.
type consolidationState struct {
	resumeConsolidationFrom string        // machine at which to resume a search that exceeded its budget
	nextConsolidationAt     time.Duration // earliest time of the next search
}

// newFleet returns the fleet state of a new leader.
func newFleet(deployment *config.Deployment, term uint64) fleet {
	return fleet{
		scaleOut: scaleOut{
			requests:        provisioning.NewQueue(term, cloudCallDuration(deployment, requestIntervalCalls)),
			availability:    provisioning.NewAvailability(),
			plannedMachines: map[string]bool{},
		},
		scaleIn:        scaleIn{pendingReturns: map[string]bool{}},
		partitionedAt:  map[string]time.Duration{},
		urgentCommands: map[string]bool{},
	}
}

// tickFleet makes the due calls to the cloud, and drains and returns machines.
func (l *leader) tickFleet() {
	l.checkFleetSize()
	l.returnPending()
	l.startListing()
	l.retryProvisioningRequests()
	l.sendProvisioningRequests()
	policy := l.scaleInPolicy()
	for _, machine := range l.MachinesByName {
		l.drainExpensiveMachine(machine)
		l.evictTasks(machine)
		l.returnUnneeded(policy, machine)
	}
}
