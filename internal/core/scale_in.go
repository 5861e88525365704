package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// returnMachine returns a machine to the cloud. Whatever was on it is gone once
// the cloud has confirmed.
func (l *leader) returnMachine(m *machine, reason drainReason) {
	if m.drainReason == "" {
		m.drainReason = reason
		l.core.log.Info("return machine", "machine", m.name, "why", reason, "tasks", len(m.placements))
	}
	l.fleet.pendingReturns[m.name] = true
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
		if m := l.machines[n]; m != nil {
			m.returning = true
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
			if m := l.machines[n]; m != nil {
				l.recordMachineTerminated(m)
			}
		}
	})
}

// evictTasks moves work off a machine that the cloud is about to take, in
// time for the slowest save.
func (l *leader) evictTasks(m *machine) {
	if m.preemptionAt == 0 && !m.evicting || len(m.placements) == 0 {
		return
	}
	for _, p := range m.placements {
		if t := p.task(); t.machine != m || t.stop != nil {
			continue
		}
		grace := 0.0
		if p.job.CheckpointIntervalS > 0 {
			grace = p.job.CheckpointDurationS
		}
		if p.job.Shape == wire.ShapeGang {
			l.stopGang(p.job, grace, stopDrained)
			continue
		}
		l.stopTask(p.job, p.index, grace, stopDrained)
	}
}

// minBilledTime is the least time the cloud charges for a machine.
const minBilledTime = 60 * time.Second

// returnUnneeded gives back a machine that nothing needs.
func (l *leader) returnUnneeded(m *machine) {
	if m.returning || l.fleet.pendingReturns[m.name] {
		return
	}
	if reason := l.returnReason(m); reason != "" {
		l.returnMachine(m, reason)
	}
}

// returnReason tells why a machine is not needed any more; empty if it is.
func (l *leader) returnReason(m *machine) drainReason {
	switch {
	case m.lastHeartbeat == 0:
		if l.bootFailed(m) {
			return drainBootTimeout
		}
		return ""
	case len(m.placements) > 0:
		return ""
	case m.drainReason != "" && !l.mayBeHealthy(m):
		return m.drainReason
	case m.preemptionAt != 0:
		return drainPreemptionNotice
	case m.drainReason == "" && l.idleTooLong(m):
		return drainIdle
	}
	return ""
}

// bootFailed tells whether a machine that has not reported is given up. A new leader
// has to give one that came up under an earlier term the time to report first. One
// that has placements did come up: another controller may have its reports.
func (l *leader) bootFailed(m *machine) bool {
	return l.bootTimeRatio(m) > failedBootFactor && l.core.now-l.recordsLoadedAt > l.core.workerLease() && len(m.placements) == 0 && m.lastContact == 0
}

// idleTooLong tells whether an empty machine has had no use for long enough.
func (l *leader) idleTooLong(m *machine) bool {
	limit := l.maxIdleTime()
	if l.fleet.keptIdle[m.name] || l.core.now-l.recordsLoadedAt < limit {
		return false
	}
	return l.core.now-m.idleSince >= limit && l.core.now-m.createdAt >= minBilledTime
}
