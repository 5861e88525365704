package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// confirmIncarnation confirms that this leader still leads since it first heard of another region's
// incarnation. From then on nothing of that region's earlier incarnations is accepted.
func (m *Manager) confirmIncarnation() *pendingChange {
	for _, remote := range m.remotes {
		if remote.candidateIncarnation == 0 {
			continue
		}
		incarnation := remote.candidateIncarnation
		return &pendingChange{change: &ledger.Change{
			Txn:         &wire.Txn{Conditions: []wire.Condition{m.host.Term()}, Writes: []wire.Write{}},
			OnCommitted: func(uint64) { m.onConfirmed(remote, incarnation) },
		}}
	}
	return nil
}

// onConfirmed accepts an incarnation of a region, and drops what earlier ones have said.
func (m *Manager) onConfirmed(remote *remoteRegion, incarnation uint64) {
	remote.confirmedIncarnation, remote.confirmedAtSequence, remote.newestSequence = incarnation, m.sequence, 0
	remote.claims, remote.transfers, remote.offers, remote.hasOffers = nil, nil, nil, false
	if remote.candidateIncarnation == incarnation {
		remote.candidateIncarnation = 0
	}
	remote.urgent = true
}

// recordFence records that the region may grant nothing.
func (m *Manager) recordFence() *pendingChange {
	if m.fenceReason == "" || !m.ledgerComplete() || m.ledger.FenceReason() != "" {
		return nil
	}
	return &pendingChange{change: m.ledger.Fence(m.host.Term(), m.fenceReason).Then(func(uint64) {
		m.Log.Error("region fenced", "region", m.Region, "reason", m.fenceReason)
	})}
}

// createShares records initial shares: those of a region that no other one knows, and those of
// teams that are new to the file. Once all are recorded it completes the ledger.
func (m *Manager) createShares() *pendingChange {
	if !m.mayCreateShares() {
		return nil
	}
	if missing := m.missingShares(); len(missing) > 0 {
		batch := missing[:min(len(missing), m.MaxWrites)]
		return &pendingChange{change: m.ledger.AddShares(m.host.Term(), batch, m.initialShare)}
	}
	if m.ledgerComplete() {
		return nil
	}
	m.Log.Info("quota ledger created", "region", m.Region, "teams", len(m.ledger.Teams()))
	return &pendingChange{change: m.ledger.Complete(m.host.Term(), m.host.NewIncarnation())}
}

// mayCreateShares reports whether every other region has confirmed this incarnation and has the
// same file, and no other region knows a ledger of this region that is missing here.
func (m *Manager) mayCreateShares() bool {
	if m.fenced() || m.ledgerComplete() && !m.ledgerVerified() {
		return false
	}
	for _, remote := range m.remotes {
		if !remote.hasConfirmed || remote.planFingerprint != m.planFingerprint {
			return false
		}
		if m.ledgerComplete() && !remote.hasOffers || !m.ledgerComplete() && remote.knownEpoch != 0 {
			return false
		}
	}
	return true
}

// missingShares lists the file's teams that have no share yet and may get one.
func (m *Manager) missingShares() []string {
	var missing []string
	for i := range m.Plan.Teams {
		name := m.Plan.Teams[i].Name
		if _, ok := m.ledger.Share(name); !ok && m.initialSharesAgree(name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// initialSharesAgree reports whether no other region has shares of a team from another file.
func (m *Manager) initialSharesAgree(team string) bool {
	for _, remote := range m.remotes {
		if offer, ok := remote.offers[team]; ok && offer.Plan != m.planFingerprint {
			return false
		}
	}
	return true
}

// initialShare is the region's share of a team by the file.
func (m *Manager) initialShare(team string) ledger.Share {
	index := slices.IndexFunc(m.Plan.Teams, func(t plan.Team) bool { return t.Name == team })
	initial := m.Plan.Teams[index].InitialShare(m.Region)
	return ledger.Share{Limit: initial.Limit, Guarantee: initial.Guarantee, Owned: initial.Owned, PlanFingerprint: m.planFingerprint}
}

// handshake records which ledger another region has.
func (m *Manager) handshake() *pendingChange {
	if !m.ledgerComplete() || m.fenced() {
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
