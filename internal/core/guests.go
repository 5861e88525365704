package core

import (
	"math"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/wire"
)

// Guests are teams that are guaranteed nothing while others are guaranteed something.
// Their work gets what the other teams leave, at a low price: no machine is rented or kept
// for it whose type costs dearRatio times as much for it as another does.

// dearRatio is how many times as much as on the cheapest type a task costs on a dear one: more
// than what comes of tasks that fit badly, which is up to about twice.
const dearRatio = 4

// guestTeams names the teams that are guests.
func (c *Core) guestTeams() map[string]bool {
	guests := map[string]bool{}
	teams := c.cfg.Deployment.Teams
	if !slices.ContainsFunc(teams, func(t config.Team) bool { return !guaranteeOf(&t).None() }) {
		return guests
	}
	for i := range teams {
		if guaranteeOf(&teams[i]).None() {
			guests[teams[i].Name] = true
		}
	}
	return guests
}

// taskPrice is the hourly price of a job's task on a full machine of a type; not ok if none
// fits.
func taskPrice(j *wire.Job, t *wire.MachineType) (price float64, ok bool) {
	fit := capacity(t).Fit(size(j), rental.MaxTasksPerMachine)
	if fit == 0 {
		return 0, false
	}
	return t.Price / float64(fit), true
}

// cheapTypes lists the types of machine that a job may use and that are not dear for it, by
// name.
func (l *leader) cheapTypes(j *wire.Job) []string {
	prices := map[string]float64{}
	lowest := math.Inf(1)
	for name, t := range l.c.types { // in any order: only the lowest price counts
		if price, ok := taskPrice(j, t); ok && allowed(j.Types, name) {
			prices[name] = price
			lowest = min(lowest, price)
		}
	}
	return slices.DeleteFunc(sortedKeys(prices), func(name string) bool { return prices[name] >= dearRatio*lowest })
}

// releaseFromGuests empties a dear machine on which nothing but guests' work has run for as
// long as a machine may be idle, so that it can be returned.
func (l *leader) releaseFromGuests(m *machine) {
	if m.owed > 0 || len(m.placed) == 0 || !l.usable(m) || l.fleet.keepIdle[m.name] || m.reserved != nil {
		return
	}
	if l.c.now-max(m.owedUntil, m.firstHeard, l.loadedAt) < l.idleLimit() || l.c.now-m.createdAt < minCharge {
		return
	}
	var last *job
	for _, p := range m.placed {
		if p.job != last && slices.Contains(l.cheapTypes(&p.job.Job), m.typ) {
			return
		}
		last = p.job
	}
	l.cordon(m, drainDear)
	m.evict = true
}

// idleLimit is how long a machine that nothing needs is kept.
func (l *leader) idleLimit() time.Duration {
	if s := l.c.op.IdleReturnS; s != nil {
		return time.Duration(*s * float64(time.Second))
	}
	return 3 * l.c.lease()
}
