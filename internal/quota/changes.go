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

// pendingChange is the one transaction that is under way. Until it is known whether it took effect
// it is sent again and again, and nothing else is begun.
type pendingChange struct {
	change  *ledger.Change
	debits  []ledger.Part // what it takes from this region's shares
	retryAt time.Duration // when it is sent again; 0 while an answer is awaited
}

// startNext begins the next transaction on the ledger, if there is one to begin.
func (m *Manager) startNext() {
	if m.ledger == nil || m.pending != nil {
		return
	}
	for _, next := range []func() *pendingChange{m.confirmIncarnation, m.recordFence, m.createShares, m.handshake, m.credit, m.debit, m.acknowledge} {
		if change := next(); change != nil {
			m.pending = change
			m.commit()
			return
		}
	}
}

// commit sends the transaction under way.
func (m *Manager) commit() {
	pending := m.pending
	pending.retryAt = 0
	m.store.Commit(pending.change.Txn, func(result kv.TxnResult) {
		if m.pending == pending {
			m.onCommitted(pending, result)
		}
	})
}

// onCommitted takes in the answer to the transaction under way.
func (m *Manager) onCommitted(pending *pendingChange, result kv.TxnResult) {
	switch {
	case result.Committed():
		m.pending = nil
		pending.change.OnCommitted(result.Revision)
		if err := m.ledger.CheckInvariants(); err != nil {
			m.fenceReason = err.Error()
		}
		m.startNext()
		m.sendDue()
	case result.Status == kv.Conflict && slices.Contains(result.Conflicts, m.host.Term().Key):
		m.host.TermChanged()
	case result.Status == kv.Conflict:
		// An earlier copy of it took effect, or the records are not those that were read.
		m.pending = nil
		m.load()
	case result.Status == kv.Rejected:
		m.reduceLimits(len(pending.change.Txn.Writes))
		m.pending = nil
		m.load()
	default:
		pending.retryAt = m.host.Now() + m.MessageInterval/retryDivisor
	}
}

// Bounds below which transactions are not made smaller.
const (
	minWrites     = 2 // a link and a share
	minValueBytes = 2 * maxPartBytes * maxUnacknowledged
)

// reduceLimits makes later transactions smaller: the service's limits are lower than they were said
// to be, or have fallen.
func (m *Manager) reduceLimits(writes int) {
	m.MaxWrites = max(minWrites, writes/2)
	m.MaxValueBytes = max(minValueBytes, m.MaxValueBytes/2)
	m.Log.Info("the state service takes smaller quota transactions", "writes", m.MaxWrites, "value_bytes", m.MaxValueBytes)
}

// retryPending sends the transaction under way again, once it has had no answer.
func (m *Manager) retryPending() {
	if m.pending != nil && m.pending.retryAt != 0 && m.host.Now() >= m.pending.retryAt {
		m.commit()
	}
}

// confirmIncarnation confirms that this leader still leads since another region's run was first heard.
// From then on nothing of that region's earlier runs is taken.
func (m *Manager) confirmIncarnation() *pendingChange {
	for _, remote := range m.remotes {
		if remote.candidateIncarnation == 0 {
			continue
		}
		incarnation := remote.candidateIncarnation
		txn := &wire.Txn{Conditions: []wire.Condition{m.host.Term()}, Writes: []wire.Write{}}
		return &pendingChange{change: &ledger.Change{Txn: txn, OnCommitted: func(uint64) {
			remote.confirmedIncarnation, remote.confirmedAtSequence, remote.sequence = incarnation, m.sequence, 0
			remote.claims, remote.transfers, remote.offers, remote.hasOffers = nil, nil, nil, false
			if remote.candidateIncarnation == incarnation {
				remote.candidateIncarnation = 0
			}
			remote.urgent = true
		}}}
	}
	return nil
}

// recordFence puts on record that the region may grant nothing.
func (m *Manager) recordFence() *pendingChange {
	if m.fenceReason == "" || !m.complete() || m.ledger.FenceReason() != "" {
		return nil
	}
	return &pendingChange{change: m.ledger.Fence(m.host.Term(), m.fenceReason).Then(func(uint64) {
		m.Log.Error("region is fenced and grants nothing", "region", m.Region, "why", m.fenceReason)
	})}
}

// createShares puts first shares on record: those of a region that no other one knows, and those of
// teams that are new to the file. Every other region has to have the same file and to be heard.
func (m *Manager) createShares() *pendingChange {
	if m.fenced() || m.complete() && !m.verified() {
		return nil
	}
	for _, remote := range m.remotes {
		if !remote.hasConfirmed || remote.planFingerprint != m.planFingerprint || !m.complete() && remote.knownEpoch != 0 || m.complete() && !remote.hasOffers {
			return nil
		}
	}
	var missing []string
	for i := range m.Plan.Teams {
		name := m.Plan.Teams[i].Name
		if _, ok := m.ledger.Share(name); !ok && m.initialSharesAgree(name) {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return &pendingChange{change: m.ledger.AddShares(m.host.Term(), missing[:min(len(missing), m.MaxWrites)], m.initialShare)}
	}
	if !m.complete() {
		m.Log.Info("quota ledger created", "region", m.Region, "teams", len(m.ledger.Teams()))
		return &pendingChange{change: m.ledger.Complete(m.host.Term(), m.host.NewIncarnation())}
	}
	return nil
}

// initialShare is what the file gives the region of a team.
func (m *Manager) initialShare(team string) ledger.Share {
	index := slices.IndexFunc(m.Plan.Teams, func(t plan.Team) bool { return t.Name == team })
	part := m.Plan.Teams[index].InitialShare(m.Region)
	return ledger.Share{Limit: part.Limit, Guarantee: part.Guarantee, Owned: part.Owned, PlanFingerprint: m.planFingerprint}
}

// initialSharesAgree tells whether no other region has shares of a team from another file.
func (m *Manager) initialSharesAgree(team string) bool {
	for _, remote := range m.remotes {
		if offer, ok := remote.offers[team]; ok && offer.Plan != m.planFingerprint {
			return false
		}
	}
	return true
}

// handshake puts on record which ledger another region has.
func (m *Manager) handshake() *pendingChange {
	if !m.complete() || m.fenced() {
		return nil
	}
	for _, remote := range m.remotes {
		if remote.confirmedIncarnation != 0 && remote.epoch != 0 && m.ledger.Link(remote.name).RemoteEpoch == 0 {
			change := m.ledger.Handshake(m.host.Term(), remote.name, remote.epoch)
			return &pendingChange{change: change.Then(func(uint64) { remote.urgent = true })}
		}
	}
	return nil
}

// credit adds the next transfer from another region.
func (m *Manager) credit() *pendingChange {
	if !m.verified() {
		return nil
	}
	for _, remote := range m.remotes {
		next := remote.nextTransfer(m.ledger.Link(remote.name).Received)
		if next == nil {
			continue
		}
		transfer := ledger.Transfer{Number: next.Number}
		for _, share := range next.Parts {
			transfer.Parts = append(transfer.Parts, ledger.Part{Team: share.Team, Amount: amount.Amount{CPUs: share.CPUs, GPUs: share.GPUs}})
		}
		change := m.ledger.Credit(m.host.Term(), remote.name, remote.received, transfer)
		return &pendingChange{change: change.Then(func(uint64) { m.onCredited(remote, transfer) })}
	}
	return nil
}

// onCredited tells of shares that have come.
func (m *Manager) onCredited(remote *remoteRegion, transfer ledger.Transfer) {
	keptUntil := m.host.Now() + recentCreditFactor*m.MessageInterval
	for _, part := range transfer.Parts {
		m.recentCredits[part.Team] = append(m.recentCredits[part.Team], recentCredit{part.Amount, keptUntil})
		m.Log.Debug("share received", "team", part.Team, "amount", part.Amount, "from", remote.name, "transfer", transfer.Number)
	}
	remote.urgent, remote.lastLinkWrite = true, m.host.Now()
	m.host.SharesChanged()
}

// debit hands shares to a region that has asked for them.
func (m *Manager) debit() *pendingChange {
	if !m.verified() {
		return nil
	}
	for _, remote := range m.remotes {
		link := m.ledger.Link(remote.name)
		if len(remote.claims) == 0 || len(link.Unacknowledged) >= maxUnacknowledged || !m.reachable(remote) || remote.lastDebit != 0 && m.host.Now()-remote.lastDebit < m.MessageInterval/debitDivisor {
			continue
		}
		parts := m.partsFor(remote, &link)
		remote.claims = nil // answered; what is still wanted comes with the next message
		if len(parts) == 0 {
			continue
		}
		change, err := m.ledger.Debit(m.host.Term(), remote.name, remote.received, parts)
		if err != nil {
			m.Log.Error("share not given", "err", err)
			continue
		}
		return &pendingChange{debits: parts, change: change.Then(func(uint64) {
			for _, part := range parts {
				m.Log.Debug("share given", "team", part.Team, "amount", part.Amount, "to", remote.name, "transfer", link.Sent+1)
			}
			remote.urgent = true
			remote.lastDebit, remote.lastLinkWrite = m.host.Now(), m.host.Now()
		})}
	}
	return nil
}

// partsFor decides what a region gets for its claims.
func (m *Manager) partsFor(remote *remoteRegion, link *ledger.Link) []ledger.Part {
	var parts []ledger.Part
	most := min(maxTransferParts, m.MaxWrites-1, m.MaxValueBytes/maxPartBytes/maxUnacknowledged)
	seen := map[string]bool{}
	for _, request := range remote.claims {
		if _, ok := m.ledger.Share(request.Team); !ok || seen[request.Team] || len(parts) >= most {
			continue
		}
		seen[request.Team] = true
		claim := balance.Claim{Need: amount.Amount{CPUs: request.NeedCPUs, GPUs: request.NeedGPUs}.NonNegative(),
			Reserve: amount.Amount{CPUs: request.ReserveCPUs, GPUs: request.ReserveGPUs}.NonNegative(), Priority: request.Rank, Gang: request.Gang, Region: remote.index}
		// What is on its way already was claimed before it could arrive.
		inTransit := link.InTransit(request.Team, remote.claimsReceived)
		claim.Reserve = claim.Reserve.Sub(inTransit.Sub(claim.Need).NonNegative()).NonNegative()
		claim.Need = claim.Need.Sub(inTransit).NonNegative()
		holding := m.holding(request.Team)
		if granted := holding.Grant(m.regionIndex, claim, m.offersOf(request.Team)); !granted.IsZero() {
			parts = append(parts, ledger.Part{Team: request.Team, Amount: granted})
		}
	}
	return parts
}

// acknowledge forgets transfers that have arrived. The next transfer of the link does so as
// well, so that this is seldom worth a write of its own.
func (m *Manager) acknowledge() *pendingChange {
	if !m.verified() {
		return nil
	}
	for _, remote := range m.remotes {
		if len(m.ledger.Link(remote.name).Unacknowledged) < maxUnacknowledged && m.host.Now()-remote.lastLinkWrite < acknowledgeFactor*m.MessageInterval {
			continue
		}
		if change := m.ledger.Acknowledge(m.host.Term(), remote.name, remote.received); change != nil {
			return &pendingChange{change: change}
		}
	}
	return nil
}
