package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// confirmIncarnation returns a transaction that confirms that this leader still leads after it
// received another region's new incarnation; nil if there is none to confirm. Once it is committed,
// messages of that region's earlier incarnations are no longer accepted.
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

// onConfirmed accepts an incarnation of a region, and discards what earlier ones have sent.
func (m *Manager) onConfirmed(remote *remoteRegion, incarnation uint64) {
	remote.confirmedIncarnation, remote.confirmedAtSequence, remote.newestSequence = incarnation, m.sequence, 0
	remote.claims, remote.transfers, remote.offers, remote.hasOffers = nil, nil, nil, false
	if remote.candidateIncarnation == incarnation {
		remote.candidateIncarnation = 0
	}
	remote.urgent = true
}

// recordFence returns a change that records that the region may grant nothing; nil if there is
// nothing to record.
func (m *Manager) recordFence() *pendingChange {
	if m.fenceReason == "" || !m.ledgerComplete() || m.ledger.FenceReason() != "" {
		return nil
	}
	return &pendingChange{change: m.ledger.Fence(m.host.Term(), m.fenceReason).Then(func(uint64) {
		m.Log.Error("region fenced, it grants nothing until an operator intervenes", "region", m.Region, "reason", m.fenceReason)
	})}
}

// createShares returns a change that records initial shares, of all teams in a new region or of
// teams that are new in the regions file, or that completes the ledger once all are recorded. It
// returns nil if there is nothing to record, or nothing may be recorded yet.
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
	m.Log.Info("initial quota shares recorded, completing the quota ledger", "region", m.Region, "teams", len(m.ledger.Teams()))
	return &pendingChange{change: m.ledger.Complete(m.host.Term(), m.host.NewIncarnation())}
}

// mayCreateShares reports whether every other region has confirmed this incarnation, has the same
// regions file, and has no record of a ledger of this region that is missing here. To a complete
// ledger, shares may be added only if it is verified and every other region has sent its offers.
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

// missingShares lists the teams of the regions file that have no share in the ledger and may get
// their initial one.
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

// initialSharesAgree reports whether no other region offers a share of the team that came from a
// different regions file than this region's.
func (m *Manager) initialSharesAgree(team string) bool {
	for _, remote := range m.remotes {
		if offer, ok := remote.offers[team]; ok && offer.Plan != m.planFingerprint {
			return false
		}
	}
	return true
}

// initialShare is the region's share of a team according to the regions file.
func (m *Manager) initialShare(team string) ledger.Share {
	index := slices.IndexFunc(m.Plan.Teams, func(t plan.Team) bool { return t.Name == team })
	initial := m.Plan.Teams[index].InitialShare(m.Region)
	return ledger.Share{Limit: initial.Limit, Guarantee: initial.Guarantee, Owned: initial.Owned, PlanFingerprint: m.planFingerprint}
}

// handshake returns a change that records the epoch of another region's ledger; nil if there is none
// to record.
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
