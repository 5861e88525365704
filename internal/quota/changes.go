package quota

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// running is the one transaction that is under way. Until it is known whether it took effect
// it is sent again and again, and nothing else is begun.
type running struct {
	change  *ledger.Change
	giving  []ledger.Part // what it takes from this region's shares
	retryAt time.Duration // when it is sent again; 0 while an answer is awaited
}

// advance begins the next transaction on the ledger, if there is one to begin.
func (m *Manager) advance() {
	if m.ledger == nil || m.running != nil {
		return
	}
	for _, next := range []func() *running{m.confirmRun, m.putFence, m.create, m.meet, m.take, m.give, m.acknowledge} {
		if r := next(); r != nil {
			m.running = r
			m.commit()
			return
		}
	}
}

// commit sends the transaction under way.
func (m *Manager) commit() {
	r := m.running
	r.retryAt = 0
	m.store.Commit(r.change.Txn, func(result kv.TxnResult) {
		if m.running == r {
			m.committed(r, result)
		}
	})
}

// committed takes in the answer to the transaction under way.
func (m *Manager) committed(r *running, result kv.TxnResult) {
	switch {
	case result.Committed():
		m.running = nil
		r.change.Done(result.Revision)
		if err := m.ledger.Invariant(); err != nil {
			m.fence = err.Error()
		}
		m.advance()
		m.sendDue()
	case result.Status == kv.Conflict && slices.Contains(result.Conflicts, m.host.Term().Key):
		m.host.TermChanged()
	case result.Status == kv.Conflict:
		// An earlier copy of it took effect, or the records are not those that were read.
		m.running = nil
		m.load()
	case result.Status == kv.Rejected:
		m.shrink(len(r.change.Txn.Writes))
		m.running = nil
		m.load()
	default:
		r.retryAt = m.host.Now() + m.Every/retryPart
	}
}

// Bounds below which transactions are not made smaller.
const (
	leastWrites = 2 // a link and a share
	leastValue  = 2 * partSize * maxOut
)

// shrink makes later transactions smaller: the service's limits are lower than they were said
// to be, or have fallen.
func (m *Manager) shrink(writes int) {
	m.MaxWrites = max(leastWrites, writes/2)
	m.MaxValue = max(leastValue, m.MaxValue/2)
	m.Log.Info("the state service takes smaller quota transactions", "writes", m.MaxWrites, "value_bytes", m.MaxValue)
}

// retry sends the transaction under way again, once it has had no answer.
func (m *Manager) retry() {
	if m.running != nil && m.running.retryAt != 0 && m.host.Now() >= m.running.retryAt {
		m.commit()
	}
}

// confirmRun confirms that this leader still leads since another region's run was first heard.
// From then on nothing of that region's earlier runs is taken.
func (m *Manager) confirmRun() *running {
	for _, p := range m.peers {
		if p.candidate == 0 {
			continue
		}
		run := p.candidate
		txn := &wire.Txn{If: []wire.Cond{m.host.Term()}, Writes: []wire.Write{}}
		return &running{change: &ledger.Change{Txn: txn, Done: func(uint64) {
			p.confirmed, p.confirmedAt, p.sequence = run, m.sequence, 0
			p.claims, p.transfers, p.offers, p.hasOffers = nil, nil, nil, false
			if p.candidate == run {
				p.candidate = 0
			}
			p.urgent = true
		}}}
	}
	return nil
}

// putFence puts on record that the region may grant nothing.
func (m *Manager) putFence() *running {
	if m.fence == "" || !m.complete() || m.ledger.Fenced() != "" {
		return nil
	}
	return &running{change: m.ledger.Fence(m.host.Term(), m.fence).Then(func(uint64) {
		m.Log.Error("region is fenced and grants nothing", "region", m.Region, "why", m.fence)
	})}
}

// create puts first shares on record: those of a region that no other one knows, and those of
// teams that are new to the file. Every other region has to have the same file and to be heard.
func (m *Manager) create() *running {
	if m.fenced() || m.complete() && !m.trusted() {
		return nil
	}
	for _, p := range m.peers {
		if !p.vouched || p.plan != m.plan || !m.complete() && p.knownEpoch != 0 || m.complete() && !p.hasOffers {
			return nil
		}
	}
	var missing []string
	for i := range m.Plan.Teams {
		name := m.Plan.Teams[i].Name
		if _, ok := m.ledger.Share(name); !ok && m.sameFirstShares(name) {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return &running{change: m.ledger.AddShares(m.host.Term(), missing[:min(len(missing), m.MaxWrites)], m.firstShare)}
	}
	if !m.complete() {
		m.Log.Info("quota ledger created", "region", m.Region, "teams", len(m.ledger.Teams()))
		return &running{change: m.ledger.Complete(m.host.Term(), m.host.NewRun())}
	}
	return nil
}

// firstShare is what the file gives the region of a team.
func (m *Manager) firstShare(team string) ledger.Share {
	i := slices.IndexFunc(m.Plan.Teams, func(t plan.Team) bool { return t.Name == team })
	part := m.Plan.Teams[i].Part(m.Region)
	return ledger.Share{Ceiling: part.Ceiling, Floor: part.Floor, Owned: part.Owned, Plan: m.plan}
}

// sameFirstShares tells whether no other region has shares of a team from another file.
func (m *Manager) sameFirstShares(team string) bool {
	for _, p := range m.peers {
		if o, ok := p.offers[team]; ok && o.Plan != m.plan {
			return false
		}
	}
	return true
}

// meet puts on record which ledger another region has.
func (m *Manager) meet() *running {
	if !m.complete() || m.fenced() {
		return nil
	}
	for _, p := range m.peers {
		if p.confirmed != 0 && p.epoch != 0 && m.ledger.Link(p.name).PeerEpoch == 0 {
			change := m.ledger.Meet(m.host.Term(), p.name, p.epoch)
			return &running{change: change.Then(func(uint64) { p.urgent = true })}
		}
	}
	return nil
}

// take adds the next transfer from another region.
func (m *Manager) take() *running {
	if !m.trusted() {
		return nil
	}
	for _, p := range m.peers {
		t := p.nextTransfer(m.ledger.Link(p.name).Received)
		if t == nil {
			continue
		}
		transfer := ledger.Transfer{Number: t.Number}
		for _, s := range t.Parts {
			transfer.Parts = append(transfer.Parts, ledger.Part{Team: s.Team, Amount: amount.Amount{CPUs: s.CPUs, GPUs: s.GPUs}})
		}
		change := m.ledger.Take(m.host.Term(), p.name, p.received, transfer)
		return &running{change: change.Then(func(uint64) { m.taken(p, transfer) })}
	}
	return nil
}

// taken tells of shares that have come.
func (m *Manager) taken(p *peer, t ledger.Transfer) {
	until := m.host.Now() + freshTimes*m.Every
	for _, part := range t.Parts {
		m.fresh[part.Team] = append(m.fresh[part.Team], freshShare{part.Amount, until})
		m.Log.Debug("share received", "team", part.Team, "amount", part.Amount, "from", p.name, "transfer", t.Number)
	}
	p.urgent, p.wroteAt = true, m.host.Now()
	m.host.SharesChanged()
}

// give hands shares to a region that has asked for them.
func (m *Manager) give() *running {
	if !m.trusted() {
		return nil
	}
	for _, p := range m.peers {
		link := m.ledger.Link(p.name)
		if len(p.claims) == 0 || len(link.Out) >= maxOut || !m.inReach(p) || p.gaveAt != 0 && m.host.Now()-p.gaveAt < m.Every/givePart {
			continue
		}
		parts := m.partsFor(p, &link)
		p.claims = nil // answered; what is still wanted comes with the next message
		if len(parts) == 0 {
			continue
		}
		change, err := m.ledger.Give(m.host.Term(), p.name, p.received, parts)
		if err != nil {
			m.Log.Error("share not given", "err", err)
			continue
		}
		return &running{giving: parts, change: change.Then(func(uint64) {
			for _, part := range parts {
				m.Log.Debug("share given", "team", part.Team, "amount", part.Amount, "to", p.name, "transfer", link.Sent+1)
			}
			p.urgent = true
			p.gaveAt, p.wroteAt = m.host.Now(), m.host.Now()
		})}
	}
	return nil
}

// partsFor decides what a region gets for its claims.
func (m *Manager) partsFor(p *peer, link *ledger.Link) []ledger.Part {
	var parts []ledger.Part
	most := min(maxParts, m.MaxWrites-1, m.MaxValue/partSize/maxOut)
	seen := map[string]bool{}
	for _, c := range p.claims {
		if _, ok := m.ledger.Share(c.Team); !ok || seen[c.Team] || len(parts) >= most {
			continue
		}
		seen[c.Team] = true
		claim := balance.Claim{Need: amount.Amount{CPUs: c.NeedCPUs, GPUs: c.NeedGPUs}.Positive(),
			Reserve: amount.Amount{CPUs: c.ReserveCPUs, GPUs: c.ReserveGPUs}.Positive(), Rank: c.Rank, Gang: c.Gang, Region: p.index}
		// What is on its way already was claimed before it could arrive.
		under := link.OnTheWay(c.Team, p.claimsAt)
		claim.Reserve = claim.Reserve.Sub(under.Sub(claim.Need).Positive()).Positive()
		claim.Need = claim.Need.Sub(under).Positive()
		h := m.holding(c.Team)
		if given := h.Grant(m.self, claim, m.offersOf(c.Team)); !given.IsZero() {
			parts = append(parts, ledger.Part{Team: c.Team, Amount: given})
		}
	}
	return parts
}

// acknowledge forgets transfers that have arrived. The next transfer of the link does so as
// well, so that this is seldom worth a write of its own.
func (m *Manager) acknowledge() *running {
	if !m.trusted() {
		return nil
	}
	for _, p := range m.peers {
		if len(m.ledger.Link(p.name).Out) < maxOut && m.host.Now()-p.wroteAt < ackTimes*m.Every {
			continue
		}
		if c := m.ledger.Acknowledge(m.host.Term(), p.name, p.received); c != nil {
			return &running{change: c}
		}
	}
	return nil
}
