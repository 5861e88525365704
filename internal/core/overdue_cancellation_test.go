package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/wire"
)

// TestUnreachableMachineIsGivenTime does not return a machine that commands do not reach, with
// all that it runs, for a cancelled task while its user still retries and has been promised
// nothing. It is returned in time for the user's last retries, or, where the user was told
// that the job is cancelled, within cancel_s.
func TestUnreachableMachineIsGivenTime(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprintf("acknowledged %v", acknowledged), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			job.Loaded = true
			leader.place(job, 0, leader.machineNamed("n-000001"))
			job.TaskStates[0].Persisted, job.TaskStates[0].StartSent = true, true
			leader.markCancelled(job)
			early, late := frontend.UserRetryPeriod*3/4, frontend.UserRetryPeriod-2*leader.core.heartbeatInterval()
			if acknowledged {
				job.Cancellation.Acknowledge(harness.now)
				early, late = leader.core.cancelGracePeriod()/2, leader.core.cancelGracePeriod()*3/4
			}
			cancelledAt := harness.now
			overdueAfter := func(elapsed time.Duration) bool {
				harness.now = cancelledAt + elapsed
				harness.core.now = harness.now
				return leader.cancellationOverdue(job)
			}
			if overdueAfter(early) {
				t.Errorf("overdue after %v", early)
			}
			if !overdueAfter(late) {
				t.Errorf("not overdue after %v", late)
			}
		})
	}
}

// TestReconnectedMachineIsKept sends a heartbeat of a machine that was cut off when the time for a
// cancelled task on it is over. The machine is not returned, with all that it runs, before it
// has had a chance to stop the task; if it does not, it is.
func TestReconnectedMachineIsKept(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprintf("acknowledged %v", acknowledged), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			machine := leader.machineNamed("n-000001")
			leader.place(job, 0, machine)
			leader.markCancelled(job)
			job.Cancellation.Request(harness.core.now - frontend.UserRetryPeriod)
			if acknowledged {
				job.Cancellation.Acknowledge(harness.core.now - leader.core.cancelGracePeriod())
			}
			returned := func() bool {
				leader.enforceStop(machine, cluster.NewTaskReference(job, 0))
				return leader.fleet.pendingReturns[machine.Name]
			}
			machine.LastHeartbeat, machine.HeartbeatsRegularSince = harness.core.now, harness.core.now
			if returned() != acknowledged {
				t.Errorf("returned with its first heartbeat: %v", !acknowledged)
			}
			harness.core.now += 2 * leader.core.heartbeatInterval()
			machine.LastHeartbeat = harness.core.now
			if !returned() {
				t.Error("kept though the task is still there after two heartbeats")
			}
		})
	}
}
