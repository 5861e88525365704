package core

import (
	"maps"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// regions is what a controller keeps of the limits that hold over regions, see package quota.
type regions struct {
	plan *plan.Plan // nil if they are turned off
	self string
	team map[string]bool // those that the file names
	runs uint64          // of quota managers so far
}

// JoinRegions has the teams of a regions file share their limits with other regions. It is
// called before the first step. The file's ceilings and the guarantees in this region take the
// place of the settings'; teams that the file does not name keep those.
func (c *Core) JoinRegions(p *plan.Plan, self string) {
	c.regions = regions{plan: p, self: self, team: map[string]bool{}}
	settings := *c.cfg
	settings.Deployment.Teams = append([]config.Team(nil), settings.Deployment.Teams...)
	c.cfg = &settings
	for i := range p.Teams {
		team := &p.Teams[i]
		share := team.Share(self)
		c.regions.team[team.Name] = true
		planned := config.Team{Name: team.Name, CPUs: share.CPUs, CPUsMax: team.CPUsMax, GPUs: share.GPUs, GPUsMax: team.GPUsMax}
		if t := c.team(planned.Name); t != nil {
			*t = planned
		} else {
			settings.Deployment.Teams = append(settings.Deployment.Teams, planned)
		}
	}
}

// RegionInput is a message of another region.
type RegionInput struct {
	Message *wire.RegionMessage
}

// handle takes the message to the leader.
func (r RegionInput) handle(c *Core) {
	switch leader := c.elect.Leader(); {
	case c.regions.plan == nil:
	case c.lead != nil:
		c.lead.onRegionMessage(r.Message)
	case leader != "" && leader != c.cfg.Name:
		c.send(leader, &wire.PeerMessage{Region: r.Message})
	}
}

// onRegionMessage takes in another region's message, once the records are loaded.
func (l *leader) onRegionMessage(m *wire.RegionMessage) {
	if l.quota != nil && m != nil {
		l.quota.Receive(m)
	}
}

// messagesPerReport is how many complete messages other regions get in a report's time.
const messagesPerReport = 2

// startQuota begins to share limits with other regions, once it is known what runs.
func (l *leader) startQuota() {
	if l.c.regions.plan == nil {
		return
	}
	l.regionDemands = map[string]balance.Demand{}
	l.quota = quota.New(quota.Config{
		Region: l.c.regions.self, Plan: l.c.regions.plan, Every: l.c.report() / messagesPerReport,
		MaxWrites: l.c.store.MaxWrites(), MaxValue: l.c.store.MaxValue(), Log: l.c.log,
	}, quotaStore{l}, quotaHost{l})
}

// tickQuota does what is due towards other regions.
func (l *leader) tickQuota() {
	if l.quota == nil {
		return
	}
	if f := l.quotaRetry; f != nil && l.c.now >= l.quotaRetryAt {
		l.quotaRetry = nil
		f()
	}
	l.quota.Tick()
}

// shareLimit is what a team's tasks may use in this region now.
func (l *leader) shareLimit(team string) teamlimit.Limit {
	cpus, gpus := l.quota.Limit(team).Units()
	return teamlimit.Limit{CPUs: cpus, GPUs: gpus}
}

// shares tells whether a team's limit is shared with other regions.
func (l *leader) shares(team string) bool { return l.c.regions.team[team] && l.quota != nil }

// regionDemand collects what a rental plan finds that teams use and lack of their shares.
type regionDemand struct {
	l       *leader
	byTeam  map[string]balance.Demand
	growing bool // some team lacks more than at the last plan
}

func (l *leader) newRegionDemand() *regionDemand {
	if l.quota == nil {
		return nil
	}
	return &regionDemand{l: l, byTeam: map[string]balance.Demand{}}
}

// noteShort notes that n of a candidate's tasks wait for the share alone.
func (d *regionDemand) noteShort(c *candidate, n int) {
	if d == nil || !d.l.shares(c.job.Team) || n < 1 {
		return
	}
	demand := d.byTeam[c.job.Team]
	need := amount.OfResources(times(size(&c.job.Job), n))
	switch {
	case c.job.Shape != wire.ShapeGang:
		demand.Short = demand.Short.Add(need)
		demand.Rank = max(demand.Rank, c.job.rank)
	case demand.Gang.IsZero():
		demand.Gang, demand.GangRank = need, c.job.rank
	}
	d.byTeam[c.job.Team] = demand
}

// finish takes over what was found: planned is by team what tasks use or have room for.
func (d *regionDemand) finish(planned map[string]topology.Resources) {
	if d == nil {
		return
	}
	planned = maps.Clone(planned)
	for _, j := range d.l.order {
		if n := d.l.reservedFor(j); n > 0 {
			planned[j.Team] = planned[j.Team].Add(times(size(&j.Job), n))
		}
	}
	for _, team := range sortedKeys(planned) {
		demand := d.byTeam[team]
		demand.Planned = amount.OfResources(planned[team])
		d.byTeam[team] = demand
	}
	for team, now := range d.byTeam {
		before := d.l.regionDemands[team]
		d.growing = d.growing || !before.Short.Covers(now.Short) || !before.Gang.Covers(now.Gang)
	}
	d.l.regionDemands = d.byTeam
	if d.growing {
		d.l.quota.DemandChanged()
	}
}

// quotaStore is the state service as a quota manager uses it.
type quotaStore struct{ l *leader }

// Load reads all records below a prefix.
func (s quotaStore) Load(prefix string, done func([]wire.Item)) { s.loadAfter(prefix, "", nil, done) }

func (s quotaStore) loadAfter(prefix, after string, items []wire.Item, done func([]wire.Item)) {
	s.l.c.store.ListUrgent(prefix, after, func(r kv.ListResult) {
		p := &r.Page
		switch {
		case s.l.deposed:
		case r.Status != kv.OK:
			s.l.quotaRetry = func() { s.loadAfter(prefix, after, items, done) }
			s.l.quotaRetryAt = s.l.c.now + s.l.c.ttl()/20
		case p.More && len(p.Items) > 0:
			s.loadAfter(prefix, p.Items[len(p.Items)-1].Key, append(items, p.Items...), done)
		default:
			done(append(items, p.Items...))
		}
	})
}

// Commit carries out a transaction.
func (s quotaStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	s.l.c.store.Commit(txn, func(r kv.TxnResult) {
		if !s.l.deposed {
			done(r)
		}
	})
}

// quotaHost is the leader as a quota manager sees it.
type quotaHost struct{ l *leader }

// Now is the steady time.
func (h quotaHost) Now() time.Duration { return h.l.c.now }

// NewRun makes a number of this process's boot and a count: it differs from those of other
// processes as boots do.
func (h quotaHost) NewRun() uint64 {
	c := h.l.c
	c.regions.runs++
	run := mix(c.boot ^ mix(c.regions.runs))
	return max(run, 1)
}

// mix spreads the bits of a number: the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Term is the condition under which this leader writes.
func (h quotaHost) Term() wire.Cond { return h.l.termCond() }

// Send sends a message to another region.
func (h quotaHost) Send(region string, m *wire.RegionMessage) {
	h.l.c.out.RegionSends = append(h.l.c.out.RegionSends, RegionSend{To: region, Message: m})
}

// Demand is what the region does with a team's share. What the last plan found is raised to
// what is used and reserved at this moment.
func (h quotaHost) Demand(team string) balance.Demand {
	d := h.l.regionDemands[team]
	if !h.l.used.Started() {
		h.l.addUpUsage()
	}
	now := h.l.used.Of(team).Add(h.l.reservedNow().Total(team))
	d.Planned = d.Planned.Max(amount.OfResources(now))
	return d
}

// reservationCache is what was reserved of the teams' limits at a time: one message asks for
// every team.
type reservationCache struct {
	at       time.Duration
	reserved teamlimit.Reservations // nil after a placement pass
}

// reservedNow is limitReservations, found once for each time.
func (l *leader) reservedNow() teamlimit.Reservations {
	if c := &l.reservedOf; c.reserved == nil || c.at != l.c.now {
		*c = reservationCache{at: l.c.now, reserved: l.limitReservations()}
	}
	return l.reservedOf.reserved
}

// SharesChanged has waiting work tried again.
func (h quotaHost) SharesChanged() { h.l.passes.requested = true }

// TermChanged ends the leadership.
func (h quotaHost) TermChanged() {
	if !h.l.deposed {
		h.l.c.stepDown(stepDownTermChanged)
	}
}
