package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// forwardedHeartbeat is a worker's report that waits for the leader's answer.
type forwardedHeartbeat struct {
	requestID uint64
	worker    *connectedWorker
	body      []byte
	deadline  time.Duration
	sentTo    string
}

// forwardTimeout is how long a report waits for the leader's answer. The worker
// waits 4 s; it gets ours well before.
const forwardTimeout = 2500 * time.Millisecond

// onHeartbeat takes a worker's report. Only the leader answers one; another
// controller forwards it to the leader, and holds it for a moment while there is
// none.
func (c *Core) onHeartbeat(req uint64, body []byte) {
	worker, preferred := c.recordWorker(body)
	if preferred != "" {
		c.redirect(req, preferred)
		return
	}
	if c.leader != nil {
		worker.lastAnswered = c.now
		c.answerHeartbeat(req, body)
		return
	}
	if !c.hearsLeader() && c.answerWithoutLeader(req, worker, body) {
		return
	}
	c.nextForwardID++
	c.forwardedHeartbeats[c.nextForwardID] = &forwardedHeartbeat{requestID: req, worker: worker, body: body, deadline: c.now + forwardTimeout}
	c.forwardToLeader(c.nextForwardID)
}

// redirect tells a worker to report to another controller.
func (c *Core) redirect(req uint64, to string) {
	c.answer(req, httpstatus.MisdirectedRequest, wire.Redirect{Controller: to}, 0)
}

// answerHeartbeat answers a report as the leader.
func (c *Core) answerHeartbeat(req uint64, body []byte) {
	status, out := c.leader.handleHeartbeat(body, c.settings.Name)
	c.out.Answers = append(c.out.Answers, Answer{ID: req, Status: status, Body: out})
}

// answerWithoutLeader answers a report while the leader is not heard, if there
// is an answer: where else to report to, an extension of the worker's lease, or
// that nobody is there to wait for.
func (c *Core) answerWithoutLeader(req uint64, worker *connectedWorker, body []byte) bool {
	if to := c.peerHearingLeader(); to != "" {
		c.redirect(req, to)
		return true
	}
	if c.leaderKeySeen() && worker.mayRedirect(c) && (worker.idle || !c.mayExtendLeases()) {
		// Only the controllers may be apart: the worker asks the leader
		// itself, and comes back if it does not reach it either. One that
		// has tasks is not risked while its lease can be kept.
		worker.redirectedAt, worker.redirectedTo = c.now, c.election.Leader()
		c.redirect(req, c.election.Leader())
		return true
	}
	if worker.redirectedTo == c.election.Leader() && c.now-worker.redirectedAt < 2*c.workerLease() {
		worker.returnedAt = c.now
	}
	if c.extendLease(req, body) {
		return true
	}
	if !c.store.Available() && !c.hearsPeer() {
		// There is nobody to wait for; another controller may know more.
		c.answer(req, httpstatus.ServiceUnavailable, nil, 0)
		return true
	}
	return false
}

// forwardPending passes on all reports that wait, to a leader that is known now.
func (c *Core) forwardPending() {
	for _, id := range c.pendingForwardIDs() {
		c.forwardToLeader(id)
	}
}

// forwardToLeader hands a report to the leader, unless it has it already.
func (c *Core) forwardToLeader(id uint64) {
	heartbeat := c.forwardedHeartbeats[id]
	switch {
	case c.leader != nil:
		delete(c.forwardedHeartbeats, id)
		c.answerHeartbeat(heartbeat.requestID, heartbeat.body)
	case c.election.Leader() != "" && c.election.Leader() != c.settings.Name && heartbeat.sentTo != c.election.Leader():
		heartbeat.sentTo = c.election.Leader()
		body := heartbeat.body
		if p := c.peers[heartbeat.sentTo]; p == nil || p.version == 0 {
			body = newestAttemptFirst(body)
		}
		c.send(heartbeat.sentTo, &wire.PeerMessage{Forward: &wire.Forward{ID: id, Body: body}})
	}
}

// newestAttemptFirst puts the rows of a report that lists a task twice in order, the
// newest attempt at a task first. A leader of a version before PeerVersion 1
// takes the first row of a task for its present attempt: with an ended earlier
// one before it, a running task passed for vanished and ran twice. Such a leader
// sorts the rows by task, which leaves those that are in order as they are. No
// row is left out, and the protocol gives rows no order; a report that lists no
// task twice goes on as it came.
func newestAttemptFirst(body []byte) []byte {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok {
		return body
	}
	seen := make(map[string]bool, len(heartbeat.Tasks))
	for _, t := range heartbeat.Tasks {
		seen[t.Task] = true
	}
	if len(seen) == len(heartbeat.Tasks) {
		return body
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(b.Attempt, a.Attempt))
	})
	return kv.Encode(heartbeat)
}

// pendingForwardIDs lists the reports that wait, in their order.
func (c *Core) pendingForwardIDs() []uint64 {
	ids := make([]uint64, 0, len(c.forwardedHeartbeats))
	for id := range c.forwardedHeartbeats {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireForwards answers the reports that waited too long.
func (c *Core) expireForwards() {
	for _, id := range c.pendingForwardIDs() {
		if f := c.forwardedHeartbeats[id]; c.now >= f.deadline {
			delete(c.forwardedHeartbeats, id)
			if !c.extendLease(f.requestID, f.body) {
				c.log.Debug("report not answered in time", "leader", f.sentTo)
				c.answer(f.requestID, httpstatus.ServiceUnavailable, nil, 0)
			}
		}
	}
}

// send sends another controller a message.
func (c *Core) send(to string, m *wire.PeerMessage) {
	m.From = c.settings.Name
	c.out.PeerSends = append(c.out.PeerSends, Send{To: to, Message: m})
}

// onPeerMessage takes another controller's message.
func (c *Core) onPeerMessage(m *wire.PeerMessage) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.heard, p.ever = c.now, true
	switch {
	case m.Forward != nil:
		c.onForward(m.From, m.Forward)
	case m.Reply != nil:
		c.onForwardReply(m.From, m.Reply)
	case m.Ends != nil:
		c.frontEnd.HandleEnds(m.Ends)
	case m.Digest != nil:
		c.onDigest(m.From, p, m.Digest)
	case m.Region != nil && c.leader != nil:
		c.leader.onRegionMessage(m.Region)
	}
}

// onForward answers a report that another controller forwards.
func (c *Core) onForward(from string, f *wire.Forward) {
	r := &wire.Reply{ID: f.ID, Status: 503, Body: []byte("{}")}
	if c.leader != nil {
		r.Status, r.Body = c.leader.handleHeartbeat(f.Body, from)
	}
	c.send(from, &wire.PeerMessage{Reply: r})
}

// onForwardReply hands the leader's answer to the worker whose report was forwarded.
func (c *Core) onForwardReply(from string, r *wire.Reply) {
	f := c.forwardedHeartbeats[r.ID]
	if f == nil || f.sentTo != from {
		return
	}
	delete(c.forwardedHeartbeats, r.ID)
	if r.Status == 200 {
		f.worker.lastAnswered = c.now
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: f.requestID, Status: r.Status, Body: r.Body})
}

// onDigest takes in what another controller says of itself.
func (c *Core) onDigest(from string, p *peerState, d *wire.Digest) {
	c.recordTestimony(p, d)
	p.version = max(p.version, d.Version)
	p.storeOK, p.hearsLeader = d.StoreOK, d.HearsLeader
	if c.leader != nil {
		c.leader.handlePeerCancellations(from, d.Cancelled)
	}
	if d.Leader {
		c.onLeaderDigest(from, d)
	} else if c.leader != nil && d.Term > c.leader.leadership.Term {
		c.stepDown(stepDownPeerHigherTerm)
	}
}

// onLeaderDigest takes in the digest of a controller that leads.
func (c *Core) onLeaderDigest(from string, d *wire.Digest) {
	c.election.ObserveLeader(d.Term, from)
	if c.leader != nil || c.election.Leader() != from {
		return
	}
	c.election.RecordLeaderHeard()
	c.acknowledgeExtensions(d)
	c.pullsAreSequential = d.FetchesQueue
	if !d.HasJobs {
		return
	}
	if !d.More || c.jobCounts == nil {
		c.jobCounts = make(map[string]wire.JobCount, len(d.Jobs))
	}
	for _, j := range d.Jobs {
		c.jobCounts[j.ID] = j
	}
}

// sendDigests tells the other controllers of this one.
func (c *Core) sendDigests() {
	digest := wire.Digest{Version: wire.PeerVersion, Term: c.election.Term(), StoreOK: c.store.Available(), HearsLeader: c.hearsLeader(), Boot: c.incarnation, Clock: int64(c.now), Kept: c.extensions.list(c.now)}
	digest.Cancelled = c.frontEnd.Cancellations()
	if c.leader != nil {
		digest.Leader, digest.FetchesQueue = true, c.leader.pullStatistics.isSequential()
		if c.now >= c.jobCountsDueAt {
			c.jobCountsDueAt = c.now + c.leaderLeaseDuration()
			digest.HasJobs, digest.Jobs = true, c.leader.jobCounts()
		}
	}
	// A message stays small however many jobs there are.
	for len(digest.Jobs) > maxDigestJobs {
		c.sendDigestPart(digest, digest.Jobs[:maxDigestJobs])
		digest.Jobs, digest.More = digest.Jobs[maxDigestJobs:], true
	}
	c.sendDigestPart(digest, digest.Jobs)
}

// maxDigestJobs is how many jobs' counts go into one message.
const maxDigestJobs = 1000

// sendDigestPart sends a digest with a part of the jobs' counts, with each
// peer's own clock echoed to it.
func (c *Core) sendDigestPart(d wire.Digest, jobs []wire.JobCount) {
	d.Jobs = jobs
	for _, p := range c.settings.Peers {
		one, s := d, c.peers[p.Name]
		one.EchoBoot, one.Echo = s.incarnation, int64(s.clock)
		c.send(p.Name, &wire.PeerMessage{Digest: &one})
	}
}

// heardRecently tells whether a peer was heard within the time of a leader's lease.
func (c *Core) heardRecently(p *peerState) bool {
	return p.ever && c.now-p.heard < c.leaderLeaseDuration()
}

// zoneLost tells whether a zone has controllers and none of them is heard.
func (c *Core) zoneLost(zone string) bool {
	lost := false
	for _, p := range c.settings.Peers {
		if p.Zone == zone {
			if c.heardRecently(c.peers[p.Name]) {
				return false
			}
			lost = true
		}
	}
	return lost && c.settings.Zone != zone
}

// hearsPeer tells whether any other controller is heard.
func (c *Core) hearsPeer() bool {
	for _, p := range c.peers {
		if c.heardRecently(p) {
			return true
		}
	}
	return false
}

// allPeersSupport tells whether every controller has said that it understands what
// a version introduced. One that has said so stays at that version.
func (c *Core) allPeersSupport(version int) bool {
	for _, p := range c.peers {
		if p.version < version {
			return false
		}
	}
	return true
}

// lostAllPeers tells whether all other controllers, once heard, fell silent.
func (c *Core) lostAllPeers() bool {
	ever := false
	for _, p := range c.peers {
		ever = ever || p.ever
	}
	return ever && !c.hearsPeer()
}

// hearsLeader tells whether this controller leads or hears the one that does.
func (c *Core) hearsLeader() bool {
	return c.leader != nil || c.election.Leader() != "" && c.now-c.election.LeaderHeard() < c.leaderLeaseDuration()
}

// leaderKeySeen tells whether another controller's leadership was lately seen in
// the state service.
func (c *Core) leaderKeySeen() bool {
	leader, read := c.election.Leader(), c.election.LeaderKeyRead()
	return leader != "" && leader != c.settings.Name && read != 0 && c.now-read < c.leaderLeaseDuration()
}

// leaderLost tells whether a peer agrees that the leader, though it holds its
// key, is out of reach. A controller that hears no peer is more likely cut off
// itself, and must not take over from a leader that is well.
func (c *Core) leaderLost() bool {
	if c.hearsLeader() {
		return false
	}
	agreed := false
	for _, p := range c.settings.Peers {
		if s := c.peers[p.Name]; p.Name != c.election.Leader() && c.heardRecently(s) {
			if s.hearsLeader {
				return false
			}
			agreed = true
		}
	}
	if agreed {
		return true
	}
	// With all peers out of reach, workers that did not find the leader either
	// speak against it.
	for _, worker := range c.reporters {
		if worker.returnedAt != 0 && c.now-worker.returnedAt < c.workerLease() && c.now-c.election.LeaderHeard() > 2*c.workerLease() {
			return true
		}
	}
	return false
}

// peerHearingLeader names a peer that hears the leader, for a worker whose report
// cannot be forwarded from here; empty if there is none.
func (c *Core) peerHearingLeader() string {
	for _, p := range c.settings.Peers {
		if s := c.peers[p.Name]; c.heardRecently(s) && s.hearsLeader {
			return p.Name
		}
	}
	return ""
}

// peerReachesStore tells whether another controller lately said that the state
// service answers it.
func (c *Core) peerReachesStore() bool {
	for _, p := range c.peers {
		if p.ever && p.storeOK && c.now-p.heard < 3*time.Second {
			return true
		}
	}
	return false
}

// decodeHeartbeat parses a worker's report.
func decodeHeartbeat(body []byte) (*wire.Heartbeat, bool) {
	var r wire.Heartbeat
	if json.Unmarshal(body, &r) != nil || r.Machine == "" {
		return nil, false
	}
	return &r, true
}
