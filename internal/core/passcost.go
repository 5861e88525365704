package core

import (
	"slices"
	"time"
)

// visitTime is about what a look at a machine takes on a whole processor.
const visitTime = 100 * time.Nanosecond

// timeFor is about how long looks at machines take on this controller.
func (l *leader) timeFor(visits int) time.Duration {
	cpu := l.c.cfg.Deployment.Limits.CPU
	if cpu <= 0 || cpu > 1 {
		cpu = 1
	}
	return time.Duration(float64(visits) * float64(visitTime) / cpu)
}

// passVisits bounds a pass: reports are not answered meanwhile. What a pass
// does not come to is first in the next one.
func (l *leader) passVisits() int {
	return max(len(l.passes.leaves), int(l.c.report()/20/l.timeFor(1)))
}

// resumed puts the candidates that the last pass did not come to first.
func (l *leader) resumed(cands []*candidate) []*candidate {
	from := l.passes.resume
	l.passes.resume = nil
	at := slices.IndexFunc(cands, func(c *candidate) bool { return c.job == from })
	if at <= 0 {
		return cands
	}
	return append(slices.Clone(cands[at:]), cands[:at]...)
}
