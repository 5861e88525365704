package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/wire"
)

// Receive takes in a message of another region.
func (m *Manager) Receive(msg *wire.RegionMessage) {
	p := m.peer(msg.From)
	switch {
	case msg.Version > wire.RegionVersion:
		m.refuse(msg.From, "of a newer version")
		return
	case p == nil:
		m.refuse(msg.From, "of a region that the file does not name, or names as lost")
		return
	case msg.To != m.Region:
		m.refuse(msg.From, "for another region")
		return
	}
	if msg.EchoRun != m.run {
		m.noteStranger(p, msg)
		return
	}
	p.heard, p.interval = m.host.Now(), m.Every
	p.plan, p.epoch, p.knownEpoch = msg.Plan, msg.Epoch, msg.KnownEpoch
	m.check(p, msg)
	if m.isNewest(p, msg) && m.sameLedger(p) {
		m.takeContent(p, msg)
	}
	m.advance()
	m.sendDue()
}

// refuse logs once for each sender why its messages are not taken.
func (m *Manager) refuse(from, why string) {
	if !m.refused[from+why] {
		m.refused[from+why] = true
		m.Log.Warn("region message refused", "from", from, "why", why)
	}
}

// noteStranger notes a message that does not answer this run, so that its sender gets one that
// it can answer.
func (m *Manager) noteStranger(p *peer, msg *wire.RegionMessage) {
	if msg.Run == p.echoRun && msg.Sequence <= p.echoSequence {
		return
	}
	p.echoRun, p.echoSequence = msg.Run, msg.Sequence
	p.urgent = true
	m.sendDue()
}

// isNewest tells whether a message is the newest of the run of its sender that is confirmed.
// Another run becomes a candidate once it answers what was sent after that one was confirmed:
// late messages of earlier runs never do. They would bring back what has been overtaken, such
// as a transfer from before the sender's ledger was replaced by an older copy.
func (m *Manager) isNewest(p *peer, msg *wire.RegionMessage) bool {
	if msg.Run != p.confirmed {
		if p.confirmed == 0 || msg.EchoSequence > p.confirmedAt {
			p.candidate, p.echoRun, p.echoSequence = msg.Run, msg.Run, msg.Sequence
		}
		return false
	}
	if msg.Sequence <= p.sequence {
		return false
	}
	p.sequence, p.echoRun, p.echoSequence = msg.Sequence, msg.Run, msg.Sequence
	return true
}

// check holds this ledger against what another region knows of it. The numbers of transfers
// that it has seen show whether this ledger is an older copy, or another one.
func (m *Manager) check(p *peer, msg *wire.RegionMessage) {
	if m.ledger == nil {
		return
	}
	p.vouched = p.vouched || msg.ConfirmedRun == m.run
	link := m.ledger.Link(p.name)
	switch {
	case !m.complete():
		if msg.KnownEpoch != 0 {
			m.refuse(p.name, "this region's ledger is gone: "+p.name+" knows one, and nothing is granted until an operator says so")
		}
		return
	case msg.KnownEpoch != 0 && msg.KnownEpoch != m.ledger.Epoch():
		m.fence = p.name + " knows another ledger of this region"
	case msg.Received > link.Sent:
		m.fence = p.name + " has transfers that this ledger does not know: it is an older copy"
	case msg.Acknowledged > link.Received:
		m.fence = p.name + " was told of transfers that this ledger does not have: it is an older copy"
	}
	p.attested = p.attested || m.fence == "" && p.vouched && msg.KnownEpoch == m.ledger.Epoch()
}

// sameLedger tells whether a region still has the ledger that transfers were agreed with.
func (m *Manager) sameLedger(p *peer) bool {
	if !m.complete() {
		return false
	}
	known := m.ledger.Link(p.name).PeerEpoch
	if known != 0 && p.epoch != known && !p.replaced {
		p.replaced = true
		m.Log.Error("region has lost its ledger, no shares move to or from it", "region", p.name)
	}
	return known != 0 && p.epoch == known
}

// takeContent takes in what a region gives, asks for and offers.
func (m *Manager) takeContent(p *peer, msg *wire.RegionMessage) {
	p.received = max(p.received, msg.Received)
	p.transfers = msg.Transfers
	p.claims, p.claimsAt = msg.Claims, msg.Received
	if msg.HasOffers {
		p.hasOffers = true
		p.offers = make(map[string]wire.RegionOffer, len(msg.Offers))
		for _, o := range msg.Offers {
			p.offers[o.Team] = o
		}
	}
}

// nextTransfer is the one that a region has sent and that comes next; nil for none.
func (p *peer) nextTransfer(received uint64) *wire.RegionTransfer {
	i := slices.IndexFunc(p.transfers, func(t wire.RegionTransfer) bool { return t.Number == received+1 })
	if i < 0 {
		return nil
	}
	return &p.transfers[i]
}
