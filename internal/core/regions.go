package core

import (
	"maps"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	plan        *plan.Plan // nil if they are turned off
	self        string
	sharedTeams map[string]bool // those that the file names
	managerRuns uint64          // of quota managers so far
}

// JoinRegions has the teams of a regions file share their limits with other regions. It is
// called before the first step. The file's ceilings and the guarantees in this region take the
// place of the settings'; teams that the file does not name keep those.
func (c *Core) JoinRegions(p *plan.Plan, self string) {
	c.regions = regions{plan: p, self: self, sharedTeams: map[string]bool{}}
	settings := *c.settings
	settings.Deployment.Teams = append([]config.Team(nil), settings.Deployment.Teams...)
	c.settings = &settings
	for i := range p.Teams {
		team := &p.Teams[i]
		share := team.Share(self)
		c.regions.sharedTeams[team.Name] = true
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

// apply takes the message to the leader.
func (r RegionInput) apply(c *Core) {
	switch leader := c.election.Leader(); {
	case c.regions.plan == nil:
	case c.leader != nil:
		c.leader.onRegionMessage(r.Message)
	case leader != "" && leader != c.settings.Name:
		c.send(leader, &wire.PeerMessage{Region: r.Message})
	}
}

// onRegionMessage takes in another region's message, once the records are loaded.
func (l *leader) onRegionMessage(m *wire.RegionMessage) {
	if l.quota != nil && m != nil {
		l.quota.Receive(m)
	}
}

// quotaMessagesPerHeartbeat is how many complete messages other regions get in a report's time.
const quotaMessagesPerHeartbeat = 2

// startQuota begins to share limits with other regions, once it is known what runs.
func (l *leader) startQuota() {
	if l.core.regions.plan == nil {
		return
	}
	l.regionDemands = map[string]balance.Demand{}
	l.quota = quota.New(quota.Config{
		Region: l.core.regions.self, Plan: l.core.regions.plan, MessageInterval: l.core.heartbeatInterval() / quotaMessagesPerHeartbeat,
		MaxWrites: l.core.store.MaxWrites(), MaxValueBytes: l.core.store.MaxValue(), Log: l.core.log,
	}, quotaStore{l}, quotaHost{l})
}

// tickQuota does what is due towards other regions.
func (l *leader) tickQuota() {
	if l.quota == nil {
		return
	}
	if f := l.quotaLoadRetry; f != nil && l.core.now >= l.quotaRetryAt {
		l.quotaLoadRetry = nil
		f()
	}
	l.quota.Tick()
}

// shareLimit is what a team's tasks may use in this region now.
func (l *leader) shareLimit(team string) teamlimit.Limit {
	cpus, gpus := l.quota.Limit(team).Units()
	return teamlimit.Limit{CPUs: cpus, GPUs: gpus}
}

// sharesLimit tells whether a team's limit is shared with other regions.
func (l *leader) sharesLimit(team string) bool {
	return l.core.regions.sharedTeams[team] && l.quota != nil
}

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

// recordShortage notes that n of a candidate's tasks wait for the share alone.
func (d *regionDemand) recordShortage(candidate *candidate, tasks int) {
	if d == nil || !d.l.sharesLimit(candidate.Job.Team) || tasks < 1 {
		return
	}
	demand := d.byTeam[candidate.Job.Team]
	need := amount.OfResources(cluster.Scaled(cluster.TaskSize(&candidate.Job.Job), tasks))
	switch {
	case candidate.Job.Shape != wire.ShapeGang:
		demand.Shortfall = demand.Shortfall.Add(need)
		demand.Priority = max(demand.Priority, candidate.Job.Level)
	case demand.Gang.IsZero():
		demand.Gang, demand.GangPriority = need, candidate.Job.Level
	}
	d.byTeam[candidate.Job.Team] = demand
}

// finish takes over what was found: planned is by team what tasks use or have room for.
func (d *regionDemand) finish(planned map[string]topology.Resources) {
	if d == nil {
		return
	}
	planned = maps.Clone(planned)
	for _, j := range d.l.JobsBySubmission {
		if n := d.l.reservedTasks(j); n > 0 {
			planned[j.Team] = planned[j.Team].Add(cluster.Scaled(cluster.TaskSize(&j.Job), n))
		}
	}
	for _, team := range sortedKeys(planned) {
		demand := d.byTeam[team]
		demand.Planned = amount.OfResources(planned[team])
		d.byTeam[team] = demand
	}
	for team, now := range d.byTeam {
		before := d.l.regionDemands[team]
		d.growing = d.growing || !before.Shortfall.Covers(now.Shortfall) || !before.Gang.Covers(now.Gang)
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
	s.l.core.store.ListUrgent(prefix, after, func(r kv.ListResult) {
		p := &r.Page
		switch {
		case s.l.steppedDown:
		case r.Status != kv.OK:
			s.l.quotaLoadRetry = func() { s.loadAfter(prefix, after, items, done) }
			s.l.quotaRetryAt = s.l.core.now + s.l.core.leaderLeaseDuration()/20
		case p.More && len(p.Items) > 0:
			s.loadAfter(prefix, p.Items[len(p.Items)-1].Key, append(items, p.Items...), done)
		default:
			done(append(items, p.Items...))
		}
	})
}

// Commit carries out a transaction.
func (s quotaStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	s.l.core.store.Commit(txn, func(r kv.TxnResult) {
		if !s.l.steppedDown {
			done(r)
		}
	})
}

// quotaHost is the leader as a quota manager sees it.
type quotaHost struct{ l *leader }

// Now is the steady time.
func (h quotaHost) Now() time.Duration { return h.l.core.now }

// NewIncarnation makes a number of this process's boot and a count: it differs from those of other
// processes as boots do.
func (h quotaHost) NewIncarnation() uint64 {
	c := h.l.core
	c.regions.managerRuns++
	run := splitMix64(c.incarnation ^ splitMix64(c.regions.managerRuns))
	return max(run, 1)
}

// splitMix64 spreads the bits of a number: the finalizer of splitmix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Term is the condition under which this leader writes.
func (h quotaHost) Term() wire.Condition { return h.l.termCondition() }

// Send sends a message to another region.
func (h quotaHost) Send(region string, m *wire.RegionMessage) {
	h.l.core.out.RegionSends = append(h.l.core.out.RegionSends, RegionSend{To: region, Message: m})
}

// Demand is what the region does with a team's share. What the last plan found is raised to
// what is used and reserved at this moment.
func (h quotaHost) Demand(team string) balance.Demand {
	d := h.l.regionDemands[team]
	if !h.l.teamUsage.Started() {
		h.l.recountUsage()
	}
	now := h.l.teamUsage.ForTeam(team).Add(h.l.currentReservations().Total(team))
	d.Planned = d.Planned.Max(amount.OfResources(now))
	return d
}

// reservationCache is what was reserved of the teams' limits at a time: one message asks for
// every team.
type reservationCache struct {
	at       time.Duration
	reserved teamlimit.Reservations // nil after a placement pass
}

// currentReservations is limitReservations, found once for each time.
func (l *leader) currentReservations() teamlimit.Reservations {
	if c := &l.reservations; c.reserved == nil || c.at != l.core.now {
		*c = reservationCache{at: l.core.now, reserved: l.limitReservations()}
	}
	return l.reservations.reserved
}

// SharesChanged has waiting work tried again.
func (h quotaHost) SharesChanged() { h.l.passes.requested = true }

// TermChanged ends the leadership.
func (h quotaHost) TermChanged() {
	if !h.l.steppedDown {
		h.l.core.stepDown(stepDownTermChanged)
	}
}
