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

// TestOverdueOnUnreachableMachine checks when a cancelled task on a machine that commands do not
// reach becomes overdue, so that the machine and everything on it is returned to the cloud. As long
// as the cancellation is not acknowledged, the user still retries and nothing has been promised:
// the machine is returned only in time for the user's last retries. After an acknowledgement, it is
// returned within cancel_s.
func TestOverdueOnUnreachableMachine(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprintf("acknowledged %v", acknowledged), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			job.Loaded = true
			leader.place(job, 0, leader.getOrAddMachine("n-000001"))
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
				t.Errorf("after %v: got overdue, want not overdue", early)
			}
			if !overdueAfter(late) {
				t.Errorf("after %v: got not overdue, want overdue", late)
			}
		})
	}
}

// TestReconnectedMachineCanStopTask checks that a machine that reconnects after a partition, with a
// cancelled task that is overdue, is not returned to the cloud before it had a chance to stop the
// task. It is returned if it does not stop the task, or immediately if the cancellation was
// acknowledged.
func TestReconnectedMachineCanStopTask(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprintf("acknowledged %v", acknowledged), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			machine := leader.getOrAddMachine("n-000001")
			leader.place(job, 0, machine)
			leader.markCancelled(job)
			job.Cancellation.Request(harness.core.now - frontend.UserRetryPeriod)
			if acknowledged {
				job.Cancellation.Acknowledge(harness.core.now - leader.core.cancelGracePeriod())
			}
			enforceAndCheckReturn := func() bool {
				leader.enforceStop(machine, cluster.NewTaskReference(job, 0))
				return leader.fleet.pendingReturns[machine.Name]
			}
			machine.LastHeartbeat, machine.HeartbeatsRegularSince = harness.core.now, harness.core.now
			if enforceAndCheckReturn() != acknowledged {
				t.Errorf("machine returned at its first heartbeat: got %v, want it only after an acknowledged cancellation", !acknowledged)
			}
			harness.core.now += 2 * leader.core.heartbeatInterval()
			machine.LastHeartbeat = harness.core.now
			if !enforceAndCheckReturn() {
				t.Error("machine not returned although the task is still there after two heartbeat intervals")
			}
		})
	}
}
