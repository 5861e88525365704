package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// sendDue sends the messages that are due: complete ones from time to time, others as soon as
// there is something to tell, at a bounded rate.
func (m *Manager) sendDue() {
	if m.ledger == nil {
		return // nothing can be said before it is read
	}
	now := m.host.Now()
	var states []teamState // found once for all messages of a moment
	for i, remote := range m.remotes {
		complete := now >= remote.nextComplete
		if !complete && !(remote.urgent && now >= remote.lastSent+m.MessageInterval/urgentDivisor) {
			continue
		}
		if complete {
			if remote.lastHeard != 0 && now-remote.lastHeard > unreachableFactor*m.MessageInterval || remote.lastHeard == 0 && remote.lastSent != 0 {
				remote.interval = min(2*remote.interval, maxBackoffFactor*m.MessageInterval)
			}
			remote.nextComplete = now + remote.interval + m.jitter(remote)
		}
		if states == nil && m.verified() {
			states = m.teamStates()
		}
		remote.urgent, remote.lastSent = false, now
		m.host.Send(remote.name, m.message(i, complete, states))
	}
}

// jitter is a part of the interval that differs between regions and messages, so that they do
// not all send at once.
func (m *Manager) jitter(remote *remoteRegion) time.Duration {
	const multiplier = 0x9e3779b97f4a7c15 // spreads consecutive numbers over all values
	spread := (m.incarnation ^ (m.sequence+1)*multiplier ^ uint64(remote.index)*multiplier) >> 56
	return remote.interval / 8 * time.Duration(spread) / 256
}

// teamState is what the region has of a team, what others offer of it, and what it asks of each
// of them.
type teamState struct {
	team    string
	share   ledger.Share
	holding balance.Holding
	offers  []balance.Offer // by peer
	claims  []balance.Claim // by peer
}

// teamStates finds that of each team.
func (m *Manager) teamStates() []teamState {
	teams := m.ledger.Teams()
	out := make([]teamState, len(teams))
	for i, team := range teams {
		state := &out[i]
		state.team, state.holding, state.offers = team, m.holding(team), m.offersOf(team)
		state.share, _ = m.ledger.Share(team)
		state.claims = state.holding.Claims(m.regionIndex, state.offers)
	}
	return out
}

// message states all that is to be said to a region, the one at that place among the peers.
func (m *Manager) message(index int, complete bool, states []teamState) *wire.RegionMessage {
	remote := m.remotes[index]
	m.sequence++
	msg := &wire.RegionMessage{
		Version: wire.RegionVersion, From: m.Region, To: remote.name, Run: m.incarnation, Sequence: m.sequence,
		EchoRun: remote.echoIncarnation, EchoSequence: remote.echoSequence, ConfirmedRun: remote.confirmedIncarnation, Plan: m.planFingerprint,
	}
	link := m.ledger.Link(remote.name)
	msg.Epoch, msg.KnownEpoch = m.ledger.Epoch(), link.RemoteEpoch
	msg.Sent, msg.Acknowledged, msg.Received = link.Sent, link.Acknowledged(), link.Received
	if !m.verified() {
		return msg
	}
	for _, unacknowledged := range link.Unacknowledged {
		if unacknowledged.Number <= remote.received {
			continue
		}
		transfer := wire.RegionTransfer{Number: unacknowledged.Number}
		for _, part := range unacknowledged.Parts {
			transfer.Parts = append(transfer.Parts, wire.RegionShare{Team: part.Team, CPUs: part.Amount.CPUs, GPUs: part.Amount.GPUs})
		}
		msg.Transfers = append(msg.Transfers, transfer)
	}
	addClaims(msg, states, index)
	if complete {
		m.addOffers(msg, states)
	}
	return msg
}

// addClaims says what is wanted of the region at a place among the peers.
func addClaims(msg *wire.RegionMessage, states []teamState, index int) {
	for i := range states {
		claim := states[i].claims[index]
		if claim.Need.IsZero() && claim.Reserve.IsZero() {
			continue
		}
		msg.Claims = append(msg.Claims, wire.RegionClaim{Team: states[i].team, NeedCPUs: claim.Need.CPUs, NeedGPUs: claim.Need.GPUs,
			ReserveCPUs: claim.Reserve.CPUs, ReserveGPUs: claim.Reserve.GPUs, Rank: claim.Priority, Gang: claim.Gang})
	}
}

// addOffers says what could be spared.
func (m *Manager) addOffers(msg *wire.RegionMessage, states []teamState) {
	msg.HasOffers = true
	for i := range states {
		state := &states[i]
		spare := state.holding.Spare()
		msg.Offers = append(msg.Offers, wire.RegionOffer{Team: state.team, CPUs: spare.CPUs, GPUs: spare.GPUs, Plan: state.share.PlanFingerprint,
			Contested: state.holding.Contested(m.regionIndex, state.offers), GangRank: state.holding.Demand.GangPriority})
	}
}

// DemandChanged tells that more is wanted than before: the other regions hear of it soon.
func (m *Manager) DemandChanged() {
	if !m.verified() {
		return
	}
	for _, remote := range m.remotes {
		remote.urgent = true
	}
	m.sendDue()
}
