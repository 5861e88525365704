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

// forward is a worker's report that waits for the leader's answer.
type forward struct {
	req    uint64
	from   *reporter
	body   []byte
	until  time.Duration
	sentTo string
}

// forwardTimeout is how long a report waits for the leader's answer. The worker
// waits 4 s; it gets ours well before.
const forwardTimeout = 2500 * time.Millisecond

// onReport takes a worker's report. Only the leader answers one; another
// controller forwards it to the leader, and holds it for a moment while there is
// none.
func (c *Core) onReport(req uint64, body []byte) {
	worker, preferred := c.noteReporter(body)
	if preferred != "" {
		c.redirect(req, preferred)
		return
	}
	if c.lead != nil {
		worker.answered = c.now
		c.answerReport(req, body)
		return
	}
	if !c.hearsLeader() && c.answerWithoutLeader(req, worker, body) {
		return
	}
	c.nextForward++
	c.forwards[c.nextForward] = &forward{req: req, from: worker, body: body, until: c.now + forwardTimeout}
	c.forwardToLeader(c.nextForward)
}

// redirect tells a worker to report to another controller.
func (c *Core) redirect(req uint64, to string) {
	c.answer(req, httpstatus.MisdirectedRequest, wire.Redirect{ReportTo: to}, 0)
}

// answerReport answers a report as the leader.
func (c *Core) answerReport(req uint64, body []byte) {
	status, out := c.lead.handleReport(body, c.cfg.Name)
	c.out.Answers = append(c.out.Answers, Answer{ID: req, Status: status, Body: out})
}

// answerWithoutLeader answers a report while the leader is not heard, if there
// is an answer: where else to report to, an extension of the worker's lease, or
// that nobody is there to wait for.
func (c *Core) answerWithoutLeader(req uint64, worker *reporter, body []byte) bool {
	if to := c.redirectPeer(); to != "" {
		c.redirect(req, to)
		return true
	}
	if c.leaderAlive() && worker.mayRedirect(c) && (worker.idle || !c.mayExtendLeases()) {
		// Only the controllers may be apart: the worker asks the leader
		// itself, and comes back if it does not reach it either. One that
		// has tasks is not risked while its lease can be kept.
		worker.redirected, worker.redirectedTo = c.now, c.elect.Leader()
		c.redirect(req, c.elect.Leader())
		return true
	}
	if worker.redirectedTo == c.elect.Leader() && c.now-worker.redirected < 2*c.lease() {
		worker.returned = c.now
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

// flushForwards passes on all reports that wait, to a leader that is known now.
func (c *Core) flushForwards() {
	for _, id := range c.forwardIDs() {
		c.forwardToLeader(id)
	}
}

// forwardToLeader hands a report to the leader, unless it has it already.
func (c *Core) forwardToLeader(id uint64) {
	f := c.forwards[id]
	switch {
	case c.lead != nil:
		delete(c.forwards, id)
		c.answerReport(f.req, f.body)
	case c.elect.Leader() != "" && c.elect.Leader() != c.cfg.Name && f.sentTo != c.elect.Leader():
		f.sentTo = c.elect.Leader()
		body := f.body
		if p := c.peers[f.sentTo]; p == nil || p.version == 0 {
			body = presentFirst(body)
		}
		c.send(f.sentTo, &wire.PeerMessage{Forward: &wire.Forward{ID: id, Body: body}})
	}
}

// presentFirst puts the rows of a report that lists a task twice in order, the
// newest attempt at a task first. A leader of a version before PeerVersion 1
// takes the first row of a task for its present attempt: with an ended earlier
// one before it, a running task passed for vanished and ran twice. Such a leader
// sorts the rows by task, which leaves those that are in order as they are. No
// row is left out, and the protocol gives rows no order; a report that lists no
// task twice goes on as it came.
func presentFirst(body []byte) []byte {
	r, ok := decodeReport(body)
	if !ok {
		return body
	}
	seen := make(map[string]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		seen[t.Task] = true
	}
	if len(seen) == len(r.Tasks) {
		return body
	}
	slices.SortFunc(r.Tasks, func(a, b wire.Task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(b.Attempt, a.Attempt))
	})
	return kv.Encode(r)
}

// forwardIDs lists the reports that wait, in their order.
func (c *Core) forwardIDs() []uint64 {
	ids := make([]uint64, 0, len(c.forwards))
	for id := range c.forwards {
		ids = append(ids, id)
	}
	sortUint64(ids)
	return ids
}

// tickForwards answers the reports that waited too long.
func (c *Core) tickForwards() {
	for _, id := range c.forwardIDs() {
		if f := c.forwards[id]; c.now >= f.until {
			delete(c.forwards, id)
			if !c.extendLease(f.req, f.body) {
				c.log.Debug("report not answered in time", "leader", f.sentTo)
				c.answer(f.req, httpstatus.ServiceUnavailable, nil, 0)
			}
		}
	}
}

// send sends another controller a message.
func (c *Core) send(to string, m *wire.PeerMessage) {
	m.From = c.cfg.Name
	c.out.Sends = append(c.out.Sends, Send{To: to, Msg: m})
}

// onPeer takes another controller's message.
func (c *Core) onPeer(m *wire.PeerMessage) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.heard, p.ever = c.now, true
	switch {
	case m.Forward != nil:
		c.onForward(m.From, m.Forward)
	case m.Reply != nil:
		c.onReply(m.From, m.Reply)
	case m.Ends != nil:
		c.onEnds(m.Ends)
	case m.Digest != nil:
		c.onDigest(m.From, p, m.Digest)
	case m.Region != nil && c.lead != nil:
		c.lead.onRegionMessage(m.Region)
	}
}

// onForward answers a report that another controller forwards.
func (c *Core) onForward(from string, f *wire.Forward) {
	r := &wire.Reply{ID: f.ID, Status: 503, Body: []byte("{}")}
	if c.lead != nil {
		r.Status, r.Body = c.lead.handleReport(f.Body, from)
	}
	c.send(from, &wire.PeerMessage{Reply: r})
}

// onReply hands the leader's answer to the worker whose report was forwarded.
func (c *Core) onReply(from string, r *wire.Reply) {
	f := c.forwards[r.ID]
	if f == nil || f.sentTo != from {
		return
	}
	delete(c.forwards, r.ID)
	if r.Status == 200 {
		f.from.answered = c.now
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: f.req, Status: r.Status, Body: r.Body})
}

// onDigest takes in what another controller says of itself.
func (c *Core) onDigest(from string, p *peerState, d *wire.Digest) {
	c.noteExtensions(p, d)
	p.version = max(p.version, d.Version)
	p.storeOK, p.hearsLeader = d.StoreOK, d.HearsLeader
	if c.lead != nil {
		c.lead.noteCancelled(from, d.Cancelled)
	}
	if d.Leader {
		c.onLeaderDigest(from, d)
	} else if c.lead != nil && d.Term > c.lead.mandate.Term {
		c.stepDown(stepDownPeerKnows)
	}
}

// onLeaderDigest takes in the digest of a controller that leads.
func (c *Core) onLeaderDigest(from string, d *wire.Digest) {
	c.elect.Learn(d.Term, from)
	if c.lead != nil || c.elect.Leader() != from {
		return
	}
	c.elect.NoteLeaderHeard()
	c.noteEcho(d)
	c.fetchesQueue = d.FetchesQueue
	if !d.HasJobs {
		return
	}
	if !d.More || c.counts == nil {
		c.counts = make(map[string]wire.JobCount, len(d.Jobs))
	}
	for _, j := range d.Jobs {
		c.counts[j.ID] = j
	}
}

// sendDigest tells the other controllers of this one.
func (c *Core) sendDigest() {
	d := wire.Digest{Version: wire.PeerVersion, Term: c.elect.Term(), StoreOK: c.store.Available(), HearsLeader: c.hearsLeader(), Boot: c.boot, Clock: int64(c.now), Kept: c.extensions.list(c.now)}
	for _, id := range c.users.cancels.Jobs() {
		d.Cancelled = append(d.Cancelled, wire.Cancelled{ID: id, Version: c.users.cancels.Version(id)})
	}
	if c.lead != nil {
		d.Leader, d.FetchesQueue = true, c.lead.fetches.queue()
		if c.now >= c.countsAt {
			c.countsAt = c.now + c.ttl()
			d.HasJobs, d.Jobs = true, c.lead.digest()
		}
	}
	// A message stays small however many jobs there are.
	for len(d.Jobs) > digestJobs {
		c.sendDigestPart(d, d.Jobs[:digestJobs])
		d.Jobs, d.More = d.Jobs[digestJobs:], true
	}
	c.sendDigestPart(d, d.Jobs)
}

// digestJobs is how many jobs' counts go into one message.
const digestJobs = 1000

// sendDigestPart sends a digest with a part of the jobs' counts, with each
// peer's own clock echoed to it.
func (c *Core) sendDigestPart(d wire.Digest, jobs []wire.JobCount) {
	d.Jobs = jobs
	for _, p := range c.cfg.Peers {
		one, s := d, c.peers[p.Name]
		one.EchoBoot, one.Echo = s.boot, int64(s.clock)
		c.send(p.Name, &wire.PeerMessage{Digest: &one})
	}
}

// fresh tells whether a peer was heard within the time of a leader's lease.
func (c *Core) fresh(p *peerState) bool { return p.ever && c.now-p.heard < c.ttl() }

// zoneLost tells whether a zone has controllers and none of them is heard.
func (c *Core) zoneLost(zone string) bool {
	lost := false
	for _, p := range c.cfg.Peers {
		if p.Zone == zone {
			if c.fresh(c.peers[p.Name]) {
				return false
			}
			lost = true
		}
	}
	return lost && c.cfg.Zone != zone
}

// hearsPeer tells whether any other controller is heard.
func (c *Core) hearsPeer() bool {
	for _, p := range c.peers {
		if c.fresh(p) {
			return true
		}
	}
	return false
}

// allUnderstand tells whether every controller has said that it understands what
// a version introduced. One that has said so stays at that version.
func (c *Core) allUnderstand(version int) bool {
	for _, p := range c.peers {
		if p.version < version {
			return false
		}
	}
	return true
}

// cutFromPeers tells whether all other controllers, once heard, fell silent.
func (c *Core) cutFromPeers() bool {
	ever := false
	for _, p := range c.peers {
		ever = ever || p.ever
	}
	return ever && !c.hearsPeer()
}

// hearsLeader tells whether this controller leads or hears the one that does.
func (c *Core) hearsLeader() bool {
	return c.lead != nil || c.elect.Leader() != "" && c.now-c.elect.LeaderHeard() < c.ttl()
}

// leaderAlive tells whether another controller's leadership was lately seen in
// the state service.
func (c *Core) leaderAlive() bool {
	leader, read := c.elect.Leader(), c.elect.KeyRead()
	return leader != "" && leader != c.cfg.Name && read != 0 && c.now-read < c.ttl()
}

// leaderLost tells whether a peer agrees that the leader, though it holds its
// key, is out of reach. A controller that hears no peer is more likely cut off
// itself, and must not take over from a leader that is well.
func (c *Core) leaderLost() bool {
	if c.hearsLeader() {
		return false
	}
	agreed := false
	for _, p := range c.cfg.Peers {
		if s := c.peers[p.Name]; p.Name != c.elect.Leader() && c.fresh(s) {
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
		if worker.returned != 0 && c.now-worker.returned < c.lease() && c.now-c.elect.LeaderHeard() > 2*c.lease() {
			return true
		}
	}
	return false
}

// redirectPeer names a peer that hears the leader, for a worker whose report
// cannot be forwarded from here; empty if there is none.
func (c *Core) redirectPeer() string {
	for _, p := range c.cfg.Peers {
		if s := c.peers[p.Name]; c.fresh(s) && s.hearsLeader {
			return p.Name
		}
	}
	return ""
}

// peerStoreOK tells whether another controller lately said that the state
// service answers it.
func (c *Core) peerStoreOK() bool {
	for _, p := range c.peers {
		if p.ever && p.storeOK && c.now-p.heard < 3*time.Second {
			return true
		}
	}
	return false
}

// decodeReport parses a worker's report.
func decodeReport(body []byte) (*wire.Report, bool) {
	var r wire.Report
	if json.Unmarshal(body, &r) != nil || r.Machine == "" {
		return nil, false
	}
	return &r, true
}
