package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/wire"
)

// A machine out of reach is not returned, with all that it runs, for a cancelled
// task while its user still asks and has been promised nothing; it is in time for
// the user's last questions, and where the user was told, within cancel_s.
func TestMachineOutOfReachIsGivenTime(t *testing.T) {
	for _, told := range []bool{false, true} {
		b, l := newLeadingHarness(t, func(*config.Settings) {})
		addRecord(b, l, wire.Job{ID: "job-1"}, nil)
		j := l.Jobs["job-1"]
		j.Loaded = true
		l.place(j, 0, l.machineNamed("n-000001"))
		j.TaskStates[0].Persisted, j.TaskStates[0].StartRetransmitted = true, true
		l.markCancelled(j)
		keep, last := frontend.UserRetryPeriod*3/4, frontend.UserRetryPeriod-2*l.core.heartbeatInterval()
		if told {
			j.Cancellation.Acknowledge(b.now)
			keep, last = l.core.cancelGracePeriod()/2, l.core.cancelGracePeriod()*3/4
		}
		began := b.now
		late := func(at time.Duration) bool {
			b.now = began + at
			b.core.now = b.now
			return l.cancellationOverdue(j)
		}
		if late(keep) {
			t.Errorf("told %v: given up after %v", told, keep)
		}
		if !late(last) {
			t.Errorf("told %v: not given up after %v", told, last)
		}
	}
}

// TestMachineJustBackIsKept has a machine that was cut off report again when the
// time for a cancelled task on it is over. It is not returned, with all that it
// runs, before it has had a chance to stop the task; if it does not, it is.
func TestMachineJustBackIsKept(t *testing.T) {
	for _, told := range []bool{false, true} {
		b, l := newLeadingHarness(t, func(*config.Settings) {})
		addRecord(b, l, wire.Job{ID: "job-1"}, nil)
		j := l.Jobs["job-1"]
		m := l.machineNamed("n-000001")
		l.place(j, 0, m)
		l.markCancelled(j)
		j.Cancellation.Request(b.core.now - frontend.UserRetryPeriod)
		if told {
			j.Cancellation.Acknowledge(b.core.now - l.core.cancelGracePeriod())
		}
		returned := func() bool {
			l.enforceStop(m, cluster.NewTaskReference(j, 0))
			return l.fleet.pendingReturns[m.Name]
		}
		m.LastHeartbeat, m.RegularSince = b.core.now, b.core.now
		if returned() != told {
			t.Errorf("told %v: returned with its first report: %v", told, !told)
		}
		b.core.now += 2 * l.core.heartbeatInterval()
		m.LastHeartbeat = b.core.now
		if !returned() {
			t.Errorf("told %v: kept though the task is still there after two reports", told)
		}
	}
}

// TestAgeOfKnownMachines takes the age of a machine that a new leader knows from
// the records from the cloud's list, once it has reported.
func TestAgeOfKnownMachines(t *testing.T) {
	b, l := newLeadingHarness(t, func(*config.Settings) {})
	known, rented, unheard := l.machineNamed("n-000001"), l.machineNamed("n-000002"), l.machineNamed("n-000004")
	known.LastHeartbeat, rented.LastHeartbeat = b.core.now, b.core.now
	rented.CreatedAt = b.core.now - 90*time.Second
	for _, name := range []string{"n-000001", "n-000002", "n-000003", "n-000004"} {
		l.recordListed(&wire.Machine{Name: name, Type: "small", Zone: "a", Status: "running", AgeS: 80})
	}
	for m, want := range map[*cluster.Machine]time.Duration{known: 80 * time.Second, rented: 90 * time.Second, l.Machines["n-000003"]: 80 * time.Second, unheard: 0} {
		if age := b.core.now - m.CreatedAt; age != want {
			t.Errorf("%s is %v old, want %v", m.Name, age, want)
		}
	}
	if slices.Contains(sortedKeys(l.fleet.pendingReturns), "n-000001") {
		t.Error("returned")
	}
}
