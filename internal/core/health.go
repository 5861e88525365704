package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
)

// leaseExpiryBound is after how long without an answer the lease of a worker that has seen this
// term has certainly expired.
func (l *leader) leaseExpiryBound() time.Duration { return l.core.reconcileTiming().LeaseExpiryBound() }

// heartbeatOverdueAfter is after how long without a heartbeat one must have been missed.
func (l *leader) heartbeatOverdueAfter() time.Duration {
	return l.core.reconcileTiming().HeartbeatOverdueAfter()
}

// leaseExpired reports whether the lease of a worker with missed heartbeats has
// certainly expired, although other controllers may have extended it.
func (l *leader) leaseExpired(machine *cluster.Machine) bool {
	lastRenewal := max(machine.LastAnswered, machine.LeaseExtendedAt)
	return l.core.membership.LeaseExpired(lastRenewal, l.leaseExpiryBound())
}

// healthCheck is a check of the machines' health at this moment.
func (l *leader) healthCheck() *reconcile.HealthCheck {
	return &reconcile.HealthCheck{
		Timing:          l.core.reconcileTiming(),
		Now:             l.core.now,
		RecordsLoadedAt: l.recordsLoadedAt,
		PartitionedAt:   l.fleet.partitionedAt,
		ZoneReachedAt:   l.zoneReachedAt,
		ZoneLost:        l.core.membership.ZoneLost,
		LeaseExpired:    l.leaseExpired,
	}
}

// tickMachines ends the leases of silent machines, probes machines whose heartbeats are overdue,
// and returns unhealthy ones.
func (l *leader) tickMachines() {
	check := l.healthCheck()
	counts := check.CountSilent(l.MachinesByName)
	for _, zone := range check.PartitionedZones(counts) {
		l.fleet.partitionedAt[zone] = l.core.now
	}
	for _, machine := range l.MachinesByName {
		l.expireLease(machine)
		if machine.Returning {
			continue
		}
		if check.ProbeDue(machine) {
			l.probe(machine)
		}
		if reason := check.UnhealthyReason(machine, counts); reason != "" {
			l.returnMachine(machine, reason)
		}
	}
}
