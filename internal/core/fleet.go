package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// fleet is what the leader keeps of its dealings with the cloud.
type fleet struct {
	pendingReturns map[string]bool
	returnInFlight bool
	returnRetryAt  time.Duration

	listInFlight   bool
	nextListAt     time.Duration
	listedMachines map[string]bool

	scaleOuts           []*scaleOutRequest
	nextScaleOutAt      time.Duration
	scaleOutSequence    int
	shortfalls          []provisioning.Shortfall             // what the last plan wants and is not asked for yet
	refusedUntil        map[provisioning.Offer]time.Duration // until when an offer is not asked for
	slowStartLimits     map[provisioning.Offer]int           // machines counted on of offers refused lately
	partitionedAt       map[string]time.Duration             // when a zone was last seen cut off
	consolidateFrom     string                               // the machine to be tried first, if the last walk was cut short
	nextConsolidationAt time.Duration                        // no machine is emptied for others before
	keptIdle            map[string]bool                      // idle machines that are kept for work to come
	keptPurpose         map[string]string                    // what empty machines are kept for

	urgentCommands map[string]bool // machines to send commands to at once
}

// newFleet makes the state of a new leader.
func newFleet() fleet {
	return fleet{pendingReturns: map[string]bool{}, refusedUntil: map[provisioning.Offer]time.Duration{}, slowStartLimits: map[provisioning.Offer]int{}, partitionedAt: map[string]time.Duration{}, keptIdle: map[string]bool{}, urgentCommands: map[string]bool{}}
}

// tickFleet does what is due towards the cloud.
func (l *leader) tickFleet() {
	l.checkFleetSize()
	l.returnPending()
	l.startListing()
	for _, r := range l.fleet.scaleOuts {
		if !r.inFlight && l.core.now >= r.retryAt {
			l.sendScaleOut(r)
		}
	}
	l.sendScaleOuts()
	for _, m := range l.MachinesByName {
		l.releaseFromBestEffort(m)
		l.evictTasks(m)
		l.returnUnneeded(m)
	}
}

// Boot times are usually 0.6 to 1.5 times the type's. A machine that takes
// longer may take several times as long: it is no longer counted on, so that
// another is rented in time, and later it is given up.
const (
	slowBootFactor   = 1.5
	lateBootFactor   = bootlatency.LateFactor
	failedBootFactor = 4
)

// recordProvisioningLatency takes in that a machine that this leader rented has come up.
func (l *leader) recordProvisioningLatency(m *cluster.Machine) {
	t := l.typeOf(m)
	if t == nil || m.ProvisionRequestedAt == 0 {
		return
	}
	l.provisioningLatencies.RecordBoot(m.ProvisioningKind(), l.core.now, l.core.now-m.ProvisionRequestedAt, config.Seconds(t.BootS))
}

// bootTimeRatio tells how many times its type's boot time a machine has taken.
func (l *leader) bootTimeRatio(m *cluster.Machine) float64 {
	t := l.core.machineTypes[m.TypeName]
	if t == nil || t.BootS <= 0 || m.LastHeartbeat != 0 {
		return 0
	}
	return (l.core.now - m.CreatedAt).Seconds() / t.BootS
}
