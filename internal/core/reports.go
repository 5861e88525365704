package core

import (
	"cmp"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// handleReport takes a worker's report, which came by a controller, and returns
// the answer.
func (l *leader) handleReport(body []byte, via string) (int, []byte) {
	r, ok := decodeReport(body)
	if !ok {
		return 400, []byte(`{"error":"not a report"}`)
	}
	if r.Token > l.mandate.Term {
		l.c.stepDown(stepDownWorkerKnows)
		return 503, []byte("{}")
	}
	if _, ok := l.returned[r.Machine]; ok {
		// The cloud has confirmed that the machine is gone: a late copy.
		return 503, []byte("{}")
	}
	m := l.machine(r.Machine)
	if !r.Newer(m.repSession, m.repSeq) {
		// A late or repeated copy must not refresh anything.
		l.c.log.Debug("old report", "machine", r.Machine, "session", r.Session, "seq", r.Seq)
		return 503, []byte("{}")
	}
	m.repSession, m.repSeq = r.Session, r.Seq
	if m.firstHeard == 0 {
		m.firstHeard = l.c.now
		l.noteUp(m)
		l.c.log.Info("machine heard", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	}
	if l.c.now-m.heard > 3*l.c.report() {
		m.reportsSince = l.c.now
	}
	m.heard, m.via = l.c.now, via
	if via == l.c.cfg.Name {
		l.reached[r.Zone] = l.c.now
	}
	if r.Newer(m.session, m.seq) {
		l.apply(m, r)
	}
	orders := wire.Orders{Token: l.mandate.Term, Commands: []wire.Command{}}
	if l.ready && r.Session == m.session {
		orders.Commands = l.commands(m)
	}
	m.answered = l.c.now
	return 200, kv.Encode(orders)
}

// apply takes in a worker's newest message.
func (l *leader) apply(m *machine, r *wire.Report) {
	if r.Session != m.session {
		if m.session != 0 && r.Session > m.session {
			m.expired++
			l.c.log.Info("worker lost its lease", "machine", m.name, "session", r.Session)
		}
		m.directStarts = map[attemptID]int{}
		// The new session's lease began with it, at the latest now, whatever
		// was last answered: a session that a direct answer showed must not
		// seem to have run out by the clock of the one before.
		m.answered = l.c.now
		m.lostTerm = false
		m.deafSince = 0
	}
	m.session, m.seq = r.Session, r.Seq
	if m.token < l.mandate.Term && r.Token >= l.mandate.Term {
		// Until it heard this term a deposed leader may have renewed its lease,
		// whatever late copy of a report was answered here: the lease is counted
		// from now. Counted from the copy it seemed to have run out, and its
		// tasks ran twice.
		m.answered = l.c.now
	}
	m.token = max(m.token, r.Token)
	l.describe(m, r.Addr, r.Type, r.Zone, r.Spot)
	if r.WarningS != nil {
		if m.leaving == 0 {
			l.c.log.Info("machine will be taken", "machine", m.name, "in_s", *r.WarningS)
			l.passes.requested = true
		}
		m.leaving = l.c.now + config.Seconds(*r.WarningS)
	}
	m.tasks, m.endedRows = r.Tasks, countEnded(r.Tasks)
	slices.SortFunc(m.tasks, func(a, b wire.Task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range m.tasks {
		if t.State == wire.TaskRunning || t.State == wire.TaskWaiting {
			if j := l.jobs[jobOf(t.Task)]; j != nil {
				l.noteFetched(m, j.Image)
				l.useImage(m, j.Image, j.ImageGB)
			}
		}
	}
	if l.ready {
		l.review(m, r.Token >= l.mandate.Term)
	}
}
