package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// A machine out of reach is not returned, with all that it runs, for a cancelled
// task while its user still asks and has been promised nothing; it is in time for
// the user's last questions, and where the user was told, within cancel_s.
func TestMachineOutOfReachIsGivenTime(t *testing.T) {
	for _, told := range []bool{false, true} {
		b, l := leading(t, func(*config.Settings) {})
		record(b, l, wire.Job{ID: "job-1"}, nil)
		j := l.jobs["job-1"]
		j.loaded = true
		l.bind(j, 0, l.machine("n-000001"))
		j.tasks[0].recorded, j.tasks[0].copied = true, true
		l.markCancelled(j)
		keep, last := userPatience*3/4, userPatience-2*l.c.report()
		if told {
			j.cancellation.Acknowledge(b.now)
			keep, last = l.c.cancelTime()/2, l.c.cancelTime()*3/4
		}
		began := b.now
		late := func(at time.Duration) bool {
			b.now = began + at
			b.c.now = b.now
			return l.cancelLate(j)
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
		b, l := leading(t, func(*config.Settings) {})
		record(b, l, wire.Job{ID: "job-1"}, nil)
		j := l.jobs["job-1"]
		m := l.machine("n-000001")
		l.bind(j, 0, m)
		l.markCancelled(j)
		j.cancellation.Request(b.c.now - userPatience)
		if told {
			j.cancellation.Acknowledge(b.c.now - l.c.cancelTime())
		}
		returned := func() bool {
			l.repeatStop(m, taskRef{j, 0, taskName(j.ID, 0)})
			return l.fleet.returns[m.name]
		}
		m.heard, m.reportsSince = b.c.now, b.c.now
		if returned() != told {
			t.Errorf("told %v: returned with its first report: %v", told, !told)
		}
		b.c.now += 2 * l.c.report()
		m.heard = b.c.now
		if !returned() {
			t.Errorf("told %v: kept though the task is still there after two reports", told)
		}
	}
}

// TestAgeOfKnownMachines takes the age of a machine that a new leader knows from
// the records from the cloud's list, once it has reported.
func TestAgeOfKnownMachines(t *testing.T) {
	b, l := leading(t, func(*config.Settings) {})
	known, rented, unheard := l.machine("n-000001"), l.machine("n-000002"), l.machine("n-000004")
	known.heard, rented.heard = b.c.now, b.c.now
	rented.createdAt = b.c.now - 90*time.Second
	for _, name := range []string{"n-000001", "n-000002", "n-000003", "n-000004"} {
		l.noteListed(&wire.Machine{Name: name, Type: "small", Zone: "a", Status: "running", AgeS: 80})
	}
	for m, want := range map[*machine]time.Duration{known: 80 * time.Second, rented: 90 * time.Second, l.machines["n-000003"]: 80 * time.Second, unheard: 0} {
		if age := b.c.now - m.createdAt; age != want {
			t.Errorf("%s is %v old, want %v", m.name, age, want)
		}
	}
	if slices.Contains(sortedKeys(l.fleet.returns), "n-000001") {
		t.Error("returned")
	}
}
