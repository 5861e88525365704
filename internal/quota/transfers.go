package quota

import "github.com/brookwalk/brookwalk/internal/quota/ledger"

// credit returns a change that credits the next transfer from another region; nil if none has been
// received.
func (m *Manager) credit() *pendingChange {
	if !m.ledgerVerified() {
		return nil
	}
	for _, remote := range m.remotes {
		next := remote.nextTransfer(m.ledger.Link(remote.name).Received)
		if next == nil {
			continue
		}
		transfer := transferFromWire(next)
		change := m.ledger.Credit(m.host.Term(), remote.name, remote.lastCredited, transfer)
		return &pendingChange{change: change.Then(func(uint64) { m.onCredited(remote, transfer) })}
	}
	return nil
}

// onCredited marks the shares as recently credited, makes a message that acknowledges them due, and
// notifies the leader that limits have increased.
func (m *Manager) onCredited(remote *remoteRegion, transfer ledger.Transfer) {
	keptUntil := m.host.Now() + recentCreditFactor*m.MessageInterval
	for _, part := range transfer.Parts {
		m.recentCredits[part.Team] = append(m.recentCredits[part.Team], recentCredit{part.Amount, keptUntil})
		m.Log.Debug("shares credited", "team", part.Team, "amount", part.Amount, "region", remote.name, "transfer", transfer.Number)
	}
	remote.urgent, remote.lastLinkWrite = true, m.host.Now()
	m.host.SharesChanged()
}

// debit returns a change that transfers shares to a region that has claimed them; nil if there is
// nothing to transfer.
func (m *Manager) debit() *pendingChange {
	if !m.ledgerVerified() {
		return nil
	}
	for _, remote := range m.remotes {
		link := m.ledger.Link(remote.name)
		if !m.mayDebit(remote, &link) {
			continue
		}
		parts := m.grantedParts(remote, &link)
		remote.claims = nil // handled; the next message repeats what is still needed
		if len(parts) == 0 {
			continue
		}
		change, err := m.ledger.Debit(m.host.Term(), remote.name, remote.lastCredited, parts)
		if err != nil {
			m.Log.Error("shares claimed by region cannot be debited", "region", remote.name, "error", err)
			continue
		}
		transfer := ledger.Transfer{Number: link.Sent + 1, Parts: parts}
		return &pendingChange{debits: parts, change: change.Then(func(uint64) { m.onDebited(remote, transfer) })}
	}
	return nil
}

// mayDebit reports whether a transfer to a region is permitted now: the region has claims, is
// reachable, has acknowledged enough earlier transfers, and the last transfer is long enough ago.
func (m *Manager) mayDebit(remote *remoteRegion, link *ledger.Link) bool {
	if len(remote.claims) == 0 || len(link.Unacknowledged) >= maxUnacknowledged || !m.reachable(remote) {
		return false
	}
	return remote.lastDebit == 0 || m.host.Now()-remote.lastDebit >= m.MessageInterval/minDebitGapDivisor
}

// onDebited makes a message with the transfer due.
func (m *Manager) onDebited(remote *remoteRegion, transfer ledger.Transfer) {
	for _, part := range transfer.Parts {
		m.Log.Debug("shares debited", "team", part.Team, "amount", part.Amount, "region", remote.name, "transfer", transfer.Number)
	}
	remote.urgent = true
	remote.lastDebit, remote.lastLinkWrite = m.host.Now(), m.host.Now()
}

// grantedParts decides what a region is granted for its claims. The number of parts is bounded so
// that the transaction and the link's record stay within the store's limits.
func (m *Manager) grantedParts(remote *remoteRegion, link *ledger.Link) []ledger.Part {
	var parts []ledger.Part
	limit := min(maxTransferParts, m.MaxWrites-1, m.MaxValueBytes/maxPartBytes/maxUnacknowledged)
	seen := map[string]bool{}
	for _, wireClaim := range remote.claims {
		if _, ok := m.ledger.Share(wireClaim.Team); !ok || seen[wireClaim.Team] || len(parts) >= limit {
			continue
		}
		seen[wireClaim.Team] = true
		claim := claimFromWire(wireClaim, remote.index)
		// The claim was sent before the amounts in transit were credited, so it includes them.
		inTransit := link.InTransit(wireClaim.Team, remote.lastCreditedAtClaim)
		claim.Reserve = claim.Reserve.Sub(inTransit.Sub(claim.Need).NonNegative()).NonNegative()
		claim.Need = claim.Need.Sub(inTransit).NonNegative()
		holding := m.holding(wireClaim.Team)
		granted := holding.Grant(m.regionIndex, claim, m.offersOf(wireClaim.Team))
		if !granted.IsZero() {
			parts = append(parts, ledger.Part{Team: wireClaim.Team, Amount: granted})
		}
	}
	return parts
}

// acknowledge returns a change that drops the transfers that a region has credited; nil if there is
// none to drop or it can wait. The next debit or credit of the link drops them without an
// additional write, so a write of its own is needed only if the link is full or has long had no
// transfer.
func (m *Manager) acknowledge() *pendingChange {
	if !m.ledgerVerified() {
		return nil
	}
	for _, remote := range m.remotes {
		full := len(m.ledger.Link(remote.name).Unacknowledged) >= maxUnacknowledged
		if !full && m.host.Now()-remote.lastLinkWrite < acknowledgeFactor*m.MessageInterval {
			continue
		}
		if change := m.ledger.Acknowledge(m.host.Term(), remote.name, remote.lastCredited); change != nil {
			return &pendingChange{change: change}
		}
	}
	return nil
}
