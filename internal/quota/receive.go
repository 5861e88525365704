package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/wire"
)

// Receive handles a message of another region. Only a message that answers this incarnation
// counts, and of those only the newest of the sender's confirmed incarnation may move shares.
func (m *Manager) Receive(msg *wire.RegionMessage) {
	remote := m.remote(msg.From)
	switch {
	case msg.Version > wire.RegionVersion:
		m.reject(msg.From, "newer protocol version")
		return
	case remote == nil:
		m.reject(msg.From, "region is lost or not in the regions file")
		return
	case msg.To != m.Region:
		m.reject(msg.From, "addressed to another region")
		return
	}
	if msg.EchoRun != m.incarnation {
		m.requestEcho(remote, msg)
		return
	}
	remote.lastResponse, remote.fullMessageInterval = m.host.Now(), m.MessageInterval
	remote.planFingerprint, remote.epoch, remote.knownEpoch = msg.Plan, msg.Epoch, msg.KnownEpoch
	m.verifyLedger(remote, msg)
	if m.advanceSequence(remote, msg) && m.hasSameLedger(remote) {
		remote.applyContent(msg)
	}
	m.startNextChange()
	m.sendDueMessages()
}

// rejection is why messages of a region are rejected.
type rejection struct{ region, reason string }

// reject logs, once for each sender and reason, that a message is rejected.
func (m *Manager) reject(region, reason string) {
	rejected := rejection{region, reason}
	if m.loggedRejections[rejected] {
		return
	}
	m.loggedRejections[rejected] = true
	m.Log.Warn("region message rejected", "region", region, "reason", reason)
}

// onUnknownIncarnation handles a message that does not answer this incarnation: its sender gets a
// message that it can answer.
func (m *Manager) requestEcho(remote *remoteRegion, msg *wire.RegionMessage) {
	if msg.Run == remote.echoIncarnation && msg.Sequence <= remote.echoSequence {
		return
	}
	remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Sequence
	remote.urgent = true
	m.sendDueMessages()
}

// advanceSequence reports whether a message is the newest of its sender's confirmed incarnation,
// and records it. Another incarnation becomes a candidate once it answers a message that was sent
// after the confirmation; late messages of earlier incarnations never do. They would bring back
// what is outdated, such as a transfer from before the sender's ledger was replaced by an older
// copy.
func (m *Manager) advanceSequence(remote *remoteRegion, msg *wire.RegionMessage) bool {
	if msg.Run != remote.confirmedIncarnation {
		if remote.confirmedIncarnation == 0 || msg.EchoSequence > remote.confirmedAtSequence {
			remote.candidateIncarnation = msg.Run
			remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Sequence
		}
		return false
	}
	if msg.Sequence <= remote.newestSequence {
		return false
	}
	remote.newestSequence = msg.Sequence
	remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Sequence
	return true
}

// verifyLedger compares this ledger with what another region knows of it. The numbers of the
// transfers that the other region has seen show whether this ledger is an older copy, or another
// one. The reasons of a fence are in stored records: their wording never changes.
func (m *Manager) verifyLedger(remote *remoteRegion, msg *wire.RegionMessage) {
	if m.ledger == nil {
		return
	}
	remote.hasConfirmed = remote.hasConfirmed || msg.ConfirmedRun == m.incarnation
	link := m.ledger.Link(remote.name)
	switch {
	case !m.ledgerComplete():
		if msg.KnownEpoch != 0 {
			m.reject(remote.name, "this region's ledger is missing though the other region knows one; nothing is granted until an operator intervenes")
		}
		return
	case msg.KnownEpoch != 0 && msg.KnownEpoch != m.ledger.Epoch():
		m.fenceReason = remote.name + " knows another ledger of this region"
	case msg.Received > link.Sent:
		m.fenceReason = remote.name + " has transfers that this ledger does not know: it is an older copy"
	case msg.Acknowledged > link.Received:
		m.fenceReason = remote.name + " was told of transfers that this ledger does not have: it is an older copy"
	}
	if m.fenceReason == "" && remote.hasConfirmed && msg.KnownEpoch == m.ledger.Epoch() {
		remote.hasVerified = true
	}
}

// hasSameLedger reports whether a region still has the ledger of the handshake.
func (m *Manager) hasSameLedger(remote *remoteRegion) bool {
	if !m.ledgerComplete() {
		return false
	}
	known := m.ledger.Link(remote.name).RemoteEpoch
	if known != 0 && remote.epoch != known && !remote.replacementLogged {
		remote.replacementLogged = true
		m.Log.Error("quota ledger of region replaced, transfers suspended", "region", remote.name)
	}
	return known != 0 && remote.epoch == known
}

// applyContent records what the region transfers, claims and offers.
func (r *remoteRegion) applyContent(msg *wire.RegionMessage) {
	r.lastCredited = max(r.lastCredited, msg.Received)
	r.transfers = msg.Transfers
	r.claims, r.lastCreditedAtClaim = msg.Claims, msg.Received
	if !msg.HasOffers {
		return
	}
	r.hasOffers = true
	r.offers = make(map[string]wire.RegionOffer, len(msg.Offers))
	for _, offer := range msg.Offers {
		r.offers[offer.Team] = offer
	}
}

// nextTransfer is the transfer that the region has sent after a number; nil for none.
func (r *remoteRegion) nextTransfer(lastCredited uint64) *wire.RegionTransfer {
	i := slices.IndexFunc(r.transfers, func(t wire.RegionTransfer) bool { return t.Number == lastCredited+1 })
	if i < 0 {
		return nil
	}
	return &r.transfers[i]
}
