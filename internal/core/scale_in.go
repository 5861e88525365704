package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// returnMachine returns a machine to the cloud. Whatever was on it is gone once
// the cloud has confirmed.
func (l *leader) returnMachine(m *cluster.Machine, reason cluster.DrainReason) {
	if m.DrainReason == "" {
		m.DrainReason = reason
		l.core.log.Info("return machine", "machine", m.Name, "why", reason, "tasks", len(m.Placements))
	}
	l.fleet.pendingReturns[m.Name] = true
}

// returnPending returns machines, once it is sure that this term still holds: a
// deposed leader that is cut off sees every machine silent, and would take the
// fleet from its successor.
func (l *leader) returnPending() {
	f := &l.fleet
	if f.returnInFlight || len(f.pendingReturns) == 0 || l.core.now < f.returnRetryAt {
		return
	}
	f.returnInFlight = true
	l.core.store.CommitUrgent(&wire.Txn{Conditions: []wire.Condition{l.termCondition()}}, func(r kv.TxnResult) {
		f.returnInFlight = false
		switch {
		case l.steppedDown:
		case r.Status == kv.Conflict:
			l.core.stepDown(stepDownTermChanged)
		case r.Status == kv.OK, l.core.hearsPeer():
			// During a general outage of the state service nobody is elected;
			// a peer that knew of a higher term would have told us.
			l.sendReturns()
		default:
			f.returnRetryAt = l.core.now + cloudRetryDelay
		}
	})
}

// maxMachinesPerReturn is how many machines go into one return.
const maxMachinesPerReturn = 100

// sendReturns asks the cloud to take machines back.
func (l *leader) sendReturns() {
	f := &l.fleet
	names := sortedKeys(f.pendingReturns)
	if len(names) > maxMachinesPerReturn {
		names = names[:maxMachinesPerReturn]
	}
	for _, n := range names {
		if m := l.Machines[n]; m != nil {
			m.Returning = true
		}
	}
	f.returnInFlight = true
	l.core.call(Call{Destination: DestinationCloud, Method: "POST", Path: "/machines/return", Body: kv.Encode(wire.MachineNames{Machines: names}), Timeout: cloudTimeout, Urgent: true}, func(r Result) {
		f.returnInFlight = false
		if l.steppedDown {
			return
		}
		if r.Status != 200 {
			f.returnRetryAt = l.core.now + cloudRetryDelay
			return
		}
		for _, n := range names {
			delete(f.pendingReturns, n)
			l.returnedMachines[n] = l.core.now
			if m := l.Machines[n]; m != nil {
				l.recordMachineTerminated(m)
			}
		}
	})
}

// evictTasks moves work off a machine that the cloud is about to take, in
// time for the slowest save.
func (l *leader) evictTasks(m *cluster.Machine) {
	if m.PreemptionAt == 0 && !m.Evicting || len(m.Placements) == 0 {
		return
	}
	for _, p := range m.Placements {
		if t := p.Task(); t.Machine != m || t.Stop != nil {
			continue
		}
		grace := 0.0
		if p.Job.CheckpointIntervalS > 0 {
			grace = p.Job.CheckpointDurationS
		}
		if p.Job.Shape == wire.ShapeGang {
			l.stopGang(p.Job, grace, stopDrained)
			continue
		}
		l.stopTask(p.Job, p.Index, grace, stopDrained)
	}
}

// minBilledTime is the least time the cloud charges for a machine.
const minBilledTime = 60 * time.Second

// returnUnneeded gives back a machine that nothing needs.
func (l *leader) returnUnneeded(m *cluster.Machine) {
	if m.Returning || l.fleet.pendingReturns[m.Name] {
		return
	}
	if reason := l.returnReason(m); reason != "" {
		l.returnMachine(m, reason)
	}
}

// returnReason tells why a machine is not needed any more; empty if it is.
func (l *leader) returnReason(m *cluster.Machine) cluster.DrainReason {
	switch {
	case m.LastHeartbeat == 0:
		if l.bootFailed(m) {
			return cluster.DrainBootTimeout
		}
		return ""
	case len(m.Placements) > 0:
		return ""
	case m.DrainReason != "" && !l.mayBeHealthy(m):
		return m.DrainReason
	case m.PreemptionAt != 0:
		return cluster.DrainPreemptionNotice
	case m.DrainReason == "" && l.idleTooLong(m):
		return cluster.DrainIdle
	}
	return ""
}

// bootFailed tells whether a machine that has not reported is given up. A new leader
// has to give one that came up under an earlier term the time to report first. One
// that has placements did come up: another controller may have its reports.
func (l *leader) bootFailed(m *cluster.Machine) bool {
	return l.bootTimeRatio(m) > failedBootFactor && l.core.now-l.recordsLoadedAt > l.core.workerLease() && len(m.Placements) == 0 && m.LastContact == 0
}

// idleTooLong tells whether an empty machine has had no use for long enough.
func (l *leader) idleTooLong(m *cluster.Machine) bool {
	limit := l.maxIdleTime()
	if l.fleet.keptIdle[m.Name] || l.core.now-l.recordsLoadedAt < limit {
		return false
	}
	return l.core.now-m.IdleSince >= limit && l.core.now-m.CreatedAt >= minBilledTime
}
