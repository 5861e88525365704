package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// returnMachine returns a machine to the cloud. Whatever was on it is gone once
// the cloud has confirmed.
func (l *leader) returnMachine(m *machine, why drainReason) {
	if m.drain == "" {
		m.drain = why
		l.c.log.Info("return machine", "machine", m.name, "why", why, "tasks", len(m.placed))
	}
	l.fleet.returns[m.name] = true
}

// returnBatch returns machines, once it is sure that this term still holds: a
// deposed leader that is cut off sees every machine silent, and would take the
// fleet from its successor.
func (l *leader) returnBatch() {
	f := &l.fleet
	if f.returnBusy || len(f.returns) == 0 || l.c.now < f.returnRetry {
		return
	}
	f.returnBusy = true
	l.c.store.CommitUrgent(&wire.Txn{If: []wire.Cond{l.termCond()}}, func(r kv.TxnResult) {
		f.returnBusy = false
		switch {
		case l.deposed:
		case r.Status == kv.Conflict:
			l.c.stepDown(stepDownTermChanged)
		case r.Status == kv.OK, l.c.hearsPeer():
			// During a general outage of the state service nobody is elected;
			// a peer that knew of a higher term would have told us.
			l.sendReturns()
		default:
			f.returnRetry = l.c.now + cloudRetry
		}
	})
}

// maxReturns is how many machines go into one return.
const maxReturns = 100

// sendReturns asks the cloud to take machines back.
func (l *leader) sendReturns() {
	f := &l.fleet
	names := sortedKeys(f.returns)
	if len(names) > maxReturns {
		names = names[:maxReturns]
	}
	for _, n := range names {
		if m := l.machines[n]; m != nil {
			m.returning = true
		}
	}
	f.returnBusy = true
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines/return", Body: kv.Encode(wire.MachineNames{Machines: names}), Timeout: cloudTimeout, Urgent: true}, func(r Result) {
		f.returnBusy = false
		if l.deposed {
			return
		}
		if r.Status != 200 {
			f.returnRetry = l.c.now + cloudRetry
			return
		}
		for _, n := range names {
			delete(f.returns, n)
			l.returned[n] = l.c.now
			if m := l.machines[n]; m != nil {
				l.machineGone(m)
			}
		}
	})
}

// drainLeaving moves work off a machine that the cloud is about to take, in
// time for the slowest save.
func (l *leader) drainLeaving(m *machine) {
	if m.leaving == 0 && !m.evict || len(m.placed) == 0 {
		return
	}
	for _, p := range m.placed {
		if t := p.task(); t.machine != m || t.stop != nil {
			continue
		}
		grace := 0.0
		if p.job.CheckpointS > 0 {
			grace = p.job.SaveS
		}
		if p.job.Shape == wire.ShapeGang {
			l.stopGang(p.job, grace, stopDrained)
			continue
		}
		l.stopTask(p.job, p.index, grace, stopDrained)
	}
}

// minCharge is the least time the cloud charges for a machine.
const minCharge = 60 * time.Second

// returnIdle gives back a machine that nothing needs.
func (l *leader) returnIdle(m *machine) {
	if m.returning || l.fleet.returns[m.name] {
		return
	}
	if why := l.unneededFor(m); why != "" {
		l.returnMachine(m, why)
	}
}

// unneededFor tells why a machine is not needed any more; empty if it is.
func (l *leader) unneededFor(m *machine) drainReason {
	switch {
	case m.heard == 0:
		if l.neverUp(m) {
			return drainNeverUp
		}
		return ""
	case len(m.placed) > 0:
		return ""
	case m.drain != "" && !l.mayBeSound(m):
		return m.drain
	case m.leaving != 0:
		return drainTakenByCloud
	case m.drain == "" && l.idleTooLong(m):
		return drainIdle
	}
	return ""
}

// neverUp tells whether a machine that has not reported is given up. A new leader
// has to give one that came up under an earlier term the time to report first. One
// that has placements did come up: another controller may have its reports.
func (l *leader) neverUp(m *machine) bool {
	return l.bootOverdue(m) > bootGone && l.c.now-l.loadedAt > l.c.lease() && len(m.placed) == 0 && m.contact == 0
}

// idleTooLong tells whether an empty machine has had no use for long enough.
func (l *leader) idleTooLong(m *machine) bool {
	limit := l.idleLimit()
	if l.fleet.keepIdle[m.name] || l.c.now-l.loadedAt < limit {
		return false
	}
	return l.c.now-m.idleSince >= limit && l.c.now-m.createdAt >= minCharge
}
