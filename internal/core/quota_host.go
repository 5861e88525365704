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

// quotaMessagesPerHeartbeat is the number of full messages sent to each other region per
// heartbeat interval.
const quotaMessagesPerHeartbeat = 2

// quotaRetriesPerLease is how often a failed read of the quota records is retried per leader lease.
const quotaRetriesPerLease = 20

// startQuota starts to share limits with other regions. It is called once the records are loaded,
// so that it is known which tasks run.
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

// tickQuota retries a failed read of quota records, and runs the periodic work of the quota
// manager.
func (l *leader) tickQuota() {
	if l.quota == nil {
		return
	}
	if retry := l.retryQuotaLoad; retry != nil && l.core.now >= l.quotaRetryAt {
		l.retryQuotaLoad = nil
		retry()
	}
	l.quota.Tick()
}

// shareLimit returns this region's current share of a team's limit.
func (l *leader) shareLimit(team string) teamlimit.Limit {
	cpus, gpus := l.quota.Limit(team).Units()
	return teamlimit.Limit{CPUs: cpus, GPUs: gpus}
}

// sharesLimit reports whether a team's limit is shared with other regions.
func (l *leader) sharesLimit(team string) bool {
	return l.core.regions.sharedTeams[team] && l.quota != nil
}

// quotaStore provides the key-value store to a quota manager. Results that arrive after the leader
// has stepped down are dropped.
type quotaStore struct{ leader *leader }

// Load reads all records under a prefix.
func (s quotaStore) Load(prefix string, done func([]wire.Item)) {
	load := &quotaLoad{leader: s.leader, prefix: prefix, done: done}
	load.readAfter("")
}

// Commit executes a transaction.
func (s quotaStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	s.leader.core.store.Commit(txn, func(r kv.TxnResult) {
		if !s.leader.steppedDown {
			done(r)
		}
	})
}

// quotaLoad reads all records under a prefix, page by page.
type quotaLoad struct {
	leader *leader
	prefix string
	items  []wire.Item // of the pages read so far
	done   func([]wire.Item)
}

// readAfter reads the pages after a key. A failed read of a page is retried at a later tick.
func (q *quotaLoad) readAfter(after string) {
	q.leader.core.store.ListUrgent(q.prefix, after, func(r kv.ListResult) {
		switch {
		case q.leader.steppedDown:
		case r.Status != kv.OK:
			q.leader.retryQuotaLoad = func() { q.readAfter(after) }
			q.leader.quotaRetryAt = q.leader.core.now + q.leader.core.leaderLeaseDuration()/quotaRetriesPerLease
		default:
			q.onPage(&r.Page)
		}
	})
}

// onPage adds a page, and reads the next one or completes the load.
func (q *quotaLoad) onPage(page *wire.Page) {
	q.items = append(q.items, page.Items...)
	if page.More && len(page.Items) > 0 {
		q.readAfter(page.Items[len(page.Items)-1].Key)
		return
	}
	q.done(q.items)
}

// quotaHost implements quota.Host for a leader.
type quotaHost struct{ leader *leader }

// Now returns the monotonic time.
func (h quotaHost) Now() time.Duration { return h.leader.core.now }

// NewIncarnation returns the incarnation of a new quota manager, never 0. It is a hash of the
// process's incarnation, which no other process has, and a counter.
func (h quotaHost) NewIncarnation() uint64 {
	core := h.leader.core
	core.regions.managersCreated++
	incarnation := splitMix64(core.incarnation ^ splitMix64(core.regions.managersCreated))
	return max(incarnation, 1)
}

// splitMix64 mixes the bits of a number, with the increment and the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Term returns the condition of this leader's writes: that no later term has begun.
func (h quotaHost) Term() wire.Condition { return h.leader.termCondition() }

// Send sends a message to another region.
func (h quotaHost) Send(region string, message *wire.RegionMessage) {
	out := &h.leader.core.out
	out.RegionSends = append(out.RegionSends, RegionSend{To: region, Message: message})
}

// Demand returns the region's demand for a team's limit, as found by the last plan. Its planned
// amount is raised to at least what is used and reserved now.
func (h quotaHost) Demand(team string) balance.Demand {
	demand := h.leader.regionDemands[team]
	if !h.leader.teamUsage.IsCounting() {
		h.leader.recountUsage()
	}
	current := h.leader.teamUsage.ForTeam(team).Add(h.leader.currentReservations().Total(team))
	demand.Planned = demand.Planned.Max(amount.OfResources(current))
	return demand
}

// SharesChanged requests a placement pass, because waiting tasks may be within the limits now.
func (h quotaHost) SharesChanged() { h.leader.passes.requested = true }

// TermChanged makes the leader step down.
func (h quotaHost) TermChanged() {
	if !h.leader.steppedDown {
		h.leader.core.stepDown(stepDownTermChanged)
	}
}

// reservationCache caches what is reserved of the teams' limits at one time, because each message
// to another region queries it for every team.
type reservationCache struct {
	at       time.Duration
	reserved teamlimit.Reservations // nil after a placement pass
}

// currentReservations returns limitReservations, computed once per step and after each placement
// pass.
func (l *leader) currentReservations() teamlimit.Reservations {
	if cache := &l.reservations; cache.reserved == nil || cache.at != l.core.now {
		*cache = reservationCache{at: l.core.now, reserved: l.limitReservations()}
	}
	return l.reservations.reserved
}
