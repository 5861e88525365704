package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/scalein"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// scaleIn is the state of returning machines to the cloud. This file and inventory.go change it.
type scaleIn struct {
	pendingReturns map[string]bool // machines to return, until the cloud confirms the return
	returnInFlight bool            // a return request or the term check before it is in progress
	returnRetryAt  time.Duration   // earliest time of the next return request
}

// returnMachine queues a machine to be returned to the cloud. Once the cloud confirms the return,
// all tasks of the machine have terminated.
func (l *leader) returnMachine(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.DrainReason == "" {
		machine.DrainReason = reason
		l.core.log.Info("machine return requested", "machine", machine.Name, "reason", reason, "tasks", len(machine.Placements))
	}
	l.fleet.pendingReturns[machine.Name] = true
}

// returnPending returns the queued machines after checking in the store that this leader's term is
// still the current one. A partitioned leader that has been replaced receives no heartbeats, and
// would otherwise return its successor's whole fleet.
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
			// While the store is down for all controllers, none can be elected. If there were a
			// higher term, a peer in contact with this controller would have reported it.
			l.sendReturns()
		default:
			fleet.returnRetryAt = l.core.now + cloudRetryDelay
		}
	})
}

// sendReturns sends one request to return queued machines, as many as it may contain.
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

// recordReturned records that the cloud has confirmed the return of machines.
func (l *leader) recordReturned(names []string) {
	for _, name := range names {
		delete(l.fleet.pendingReturns, name)
		l.returnedMachines[name] = l.core.now
		if machine := l.Machines[name]; machine != nil {
			l.recordMachineTerminated(machine)
		}
	}
}

// evictTasks stops the tasks of a machine that has a preemption notice or whose tasks are to be
// evicted. The grace period of each task is the duration of its checkpoint.
func (l *leader) evictTasks(machine *cluster.Machine) {
	if machine.PreemptionAt == 0 && !machine.Evicting || len(machine.Placements) == 0 {
		return
	}
	for _, placed := range machine.Placements {
		if task := placed.Task(); task.Machine != machine || task.Stop != nil {
			continue // unplaced or stopped earlier in this loop, together with its gang
		}
		l.evictTask(placed)
	}
}

// evictTask stops a task, or all of its gang, so that it restarts on another machine.
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

// minBilledTime is the minimum time that the cloud bills for a machine.
const minBilledTime = scalein.MinBilledTime

// maxIdleTime returns how long an idle machine that no plan uses is kept.
func (l *leader) maxIdleTime() time.Duration {
	if s := l.core.operatorSettings.IdleReturnS; s != nil {
		return time.Duration(*s * float64(time.Second))
	}
	return 3 * l.core.workerLease()
}

// scaleInPolicy returns the policy that decides which machines are not needed now.
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

// scaleInHost implements scalein.Host for a leader.
type scaleInHost struct{ leader *leader }

// BootTimeRatio returns how long a machine has been booting, as a multiple of its type's boot time.
func (h scaleInHost) BootTimeRatio(machine *cluster.Machine) float64 {
	return h.leader.bootTimeRatio(machine)
}

// MayBeHealthy reports whether a machine that is cordoned because of task failures may still turn
// out to be healthy.
func (h scaleInHost) MayBeHealthy(machine *cluster.Machine) bool {
	return h.leader.mayBeHealthy(machine)
}

// Planned reports whether the last scale-out plan uses a machine.
func (h scaleInHost) Planned(machine *cluster.Machine) bool {
	return h.leader.fleet.plannedMachines[machine.Name]
}

// returnUnneeded returns a machine if the policy has a reason to.
func (l *leader) returnUnneeded(policy *scalein.Policy, machine *cluster.Machine) {
	if machine.Returning || l.fleet.pendingReturns[machine.Name] {
		return
	}
	if reason := policy.ReturnReason(machine); reason != "" {
		l.returnMachine(machine, reason)
	}
}
