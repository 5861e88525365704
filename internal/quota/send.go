package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// sendDueMessages sends the messages that are due: full messages, which include offers, periodically,
// and others as soon as there is something to report, at a bounded rate. Nothing is sent before the
// ledger is loaded.
func (m *Manager) sendDueMessages() {
	if m.ledger == nil {
		return
	}
	now := m.host.Now()
	var states []teamState // computed once for all messages that are due
	for i, remote := range m.remotes {
		full := now >= remote.nextFullMessage
		urgent := remote.urgent && now >= remote.lastSent+m.MessageInterval/minMessageGapDivisor
		if !full && !urgent {
			continue
		}
		if full {
			m.scheduleFullMessage(remote, now)
		}
		if states == nil && m.ledgerVerified() {
			states = m.teamStates()
		}
		remote.urgent, remote.lastSent = false, now
		msg := m.linkMessage(remote)
		if m.ledgerVerified() {
			m.addTransfers(msg, remote)
			addClaims(msg, states, i)
			if full {
				m.addOffers(msg, states)
			}
		}
		m.host.Send(remote.name, msg)
	}
}

// scheduleFullMessage sets when the next full message is due, with exponential backoff while the
// region does not respond.
func (m *Manager) scheduleFullMessage(remote *remoteRegion, now time.Duration) {
	stoppedResponding := remote.lastResponse != 0 && now-remote.lastResponse > unreachableFactor*m.MessageInterval
	neverResponded := remote.lastResponse == 0 && remote.lastSent != 0
	if stoppedResponding || neverResponded {
		remote.fullMessageInterval = min(2*remote.fullMessageInterval, maxBackoffFactor*m.MessageInterval)
	}
	remote.nextFullMessage = now + remote.fullMessageInterval + m.jitter(remote)
}

// jitter is up to an eighth of the time between full messages. It differs between regions and
// messages, so that regions do not all send at the same time.
func (m *Manager) jitter(remote *remoteRegion) time.Duration {
	const multiplier = 0x9e3779b97f4a7c15 // distributes consecutive numbers over all 64-bit values
	spread := (m.incarnation ^ (m.sequence+1)*multiplier ^ uint64(remote.index)*multiplier) >> 56
	return remote.fullMessageInterval / 8 * time.Duration(spread) / 256
}

// teamState is the region's share of a team's limit, the offers of the other regions, and the
// claims on each of them.
type teamState struct {
	team    string
	share   ledger.Share
	holding balance.Holding
	offers  []balance.Offer // by index of remotes
	claims  []balance.Claim // by index of remotes
}

// teamStates computes the state of each team.
func (m *Manager) teamStates() []teamState {
	teams := m.ledger.Teams()
	states := make([]teamState, len(teams))
	for i, team := range teams {
		state := &states[i]
		state.team, state.holding, state.offers = team, m.holding(team), m.offersOf(team)
		state.share, _ = m.ledger.Share(team)
		state.claims = state.holding.Claims(m.regionIndex, state.offers)
	}
	return states
}

// linkMessage creates the next message to a region, with the state of the link.
func (m *Manager) linkMessage(remote *remoteRegion) *wire.RegionMessage {
	m.sequence++
	link := m.ledger.Link(remote.name)
	return &wire.RegionMessage{
		Version:      wire.RegionVersion,
		From:         m.Region,
		To:           remote.name,
		Run:          m.incarnation,
		Sequence:     m.sequence,
		EchoRun:      remote.echoIncarnation,
		EchoSequence: remote.echoSequence,
		ConfirmedRun: remote.confirmedIncarnation,
		Plan:         m.planFingerprint,
		Epoch:        m.ledger.Epoch(),
		KnownEpoch:   link.RemoteEpoch,
		Sent:         link.Sent,
		Acknowledged: link.Acknowledged(),
		Received:     link.Received,
	}
}

// addTransfers adds the transfers that the region has not reported as credited.
func (m *Manager) addTransfers(msg *wire.RegionMessage, remote *remoteRegion) {
	link := m.ledger.Link(remote.name)
	for _, transfer := range link.Unacknowledged {
		if transfer.Number > remote.lastCredited {
			msg.Transfers = append(msg.Transfers, transferToWire(transfer))
		}
	}
}

// addClaims adds the claims on the region at an index of remotes.
func addClaims(msg *wire.RegionMessage, states []teamState, remoteIndex int) {
	for i := range states {
		claim := states[i].claims[remoteIndex]
		if !claim.Need.IsZero() || !claim.Reserve.IsZero() {
			msg.Claims = append(msg.Claims, claimToWire(claim, states[i].team))
		}
	}
}

// addOffers adds what this region can spare of each team's limit.
func (m *Manager) addOffers(msg *wire.RegionMessage, states []teamState) {
	msg.HasOffers = true
	for i := range states {
		state := &states[i]
		spare := state.holding.Spare()
		msg.Offers = append(msg.Offers, wire.RegionOffer{
			Team:      state.team,
			CPUs:      spare.CPUs,
			GPUs:      spare.GPUs,
			Plan:      state.share.PlanFingerprint,
			Contested: state.holding.Contested(m.regionIndex, state.offers),
			GangRank:  state.holding.Demand.GangPriority,
		})
	}
}

// DemandChanged must be called when the demand of a team has increased. It makes messages to the
// other regions due.
func (m *Manager) DemandChanged() {
	if !m.ledgerVerified() {
		return
	}
	for _, remote := range m.remotes {
		remote.urgent = true
	}
	m.sendDueMessages()
}
