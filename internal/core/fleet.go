package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// fleet is the leader's state of provisioning: what it requests from the cloud and returns to it,
// and what it knows of the cloud's answers. Its parts are grouped by concern; each names the file
// that changes it.
type fleet struct {
	scaleOut
	scaleIn
	inventory
	consolidationState

	partitionedAt  map[string]time.Duration // when a zone was last seen partitioned; health.go
	urgentCommands map[string]bool          // machines to send commands to at once; stops.go
}

// consolidationState is the state of emptying machines whose replicas fit on others, see
// consolidation.go.
type consolidationState struct {
	consolidateFrom     string        // the machine to begin with, if the last search was cut short
	nextConsolidationAt time.Duration // no machine is consolidated before
}

// newFleet makes the state of a new leader for its term.
func newFleet(deployment *config.Deployment, term uint64) fleet {
	return fleet{
		scaleOut: scaleOut{
			requests:     provisioning.NewQueue(term, cloudCalls(deployment, scaleOutIntervalCalls)),
			availability: provisioning.NewAvailability(),
			keptIdle:     map[string]bool{},
		},
		scaleIn:        scaleIn{pendingReturns: map[string]bool{}},
		partitionedAt:  map[string]time.Duration{},
		urgentCommands: map[string]bool{},
	}
}

// tickFleet makes the calls to the cloud that are due, and drains and returns machines.
func (l *leader) tickFleet() {
	l.checkFleetSize()
	l.returnPending()
	l.startListing()
	l.retryScaleOuts()
	l.sendScaleOuts()
	policy := l.scaleInPolicy()
	for _, machine := range l.MachinesByName {
		l.releaseFromBestEffort(machine)
		l.evictTasks(machine)
		l.returnUnneeded(policy, machine)
	}
}
