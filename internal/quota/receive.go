package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/wire"
)

// Receive takes in a message of another region.
func (m *Manager) Receive(msg *wire.RegionMessage) {
	remote := m.remote(msg.From)
	switch {
	case msg.Version > wire.RegionVersion:
		m.reject(msg.From, "of a newer version")
		return
	case remote == nil:
		m.reject(msg.From, "of a region that the file does not name, or names as lost")
		return
	case msg.To != m.Region:
		m.reject(msg.From, "for another region")
		return
	}
	if msg.EchoRun != m.incarnation {
		m.onUnknownIncarnation(remote, msg)
		return
	}
	remote.lastHeard, remote.interval = m.host.Now(), m.MessageInterval
	remote.planFingerprint, remote.epoch, remote.knownEpoch = msg.Plan, msg.Epoch, msg.KnownEpoch
	m.verifyLedger(remote, msg)
	if m.advanceSequence(remote, msg) && m.hasSameLedger(remote) {
		m.applyContent(remote, msg)
	}
	m.startNext()
	m.sendDue()
}

// reject logs once for each sender why its messages are not taken.
func (m *Manager) reject(from, reason string) {
	if !m.loggedRejections[from+reason] {
		m.loggedRejections[from+reason] = true
		m.Log.Warn("region message refused", "from", from, "why", reason)
	}
}

// onUnknownIncarnation notes a message that does not answer this run, so that its sender gets one that
// it can answer.
func (m *Manager) onUnknownIncarnation(remote *remoteRegion, msg *wire.RegionMessage) {
	if msg.Run == remote.echoIncarnation && msg.Sequence <= remote.echoSequence {
		return
	}
	remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Sequence
	remote.urgent = true
	m.sendDue()
}

// advanceSequence tells whether a message is the newest of the run of its sender that is confirmed.
// Another run becomes a candidate once it answers what was sent after that one was confirmed:
// late messages of earlier runs never do. They would bring back what has been overtaken, such
// as a transfer from before the sender's ledger was replaced by an older copy.
func (m *Manager) advanceSequence(remote *remoteRegion, msg *wire.RegionMessage) bool {
	if msg.Run != remote.confirmedIncarnation {
		if remote.confirmedIncarnation == 0 || msg.EchoSequence > remote.confirmedAtSequence {
			remote.candidateIncarnation, remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Run, msg.Sequence
		}
		return false
	}
	if msg.Sequence <= remote.sequence {
		return false
	}
	remote.sequence, remote.echoIncarnation, remote.echoSequence = msg.Sequence, msg.Run, msg.Sequence
	return true
}

// verifyLedger holds this ledger against what another region knows of it. The numbers of transfers
// that it has seen show whether this ledger is an older copy, or another one.
func (m *Manager) verifyLedger(remote *remoteRegion, msg *wire.RegionMessage) {
	if m.ledger == nil {
		return
	}
	remote.hasConfirmed = remote.hasConfirmed || msg.ConfirmedRun == m.incarnation
	link := m.ledger.Link(remote.name)
	switch {
	case !m.complete():
		if msg.KnownEpoch != 0 {
			m.reject(remote.name, "this region's ledger is gone: "+remote.name+" knows one, and nothing is granted until an operator says so")
		}
		return
	case msg.KnownEpoch != 0 && msg.KnownEpoch != m.ledger.Epoch():
		m.fenceReason = remote.name + " knows another ledger of this region"
	case msg.Received > link.Sent:
		m.fenceReason = remote.name + " has transfers that this ledger does not know: it is an older copy"
	case msg.Acknowledged > link.Received:
		m.fenceReason = remote.name + " was told of transfers that this ledger does not have: it is an older copy"
	}
	remote.hasVerified = remote.hasVerified || m.fenceReason == "" && remote.hasConfirmed && msg.KnownEpoch == m.ledger.Epoch()
}

// hasSameLedger tells whether a region still has the ledger that transfers were agreed with.
func (m *Manager) hasSameLedger(remote *remoteRegion) bool {
	if !m.complete() {
		return false
	}
	known := m.ledger.Link(remote.name).RemoteEpoch
	if known != 0 && remote.epoch != known && !remote.replacementLogged {
		remote.replacementLogged = true
		m.Log.Error("region has lost its ledger, no shares move to or from it", "region", remote.name)
	}
	return known != 0 && remote.epoch == known
}

// applyContent takes in what a region gives, asks for and offers.
func (m *Manager) applyContent(remote *remoteRegion, msg *wire.RegionMessage) {
	remote.received = max(remote.received, msg.Received)
	remote.transfers = msg.Transfers
	remote.claims, remote.claimsReceived = msg.Claims, msg.Received
	if msg.HasOffers {
		remote.hasOffers = true
		remote.offers = make(map[string]wire.RegionOffer, len(msg.Offers))
		for _, offer := range msg.Offers {
			remote.offers[offer.Team] = offer
		}
	}
}

// nextTransfer is the one that a region has sent and that comes next; nil for none.
func (p *remoteRegion) nextTransfer(received uint64) *wire.RegionTransfer {
	i := slices.IndexFunc(p.transfers, func(t wire.RegionTransfer) bool { return t.Number == received+1 })
	if i < 0 {
		return nil
	}
	return &p.transfers[i]
}
