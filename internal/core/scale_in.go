package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/scalein"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// scaleIn is the state of returning machines. This file and inventory.go change it.
type scaleIn struct {
	pendingReturns map[string]bool // machines to return; kept until the cloud confirms it
	returnInFlight bool            // a return, or the check of the term before it
	returnRetryAt  time.Duration   // no machine is returned before
}

// returnMachine requests the return of a machine to the cloud. Whatever runs on it has terminated
// once the cloud confirms.
func (l *leader) returnMachine(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.DrainReason == "" {
		machine.DrainReason = reason
		l.core.log.Info("machine return requested", "machine", machine.Name, "reason", reason, "tasks", len(machine.Placements))
	}
	l.fleet.pendingReturns[machine.Name] = true
}

// returnPending returns machines, once it is certain that this term still holds: a partitioned
// leader that others have replaced sees every machine silent, and would return the fleet of its
// successor.
func (l *leader) returnPending() {
	fleet := &l.fleet
	if fleet.returnInFlight || len(fleet.pendingReturns) == 0 || l.core.now < fleet.returnRetryAt {
		return
	}
	fleet.returnInFlight = true
	checkTerm := &wire.Txn{Conditions: []wire.Condition{l.termCondition()}}
	l.core.store.CommitUrgent(checkTerm, func(result kv.TxnResult) {
		fleet.returnInFlight = false
		switch {
		case l.steppedDown:
		case result.Status == kv.Conflict:
			l.core.stepDown(stepDownTermChanged)
		case result.Committed(), l.core.membership.HasPeerContact():
			// During a general outage of the store nobody is elected; a peer that knew of a
			// higher term would have told this controller.
			l.sendReturns()
		default:
			fleet.returnRetryAt = l.core.now + cloudRetryDelay
		}
	})
}

// sendReturns asks the cloud to take pending machines back, as many as one request may name.
func (l *leader) sendReturns() {
	names := sortedKeys(l.fleet.pendingReturns)
	if len(names) > cloudapi.MaxMachinesPerReturn {
		names = names[:cloudapi.MaxMachinesPerReturn]
	}
	for _, name := range names {
		if machine := l.Machines[name]; machine != nil {
			machine.Returning = true
		}
	}
	l.fleet.returnInFlight = true
	l.core.cloud.Return(names, func(status cloudapi.Status) {
		l.fleet.returnInFlight = false
		switch {
		case l.steppedDown:
		case status == cloudapi.Done:
			l.recordReturned(names)
		default:
			l.fleet.returnRetryAt = l.core.now + cloudRetryDelay
		}
	})
}

// recordReturned records that the cloud has taken machines back.
func (l *leader) recordReturned(names []string) {
	for _, name := range names {
		delete(l.fleet.pendingReturns, name)
		l.returnedMachines[name] = l.core.now
		if machine := l.Machines[name]; machine != nil {
			l.recordMachineTerminated(machine)
		}
	}
}

// evictTasks stops the tasks of a machine with a preemption notice or of one that is being
// drained, with the grace period that their checkpoints take.
func (l *leader) evictTasks(machine *cluster.Machine) {
	if machine.PreemptionAt == 0 && !machine.Evicting || len(machine.Placements) == 0 {
		return
	}
	for _, placed := range machine.Placements {
		if task := placed.Task(); task.Machine != machine || task.Stop != nil {
			continue // unplaced or stopped meanwhile, with its gang
		}
		l.evictTask(placed)
	}
}

// evictTask stops a task, or the gang that it is of, to start again on another machine.
func (l *leader) evictTask(placed cluster.TaskReference) {
	job := placed.Job
	gracePeriodS := 0.0
	if job.CheckpointIntervalS > 0 {
		gracePeriodS = job.CheckpointDurationS
	}
	if job.Shape == wire.ShapeGang {
		l.stopGang(job, gracePeriodS, stopDrained)
		return
	}
	l.stopTask(job, placed.Index, gracePeriodS, stopDrained)
}

// minBilledTime is the least time that the cloud charges for a machine.
const minBilledTime = scalein.MinBilledTime

// maxIdleTime is how long a machine that nothing needs is kept.
func (l *leader) maxIdleTime() time.Duration {
	if s := l.core.operatorSettings.IdleReturnS; s != nil {
		return time.Duration(*s * float64(time.Second))
	}
	return 3 * l.core.workerLease()
}

// scaleInPolicy decides at this moment which machines are not needed.
func (l *leader) scaleInPolicy() *scalein.Policy {
	return &scalein.Policy{
		Host:              scaleInHost{l},
		Now:               l.core.now,
		RecordsLoadedAt:   l.recordsLoadedAt,
		WorkerLease:       l.core.workerLease(),
		HeartbeatInterval: l.core.heartbeatInterval(),
		ListLag:           l.listLag(),
		MaxIdleTime:       l.maxIdleTime(),
	}
}

// scaleInHost answers the policy's questions.
type scaleInHost struct{ leader *leader }

// BootTimeRatio is how many times its type's boot time a booting machine has taken.
func (h scaleInHost) BootTimeRatio(machine *cluster.Machine) float64 {
	return h.leader.bootTimeRatio(machine)
}

// MayBeHealthy reports whether a machine that failures were attributed to may be healthy.
func (h scaleInHost) MayBeHealthy(machine *cluster.Machine) bool {
	return h.leader.mayBeHealthy(machine)
}

// Planned reports whether the last scale-out plan uses a machine.
func (h scaleInHost) Planned(machine *cluster.Machine) bool {
	return h.leader.fleet.keptIdle[machine.Name]
}

// returnUnneeded returns a machine that nothing needs.
func (l *leader) returnUnneeded(policy *scalein.Policy, machine *cluster.Machine) {
	if machine.Returning || l.fleet.pendingReturns[machine.Name] {
		return
	}
	if reason := policy.ReturnReason(machine); reason != "" {
		l.returnMachine(machine, reason)
	}
}
