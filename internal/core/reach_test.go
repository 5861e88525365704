package core

import (
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
			j.told, j.toldAt = true, b.now
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
