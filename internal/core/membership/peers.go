package membership

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// peer is the state of another controller.
type peer struct {
	name, zone string

	messageReceived bool          // a message has arrived from it since this controller started
	lastMessageAt   time.Duration // when its last message arrived
	version         int           // highest wire.PeerVersion that it has reported

	// From its latest digest.
	reachesStore     bool
	hasLeaderContact bool

	reports extensionReports
}

// storeStatusValidity is how long a peer's report that it can reach the key-value store is valid.
const storeStatusValidity = 3 * time.Second

// findPeer returns the peer with the given name; nil if there is none.
func (m *Membership) findPeer(name string) *peer {
	for _, p := range m.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// RecordMessage records that a message from a peer arrived now. It returns false if there is no peer
// with that name.
func (m *Membership) RecordMessage(from string) bool {
	p := m.findPeer(from)
	if p == nil {
		return false
	}
	p.messageReceived = true
	p.lastMessageAt = m.host.Now()
	return true
}

// RecordDigest records the state that a peer reports in its digest.
func (m *Membership) RecordDigest(from string, digest *wire.Digest) {
	p := m.findPeer(from)
	if p == nil {
		return
	}
	m.recordExtensionReports(&p.reports, digest)
	p.version = max(p.version, digest.Version)
	p.reachesStore = digest.StoreOK
	p.hasLeaderContact = digest.HearsLeader
}

// FillDigest sets the fields of a digest that this package provides for all peers.
func (m *Membership) FillDigest(digest *wire.Digest) {
	digest.HearsLeader = m.HasLeaderContact()
	digest.Boot = m.config.Incarnation
	digest.Clock = int64(m.host.Now())
	digest.Kept = m.extendedLeases()
}

// FillEcho sets, in a digest for one peer, the echo of the latest clock time received from it.
func (m *Membership) FillEcho(digest *wire.Digest, to string) {
	p := m.findPeer(to)
	if p == nil {
		return
	}
	digest.EchoBoot = p.reports.incarnation
	digest.Echo = int64(p.reports.clock)
}

// hasContact reports whether a message from a peer arrived within the duration of a leader's
// lease.
func (m *Membership) hasContact(p *peer) bool {
	return p.messageReceived && m.since(p.lastMessageAt) < m.config.LeaderLease
}

// HasPeerContact reports whether this controller has contact with any peer.
func (m *Membership) HasPeerContact() bool {
	for _, p := range m.peers {
		if m.hasContact(p) {
			return true
		}
	}
	return false
}

// LostAllPeers reports whether this controller had contact with a peer before and has contact with
// none now.
func (m *Membership) LostAllPeers() bool {
	anyReceived := false
	for _, p := range m.peers {
		anyReceived = anyReceived || p.messageReceived
	}
	return anyReceived && !m.HasPeerContact()
}

// ZoneLost reports whether another zone has controllers and there is contact with none of them.
func (m *Membership) ZoneLost(zone string) bool {
	if zone == m.config.Zone {
		return false
	}
	hasControllers := false
	for _, p := range m.peers {
		if p.zone != zone {
			continue
		}
		if m.hasContact(p) {
			return false
		}
		hasControllers = true
	}
	return hasControllers
}

// PeerSupports reports whether a peer has reported that it supports a wire.PeerVersion. The highest
// version that a peer has ever reported counts.
func (m *Membership) PeerSupports(name string, version int) bool {
	p := m.findPeer(name)
	return p != nil && p.version >= version
}

// AllPeersSupport reports whether every peer has reported that it supports a wire.PeerVersion.
func (m *Membership) AllPeersSupport(version int) bool {
	for _, p := range m.peers {
		if p.version < version {
			return false
		}
	}
	return true
}

// PeerReachesStore reports whether a peer has recently reported that it can reach the key-value
// store.
func (m *Membership) PeerReachesStore() bool {
	for _, p := range m.peers {
		if p.messageReceived && p.reachesStore && m.since(p.lastMessageAt) < storeStatusValidity {
			return true
		}
	}
	return false
}

// peerWithLeaderContact returns the name of a peer that has contact with the leader; empty if there
// is none.
func (m *Membership) peerWithLeaderContact() string {
	for _, p := range m.peers {
		if m.hasContact(p) && p.hasLeaderContact {
			return p.name
		}
	}
	return ""
}
