package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// taskFailed takes in that a task failed on a machine. Package faults tells which of the
// two is the cause. After a first failure a machine is only avoided where there is a
// choice; a job that fails on several waits longer and longer.
func (l *leader) taskFailed(j *job, m *machine) {
	faulty := l.faults.JobFaulty(j.ID)
	l.faults.Failed(j.ID, m.name)
	if !faulty && l.faults.JobFaulty(j.ID) {
		l.c.log.Info("job fails on every machine", "job", j.ID, "class", j.Class, "machines", l.faults.Failures(j.ID))
	}
	if l.faults.Failures(j.ID) < 2 {
		j.retryAt = l.c.now + l.c.report()/5
	} else {
		if l.c.now >= j.retryAt { // tasks that fail together are one failure
			j.failures++
		}
		j.retryAt = l.c.now + min(time.Second<<min(j.failures, 6), 2*l.c.lease())
	}
	l.judgeMachine(m)
}

// provenAfter is for how long a task has to run, in reports, before its start counts as
// one that went well: one that fails may be seen to run for a moment.
const provenAfter = 2

// noteRunning takes in that a report shows a task running.
func (l *leader) noteRunning(p taskRef) {
	t := p.task()
	if t.ours && !t.proven && l.c.now-t.upAt >= provenAfter*l.c.report() {
		l.succeeded(p)
	}
}

// succeeded notes that a task started well or is done.
func (l *leader) succeeded(p taskRef) {
	t := p.task()
	t.proven = true
	if l.faults.JobFaulty(p.job.ID) {
		l.c.log.Info("job does well after all", "job", p.job.ID)
	}
	l.faults.Succeeded(p.job.ID, t.machine.name)
	p.job.failures = 0
}

// tickFaults judges the machines on which something failed: what their jobs do elsewhere
// meanwhile speaks for or against them.
func (l *leader) tickFaults() {
	for _, name := range l.faults.DoubtfulMachines() {
		if m := l.machines[name]; m != nil {
			l.judgeMachine(m)
		}
	}
}

// judgeMachine cordons a machine that fails tasks, and takes that back where the jobs
// turn out to be the cause.
func (l *leader) judgeMachine(m *machine) {
	switch faulty := l.faults.MachineFaulty(m.name); {
	case faulty:
		l.cordon(m, drainFailing)
	case m.drain == drainFailing && !m.evict && !m.returning && !l.fleet.returns[m.name]:
		l.c.log.Info("machine uncordoned", "machine", m.name, "why", "the jobs that failed there fail elsewhere")
		m.drain = ""
	}
}

// tryFaulty is what of a faulty job may be tried now: one task at a time, so that it
// holds next to nothing until its user cancels it, and is still found to do well if it
// does.
func (l *leader) tryFaulty(j *job, pending []int) []int {
	if j.Shape == wire.ShapeGang {
		return pending
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil && !t.proven {
			return nil
		}
	}
	return pending[:1]
}

// cordon stops a machine from taking tasks; it is returned once empty. What
// runs there goes on: a machine that fails new tasks may well serve old ones,
// and stopping a replica before another place holds its image costs more.
func (l *leader) cordon(m *machine, why drainReason) {
	if m.drain == "" {
		l.c.log.Info("machine cordoned", "machine", m.name, "why", why)
		m.drain, m.drainedAt = why, l.c.now
	}
}

// mayBeSound tells whether a machine that fails tasks may still turn out to be sound: the
// jobs are tried elsewhere meanwhile.
func (l *leader) mayBeSound(m *machine) bool {
	return m.drain == drainFailing && l.c.now-m.drainedAt < 3*l.c.lease()
}
