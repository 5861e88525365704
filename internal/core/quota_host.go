package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// quotaMessagesPerHeartbeat is how many full messages other regions are sent in one
// heartbeat interval.
const quotaMessagesPerHeartbeat = 2

// quotaRetriesPerLease is how often the quota's records are read again within a leader's lease
// while that fails.
const quotaRetriesPerLease = 20

// startQuota begins to share limits with other regions, once it is known which tasks run.
func (l *leader) startQuota() {
	if l.core.regions.plan == nil {
		return
	}
	l.regionDemands = map[string]balance.Demand{}
	l.quota = quota.New(quota.Config{
		Region:          l.core.regions.self,
		Plan:            l.core.regions.plan,
		MessageInterval: l.core.heartbeatInterval() / quotaMessagesPerHeartbeat,
		MaxWrites:       l.core.store.MaxWrites(),
		MaxValueBytes:   l.core.store.MaxValue(),
		Log:             l.core.log,
	}, quotaStore{l}, quotaHost{l})
}

// tickQuota retries a failed read, and runs the periodic work of the quota manager.
func (l *leader) tickQuota() {
	if l.quota == nil {
		return
	}
	if retry := l.quotaLoadRetry; retry != nil && l.core.now >= l.quotaRetryAt {
		l.quotaLoadRetry = nil
		retry()
	}
	l.quota.Tick()
}

// shareLimit is what a team's tasks may use in this region now.
func (l *leader) shareLimit(team string) teamlimit.Limit {
	cpus, gpus := l.quota.Limit(team).Units()
	return teamlimit.Limit{CPUs: cpus, GPUs: gpus}
}

// sharesLimit reports whether a team's limit is shared with other regions.
func (l *leader) sharesLimit(team string) bool {
	return l.core.regions.sharedTeams[team] && l.quota != nil
}

// quotaStore is the key-value store as a quota manager uses it. Results that come after the
// leader has stepped down are dropped.
type quotaStore struct{ leader *leader }

// Load reads all records below a prefix.
func (s quotaStore) Load(prefix string, done func([]wire.Item)) {
	load := &quotaLoad{leader: s.leader, prefix: prefix, done: done}
	load.readAfter("")
}

// Commit carries out a transaction.
func (s quotaStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	s.leader.core.store.Commit(txn, func(r kv.TxnResult) {
		if !s.leader.steppedDown {
			done(r)
		}
	})
}

// quotaLoad reads all records below a prefix, page by page.
type quotaLoad struct {
	leader *leader
	prefix string
	items  []wire.Item // of the pages read so far
	done   func([]wire.Item)
}

// readAfter reads the pages after a key. A page that could not be read is read again at a later
// tick.
func (q *quotaLoad) readAfter(after string) {
	q.leader.core.store.ListUrgent(q.prefix, after, func(r kv.ListResult) {
		switch {
		case q.leader.steppedDown:
		case r.Status != kv.OK:
			q.leader.quotaLoadRetry = func() { q.readAfter(after) }
			q.leader.quotaRetryAt = q.leader.core.now + q.leader.core.leaderLeaseDuration()/quotaRetriesPerLease
		default:
			q.onPage(&r.Page)
		}
	})
}

// onPage adds a page, and reads the next one.
func (q *quotaLoad) onPage(page *wire.Page) {
	q.items = append(q.items, page.Items...)
	if page.More && len(page.Items) > 0 {
		q.readAfter(page.Items[len(page.Items)-1].Key)
		return
	}
	q.done(q.items)
}

// quotaHost is the leader as a quota manager sees it.
type quotaHost struct{ leader *leader }

// Now is the steady time.
func (h quotaHost) Now() time.Duration { return h.leader.core.now }

// NewIncarnation makes the number of a quota manager's incarnation from the process's own and
// a count: it differs from those of other processes as those of the processes do. It is never
// 0.
func (h quotaHost) NewIncarnation() uint64 {
	core := h.leader.core
	core.regions.managerRuns++
	incarnation := splitMix64(core.incarnation ^ splitMix64(core.regions.managerRuns))
	return max(incarnation, 1)
}

// splitMix64 spreads the bits of a number: the finalizer of splitmix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Term is the condition under which this leader writes.
func (h quotaHost) Term() wire.Condition { return h.leader.termCondition() }

// Send sends a message to another region.
func (h quotaHost) Send(region string, message *wire.RegionMessage) {
	out := &h.leader.core.out
	out.RegionSends = append(out.RegionSends, RegionSend{To: region, Message: message})
}

// Demand is what the region does with a team's share. What the last plan found is raised to
// what is used and reserved at this moment.
func (h quotaHost) Demand(team string) balance.Demand {
	demand := h.leader.regionDemands[team]
	if !h.leader.teamUsage.IsCounting() {
		h.leader.recountUsage()
	}
	current := h.leader.teamUsage.ForTeam(team).Add(h.leader.currentReservations().Total(team))
	demand.Planned = demand.Planned.Max(amount.OfResources(current))
	return demand
}

// SharesChanged requests a placement pass, since waiting work may fit now.
func (h quotaHost) SharesChanged() { h.leader.passes.requested = true }

// TermChanged ends the leadership.
func (h quotaHost) TermChanged() {
	if !h.leader.steppedDown {
		h.leader.core.stepDown(stepDownTermChanged)
	}
}

// reservationCache is what was reserved of the teams' limits at a time: one message asks for
// every team.
type reservationCache struct {
	at       time.Duration
	reserved teamlimit.Reservations // nil after a placement pass
}

// currentReservations is limitReservations, computed once for each time.
func (l *leader) currentReservations() teamlimit.Reservations {
	if cache := &l.reservations; cache.reserved == nil || cache.at != l.core.now {
		*cache = reservationCache{at: l.core.now, reserved: l.limitReservations()}
	}
	return l.reservations.reserved
}
