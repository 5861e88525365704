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
	var positions []position // found once for all messages of a moment
	for i, p := range m.peers {
		full := now >= p.fullAt
		if !full && !(p.urgent && now >= p.sentAt+m.Every/urgentPart) {
			continue
		}
		if full {
			if p.heard != 0 && now-p.heard > silentTimes*m.Every || p.heard == 0 && p.sentAt != 0 {
				p.interval = min(2*p.interval, maxBackoff*m.Every)
			}
			p.fullAt = now + p.interval + m.jitter(p)
		}
		if positions == nil && m.trusted() {
			positions = m.positions()
		}
		p.urgent, p.sentAt = false, now
		m.host.Send(p.name, m.message(i, full, positions))
	}
}

// jitter is a part of the interval that differs between regions and messages, so that they do
// not all send at once.
func (m *Manager) jitter(p *peer) time.Duration {
	const multiplier = 0x9e3779b97f4a7c15 // spreads consecutive numbers over all values
	spread := (m.run ^ (m.sequence+1)*multiplier ^ uint64(p.index)*multiplier) >> 56
	return p.interval / 8 * time.Duration(spread) / 256
}

// position is what the region has of a team, what others offer of it, and what it asks of each
// of them.
type position struct {
	team    string
	share   ledger.Share
	holding balance.Holding
	offers  []balance.Offer // by peer
	claims  []balance.Claim // by peer
}

// positions finds that of each team.
func (m *Manager) positions() []position {
	teams := m.ledger.Teams()
	out := make([]position, len(teams))
	for i, team := range teams {
		x := &out[i]
		x.team, x.holding, x.offers = team, m.holding(team), m.offersOf(team)
		x.share, _ = m.ledger.Share(team)
		x.claims = x.holding.Claims(m.self, x.offers)
	}
	return out
}

// message states all that is to be said to a region, the one at that place among the peers.
func (m *Manager) message(at int, full bool, positions []position) *wire.RegionMessage {
	p := m.peers[at]
	m.sequence++
	msg := &wire.RegionMessage{
		Version: wire.RegionVersion, From: m.Region, To: p.name, Run: m.run, Sequence: m.sequence,
		EchoRun: p.echoRun, EchoSequence: p.echoSequence, ConfirmedRun: p.confirmed, Plan: m.plan,
	}
	link := m.ledger.Link(p.name)
	msg.Epoch, msg.KnownEpoch = m.ledger.Epoch(), link.PeerEpoch
	msg.Sent, msg.Acknowledged, msg.Received = link.Sent, link.Acknowledged(), link.Received
	if !m.trusted() {
		return msg
	}
	for _, t := range link.Out {
		if t.Number <= p.received {
			continue
		}
		transfer := wire.RegionTransfer{Number: t.Number}
		for _, part := range t.Parts {
			transfer.Parts = append(transfer.Parts, wire.RegionShare{Team: part.Team, CPUs: part.Amount.CPUs, GPUs: part.Amount.GPUs})
		}
		msg.Transfers = append(msg.Transfers, transfer)
	}
	addClaims(msg, positions, at)
	if full {
		m.addOffers(msg, positions)
	}
	return msg
}

// addClaims says what is wanted of the region at a place among the peers.
func addClaims(msg *wire.RegionMessage, positions []position, at int) {
	for i := range positions {
		c := positions[i].claims[at]
		if c.Need.IsZero() && c.Reserve.IsZero() {
			continue
		}
		msg.Claims = append(msg.Claims, wire.RegionClaim{Team: positions[i].team, NeedCPUs: c.Need.CPUs, NeedGPUs: c.Need.GPUs,
			ReserveCPUs: c.Reserve.CPUs, ReserveGPUs: c.Reserve.GPUs, Rank: c.Rank, Gang: c.Gang})
	}
}

// addOffers says what could be spared.
func (m *Manager) addOffers(msg *wire.RegionMessage, positions []position) {
	msg.HasOffers = true
	for i := range positions {
		x := &positions[i]
		spare := x.holding.Spare()
		msg.Offers = append(msg.Offers, wire.RegionOffer{Team: x.team, CPUs: spare.CPUs, GPUs: spare.GPUs, Plan: x.share.Plan,
			Contested: x.holding.Contested(m.self, x.offers), GangRank: x.holding.Demand.GangRank})
	}
}

// DemandChanged tells that more is wanted than before: the other regions hear of it soon.
func (m *Manager) DemandChanged() {
	if !m.trusted() {
		return
	}
	for _, p := range m.peers {
		p.urgent = true
	}
	m.sendDue()
}
