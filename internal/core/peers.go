package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// This file exchanges messages with the region's other controllers. Package membership holds the
// state that their digests report.

// membershipHost implements membership.Host.
type membershipHost struct{ core *Core }

// Now returns the monotonic time.
func (h membershipHost) Now() time.Duration { return h.core.now }

// IsLeader reports whether this controller is the leader.
func (h membershipHost) IsLeader() bool { return h.core.leader != nil }

// newMembership returns the membership state of a controller that has just started.
func (c *Core) newMembership() *membership.Membership {
	return membership.New(membership.Config{
		Name:              c.settings.Name,
		Zone:              c.settings.Zone,
		Peers:             c.settings.Peers,
		Incarnation:       c.incarnation,
		WorkerLease:       c.workerLease(),
		HeartbeatInterval: c.heartbeatInterval(),
		LeaderLease:       c.leaderLeaseDuration(),
	}, membershipHost{c}, c.election, c.log)
}

// send sends a message to another controller.
func (c *Core) send(to string, message *wire.PeerMessage) {
	message.From = c.settings.Name
	c.out.PeerSends = append(c.out.PeerSends, PeerSend{To: to, Message: message})
}

// onPeerMessage handles a message from another controller.
func (c *Core) onPeerMessage(message *wire.PeerMessage) {
	if !c.membership.RecordMessage(message.From) {
		return
	}
	switch {
	case message.Forward != nil:
		c.onForward(message.From, message.Forward)
	case message.Reply != nil:
		c.onForwardReply(message.From, message.Reply)
	case message.Ends != nil:
		c.frontEnd.HandleEnds(message.Ends)
	case message.Digest != nil:
		c.onDigest(message.From, message.Digest)
	case message.Region != nil && c.leader != nil:
		c.leader.onRegionMessage(message.Region)
	}
}

// onDigest applies another controller's digest.
func (c *Core) onDigest(from string, digest *wire.Digest) {
	c.membership.RecordDigest(from, digest)
	if c.leader != nil {
		c.leader.recordLeaseExtensions(digest.Kept)
		c.leader.handlePeerCancellations(from, digest.Cancelled)
	}
	switch {
	case digest.Leader:
		c.onLeaderDigest(from, digest)
	case c.leader != nil && digest.Term > c.leader.leadership.Term:
		c.stepDown(stepDownPeerHigherTerm)
	}
}

// onLeaderDigest applies the digest of a controller that claims to be the leader.
func (c *Core) onLeaderDigest(from string, digest *wire.Digest) {
	c.election.ObserveLeader(digest.Term, from)
	if c.leader != nil || c.election.Leader() != from {
		return
	}
	c.election.RecordLeaderContact()
	c.membership.RecordAcknowledgement(digest)
	c.pullsAreSequential = digest.FetchesQueue
	c.recordJobCounts(digest)
}

// recordJobCounts records the task counts in a leader's digest, from which status queries are
// answered.
func (c *Core) recordJobCounts(digest *wire.Digest) {
	if !digest.HasJobs {
		return
	}
	if !digest.More || c.jobCounts == nil {
		c.jobCounts = make(map[string]wire.JobCount, len(digest.Jobs))
	}
	for _, count := range digest.Jobs {
		c.jobCounts[count.ID] = count
	}
}

// recordLeaseExtensions records the worker leases that another controller has extended.
func (l *leader) recordLeaseExtensions(extensions []wire.Kept) {
	for _, extension := range extensions {
		if machine := l.Machines[extension.Machine]; machine != nil {
			age := time.Duration(extension.AgeMS) * time.Millisecond
			reconcile.RecordLeaseExtension(machine, l.core.now-age)
		}
	}
}

// maxDigestJobs is the maximum number of jobs whose task counts one message carries. It limits the
// size of messages.
const maxDigestJobs = 1000

// sendDigests sends a digest to the other controllers, in several parts if it carries the task
// counts of many jobs.
func (c *Core) sendDigests() {
	digest := c.newDigest()
	for len(digest.Jobs) > maxDigestJobs {
		c.sendDigestPart(digest, digest.Jobs[:maxDigestJobs])
		digest.Jobs, digest.More = digest.Jobs[maxDigestJobs:], true
	}
	c.sendDigestPart(digest, digest.Jobs)
}

// newDigest returns this controller's digest, without the parts that differ by peer.
func (c *Core) newDigest() wire.Digest {
	digest := wire.Digest{Version: wire.PeerVersion, Term: c.election.Term(), StoreOK: c.store.Available()}
	c.membership.FillDigest(&digest)
	digest.Cancelled = c.frontEnd.PendingCancellations()
	if c.leader == nil {
		return digest
	}
	digest.Leader = true
	digest.FetchesQueue = c.leader.pullEvidence.isSequential()
	if c.now >= c.jobCountsDueAt {
		c.jobCountsDueAt = c.now + c.leaderLeaseDuration()
		digest.HasJobs, digest.Jobs = true, c.leader.jobCounts()
	}
	return digest
}

// sendDigestPart sends a digest with the task counts of some jobs to every peer, with the echo of
// that peer's own clock.
func (c *Core) sendDigestPart(digest wire.Digest, jobs []wire.JobCount) {
	digest.Jobs = jobs
	for _, peer := range c.settings.Peers {
		part := digest
		c.membership.FillEcho(&part, peer.Name)
		c.send(peer.Name, &wire.PeerMessage{Digest: &part})
	}
}
