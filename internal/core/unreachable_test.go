package core

import (
	"fmt"
	"slices"
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
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprintf("told %v", told), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			job.Loaded = true
			leader.place(job, 0, leader.machineNamed("n-000001"))
			job.TaskStates[0].Persisted, job.TaskStates[0].StartSent = true, true
			leader.markCancelled(job)
			early, late := frontend.UserRetryPeriod*3/4, frontend.UserRetryPeriod-2*leader.core.heartbeatInterval()
			if told {
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

// TestMachineJustBackIsKept sends a heartbeat of a machine that was cut off when the time for a
// cancelled task on it is over. The machine is not returned, with all that it runs, before it
// has had a chance to stop the task; if it does not, it is.
func TestMachineJustBackIsKept(t *testing.T) {
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprintf("told %v", told), func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
			job := leader.Jobs["job-1"]
			machine := leader.machineNamed("n-000001")
			leader.place(job, 0, machine)
			leader.markCancelled(job)
			job.Cancellation.Request(harness.core.now - frontend.UserRetryPeriod)
			if told {
				job.Cancellation.Acknowledge(harness.core.now - leader.core.cancelGracePeriod())
			}
			returned := func() bool {
				leader.enforceStop(machine, cluster.NewTaskReference(job, 0))
				return leader.fleet.pendingReturns[machine.Name]
			}
			machine.LastHeartbeat, machine.RegularSince = harness.core.now, harness.core.now
			if returned() != told {
				t.Errorf("returned with its first heartbeat: %v", !told)
			}
			harness.core.now += 2 * leader.core.heartbeatInterval()
			machine.LastHeartbeat = harness.core.now
			if !returned() {
				t.Error("kept though the task is still there after two heartbeats")
			}
		})
	}
}

// TestAgeOfKnownMachines takes the age of a machine that a new leader knows from the records
// from the cloud's list, once the machine has sent a heartbeat.
func TestAgeOfKnownMachines(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	recorded, provisioned, silent := leader.machineNamed("n-000001"), leader.machineNamed("n-000002"), leader.machineNamed("n-000004")
	recorded.LastHeartbeat, provisioned.LastHeartbeat = harness.core.now, harness.core.now
	provisioned.CreatedAt = harness.core.now - 90*time.Second
	for _, name := range []string{"n-000001", "n-000002", "n-000003", "n-000004"} {
		leader.recordListed(&wire.Machine{Name: name, Type: "small", Zone: "a", Status: "running", AgeS: 80})
	}
	for machine, want := range map[*cluster.Machine]time.Duration{
		recorded:                    80 * time.Second,
		provisioned:                 90 * time.Second,
		leader.Machines["n-000003"]: 80 * time.Second,
		silent:                      0,
	} {
		if age := harness.core.now - machine.CreatedAt; age != want {
			t.Errorf("%s is %v old, want %v", machine.Name, age, want)
		}
	}
	if slices.Contains(sortedKeys(leader.fleet.pendingReturns), "n-000001") {
		t.Error("returned")
	}
}
