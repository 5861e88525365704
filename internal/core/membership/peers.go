package membership

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// peer is what is known of another controller.
type peer struct {
	name, zone string

	everHeard bool
	heardAt   time.Duration // when its last message came
	version   int           // highest wire.PeerVersion that it has named

	// Of its latest digest.
	reachesStore bool
	hearsLeader  bool

	testimony extensionTestimony
}

// storeStatusValidity is how long a peer's statement that the key-value store answers it counts.
const storeStatusValidity = 3 * time.Second

// findPeer returns the peer of a name; nil if there is none.
func (m *Membership) findPeer(name string) *peer {
	for _, p := range m.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// RecordMessage records that a message of a peer arrived now. It returns false if no peer has
// that name.
func (m *Membership) RecordMessage(from string) bool {
	p := m.findPeer(from)
	if p == nil {
		return false
	}
	p.everHeard = true
	p.heardAt = m.host.Now()
	return true
}

// RecordDigest records what a peer's digest says of the peer.
func (m *Membership) RecordDigest(from string, digest *wire.Digest) {
	p := m.findPeer(from)
	if p == nil {
		return
	}
	m.recordTestimony(&p.testimony, digest)
	p.version = max(p.version, digest.Version)
	p.reachesStore = digest.StoreOK
	p.hearsLeader = digest.HearsLeader
}

// FillDigest sets what this package contributes to a digest for all peers.
func (m *Membership) FillDigest(digest *wire.Digest) {
	digest.HearsLeader = m.HearsLeader()
	digest.Boot = m.config.Incarnation
	digest.Clock = int64(m.host.Now())
	digest.Kept = m.extendedLeases()
}

// FillEcho sets in a digest for one peer the echo of that peer's own clock.
func (m *Membership) FillEcho(digest *wire.Digest, to string) {
	p := m.findPeer(to)
	if p == nil {
		return
	}
	digest.EchoBoot = p.testimony.incarnation
	digest.Echo = int64(p.testimony.clock)
}

// heardRecently reports whether a peer was heard within the duration of a leader's lease.
func (m *Membership) heardRecently(p *peer) bool {
	return p.everHeard && m.since(p.heardAt) < m.config.LeaderLease
}

// HearsPeer reports whether any other controller is heard.
func (m *Membership) HearsPeer() bool {
	for _, p := range m.peers {
		if m.heardRecently(p) {
			return true
		}
	}
	return false
}

// LostAllPeers reports whether some peer was heard before, and none is heard now.
func (m *Membership) LostAllPeers() bool {
	everHeard := false
	for _, p := range m.peers {
		everHeard = everHeard || p.everHeard
	}
	return everHeard && !m.HearsPeer()
}

// ZoneLost reports whether another zone has controllers and none of them is heard.
func (m *Membership) ZoneLost(zone string) bool {
	if zone == m.config.Zone {
		return false
	}
	hasControllers := false
	for _, p := range m.peers {
		if p.zone != zone {
			continue
		}
		if m.heardRecently(p) {
			return false
		}
		hasControllers = true
	}
	return hasControllers
}

// PeerSupports reports whether a peer has said that it understands what a wire.PeerVersion
// introduced. One that has said so once stays at that version.
func (m *Membership) PeerSupports(name string, version int) bool {
	p := m.findPeer(name)
	return p != nil && p.version >= version
}

// AllPeersSupport reports whether every peer has said that it understands what a
// wire.PeerVersion introduced.
func (m *Membership) AllPeersSupport(version int) bool {
	for _, p := range m.peers {
		if p.version < version {
			return false
		}
	}
	return true
}

// PeerReachesStore reports whether a peer said lately that the key-value store answers it.
func (m *Membership) PeerReachesStore() bool {
	for _, p := range m.peers {
		if p.everHeard && p.reachesStore && m.since(p.heardAt) < storeStatusValidity {
			return true
		}
	}
	return false
}

// peerHearingLeader names a peer that hears the leader; empty if there is none.
func (m *Membership) peerHearingLeader() string {
	for _, p := range m.peers {
		if m.heardRecently(p) && p.hearsLeader {
			return p.name
		}
	}
	return ""
}
