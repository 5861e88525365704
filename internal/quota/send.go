package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// sendDue sends the messages that are due: complete ones from time to time, others as soon as
// there is something to tell, at a bounded rate.
func (m *Manager) sendDue() {
	if m.ledger == nil {
		return // nothing can be said before it is read
	}
	now := m.host.Now()
	for _, p := range m.peers {
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
		p.urgent, p.sentAt = false, now
		m.host.Send(p.name, m.message(p, full))
	}
}

// jitter is a part of the interval that differs between regions and messages, so that they do
// not all send at once.
func (m *Manager) jitter(p *peer) time.Duration {
	const multiplier = 0x9e3779b97f4a7c15 // spreads consecutive numbers over all values
	spread := (m.run ^ (m.sequence+1)*multiplier ^ uint64(p.index)*multiplier) >> 56
	return p.interval / 8 * time.Duration(spread) / 256
}

// message states all that is to be said to a region.
func (m *Manager) message(p *peer, full bool) *wire.RegionMessage {
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
	m.addClaims(p, msg)
	if full {
		m.addOffers(msg)
	}
	return msg
}

// addClaims says what is wanted of a region.
func (m *Manager) addClaims(p *peer, msg *wire.RegionMessage) {
	at := 0
	for i, other := range m.peers {
		if other == p {
			at = i
		}
	}
	for _, team := range m.ledger.Teams() {
		h := m.holding(team)
		c := h.Claims(m.self, m.offersOf(team))[at]
		if c.Need.IsZero() && c.Reserve.IsZero() {
			continue
		}
		msg.Claims = append(msg.Claims, wire.RegionClaim{Team: team, NeedCPUs: c.Need.CPUs, NeedGPUs: c.Need.GPUs,
			ReserveCPUs: c.Reserve.CPUs, ReserveGPUs: c.Reserve.GPUs, Rank: c.Rank, Gang: c.Gang})
	}
}

// addOffers says what could be spared.
func (m *Manager) addOffers(msg *wire.RegionMessage) {
	msg.HasOffers = true
	for _, team := range m.ledger.Teams() {
		s, _ := m.ledger.Share(team)
		h := m.holding(team)
		spare := h.Spare()
		msg.Offers = append(msg.Offers, wire.RegionOffer{Team: team, CPUs: spare.CPUs, GPUs: spare.GPUs, Plan: s.Plan,
			Contested: h.Contested(m.self, m.offersOf(team)), GangRank: h.Demand.GangRank})
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
