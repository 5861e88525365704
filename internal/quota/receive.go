package quota

import (
	"slices"

	"github.com/brookwalk/brookwalk/wire"
)

// Receive handles a message from another region. Only a message that echoes this incarnation is
// used, and only the newest message of the sender's confirmed incarnation may move shares.
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

// rejection is a reason why messages from a region are rejected.
type rejection struct{ region, reason string }

// reject logs that a message is rejected, once for each sender and reason.
func (m *Manager) reject(region, reason string) {
	rejected := rejection{region, reason}
	if m.loggedRejections[rejected] {
		return
	}
	m.loggedRejections[rejected] = true
	m.Log.Warn("message from region rejected", "region", region, "reason", reason)
}

// requestEcho handles a message that does not echo this incarnation. It makes a message to the
// sender due, which the sender can echo.
func (m *Manager) requestEcho(remote *remoteRegion, msg *wire.RegionMessage) {
	if msg.Run == remote.echoIncarnation && msg.Sequence <= remote.echoSequence {
		return
	}
	remote.echoIncarnation, remote.echoSequence = msg.Run, msg.Sequence
	remote.urgent = true
	m.sendDueMessages()
}

// advanceSequence reports whether a message is the newest of its sender's confirmed incarnation,
// and records its sequence. Another incarnation becomes a candidate for confirmation if none is
// confirmed yet, or if it echoes a message that was sent after the last confirmation. Late messages
// of earlier incarnations echo older messages and are ignored. They would restore outdated state,
// such as a transfer from before the sender's ledger was replaced by an older copy.
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

// verifyLedger compares this ledger with what another region reports about it. The epoch shows
// whether this ledger is a different one, and the numbers of transfers show whether it is an older
// copy. Stored records contain the reason of a fence, so the wording of reasons never changes.
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

// hasSameLedger reports whether a region still has the ledger whose epoch the handshake recorded.
func (m *Manager) hasSameLedger(remote *remoteRegion) bool {
	if !m.ledgerComplete() {
		return false
	}
	known := m.ledger.Link(remote.name).RemoteEpoch
	if known != 0 && remote.epoch != known && !remote.replacementLogged {
		remote.replacementLogged = true
		m.Log.Error("quota ledger of region was replaced, transfers from and to it are suspended", "region", remote.name)
	}
	return known != 0 && remote.epoch == known
}

// applyContent records the transfers, claims and offers in a message. Only full messages have offers.
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

// nextTransfer returns the transfer that follows the last one credited from the region; nil if it
// has not been received.
func (r *remoteRegion) nextTransfer(lastCredited uint64) *wire.RegionTransfer {
	i := slices.IndexFunc(r.transfers, func(t wire.RegionTransfer) bool { return t.Number == lastCredited+1 })
	if i < 0 {
		return nil
	}
	return &r.transfers[i]
}
