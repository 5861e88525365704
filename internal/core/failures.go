package core

import "time"

// taskFailed tells a faulty machine from a faulty job: several jobs failing in
// a row on one machine have it cordoned, one job failing on several
// machines has to wait longer and longer. After a first failure a machine is
// only avoided where there is a choice.
func (l *leader) taskFailed(j *job, m *machine) {
	m.failed[j.ID] = true
	j.failedOn[m.name] = true
	if len(j.failedOn) > 1 {
		j.failures++
		j.retryAt = l.c.now + min(time.Second<<min(j.failures, 6), 2*l.c.lease())
	} else {
		j.retryAt = l.c.now + l.c.report()/5
	}
	if len(m.failed) > 1 {
		l.cordon(m, drainFailing)
	}
}

// cordon stops a machine from taking tasks; it is returned once empty. What
// runs there goes on: a machine that fails new tasks may well serve old ones,
// and stopping a replica before another place holds its image costs more.
func (l *leader) cordon(m *machine, why drainReason) {
	if m.drain == "" {
		l.c.log.Info("machine cordoned", "machine", m.name, "why", why)
		m.drain = why
	}
}
