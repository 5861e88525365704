package core

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Workers send their heartbeats to any controller. Only the leader can answer them from its state,
// see leader.handleHeartbeat. This file forwards heartbeats from a follower to the leader,
// redirects workers to other controllers, and extends worker leases without contact with the
// leader. Package membership decides which of these applies.

// forwardedHeartbeat is a heartbeat that waits on a follower for the leader's answer.
type forwardedHeartbeat struct {
	requestID uint64
	worker    *membership.Worker
	body      []byte
	deadline  time.Duration // for the leader's answer
	sentTo    string        // leader that it was last forwarded to; empty if not forwarded yet
}

// firstForwardID returns the number after which a run of this program numbers its forwarded heartbeats.
// The numbers of different runs do not overlap: a leader may reply to an earlier run.
func firstForwardID(incarnation uint64) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, incarnation)) // never fails
	return hash.Sum64()
}

// forwardTimeout is how long a heartbeat waits for the leader's answer. It is well below the
// worker's own timeout of 4 s, so that this controller's answer reaches the worker in time.
const forwardTimeout = 2500 * time.Millisecond

// onHeartbeat handles a worker's heartbeat. A follower forwards it to the leader, or holds it
// for up to forwardTimeout if no leader is known.
func (c *Core) onHeartbeat(requestID uint64, body []byte) {
	worker, redirectTo := c.recordWorker(body)
	if redirectTo != "" {
		c.redirect(requestID, redirectTo)
		return
	}
	if c.leader != nil {
		c.membership.RecordAnswer(worker)
		c.answerHeartbeat(requestID, body)
		return
	}
	if !c.membership.HasLeaderContact() && c.answerWithoutLeader(requestID, worker, body) {
		return
	}
	c.lastForwardID++
	c.forwardedHeartbeats[c.lastForwardID] = &forwardedHeartbeat{
		requestID: requestID,
		worker:    worker,
		body:      body,
		deadline:  c.now + forwardTimeout,
	}
	c.forwardToLeader(c.lastForwardID)
}

// recordWorker records the sender of a heartbeat. It returns the worker, and the controller to
// redirect it to; empty for no redirection. A heartbeat that cannot be decoded is not recorded.
func (c *Core) recordWorker(body []byte) (worker *membership.Worker, redirectTo string) {
	var heartbeat struct {
		Machine string     `json:"host"`
		Zone    string     `json:"berth"`
		Tasks   []struct{} `json:"shards"`
	}
	if json.Unmarshal(body, &heartbeat) != nil || heartbeat.Machine == "" {
		return &membership.Worker{}, ""
	}
	return c.membership.RecordHeartbeat(membership.Heartbeat{
		Machine: heartbeat.Machine,
		Zone:    heartbeat.Zone,
		Idle:    len(heartbeat.Tasks) == 0,
	})
}

// redirect tells a worker to send its heartbeats to another controller.
func (c *Core) redirect(requestID uint64, controller string) {
	c.answer(requestID, httpstatus.MisdirectedRequest, wire.Redirect{Controller: controller}, 0)
}

// answerHeartbeat answers a heartbeat as the leader.
func (c *Core) answerHeartbeat(requestID uint64, body []byte) {
	status, answer := c.leader.handleHeartbeat(body, c.settings.Name)
	c.out.Answers = append(c.out.Answers, Answer{ID: requestID, Status: status, Body: answer})
}

// answerWithoutLeader answers a heartbeat without contact with the leader: with a redirection, an
// extension of the worker's lease, or an error if no leader can become reachable from here. It
// returns false if the heartbeat has to wait for a leader.
func (c *Core) answerWithoutLeader(requestID uint64, worker *membership.Worker, body []byte) bool {
	if controller := c.membership.RedirectWithoutLeader(worker); controller != "" {
		c.redirect(requestID, controller)
		return true
	}
	if c.extendLease(requestID, body) {
		return true
	}
	if !c.store.Available() && !c.membership.HasPeerContact() {
		// This controller can neither take part in an election nor detect a new leader.
		// Another controller may be able to accept the heartbeat.
		c.answer(requestID, httpstatus.ServiceUnavailable, nil, 0)
		return true
	}
	return false
}

// extendLease answers a heartbeat on behalf of the leader, without commands. It returns false if
// this controller may not extend the worker's lease.
func (c *Core) extendLease(requestID uint64, body []byte) bool {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok || !c.membership.ExtendLease(heartbeat.Machine, heartbeat.FencingToken) {
		return false
	}
	commands := wire.CommandList{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}
	c.answer(requestID, httpstatus.OK, commands, 0)
	return true
}

// forwardPending forwards all waiting heartbeats to a leader that has just become known.
func (c *Core) forwardPending() {
	for _, id := range c.pendingForwardIDs() {
		c.forwardToLeader(id)
	}
}

// forwardToLeader forwards a waiting heartbeat to the leader, unless it was forwarded to that
// leader before. If this controller has become the leader, it answers the heartbeat itself.
func (c *Core) forwardToLeader(id uint64) {
	heartbeat := c.forwardedHeartbeats[id]
	leader := c.election.Leader()
	switch {
	case c.leader != nil:
		delete(c.forwardedHeartbeats, id)
		c.answerHeartbeat(heartbeat.requestID, heartbeat.body)
	case leader != "" && leader != c.settings.Name && leader != heartbeat.sentTo:
		heartbeat.sentTo = leader
		body := heartbeat.body
		if !c.membership.PeerSupports(leader, wire.PeerVersionPlacementRanges) {
			body = newestAttemptFirst(body)
		}
		c.send(leader, &wire.PeerMessage{Forward: &wire.Forward{ID: id, Body: body}})
	}
}

// newestAttemptFirst sorts the rows of a heartbeat that lists a task more than once, so that the
// newest attempt at each task comes first. A leader of a version before
// wire.PeerVersionPlacementRanges treats the first row of a task as its current attempt: if an
// ended earlier attempt came first, a running task appeared to be lost and was started a second
// time. Such a leader sorts the rows by task, which keeps the order of rows that are already
// sorted. All rows are kept, and the protocol does not define an order of rows. A heartbeat that
// lists no task twice is forwarded unchanged.
func newestAttemptFirst(body []byte) []byte {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok {
		return body
	}
	seen := make(map[string]bool, len(heartbeat.Tasks))
	for _, task := range heartbeat.Tasks {
		seen[task.Task] = true
	}
	if len(seen) == len(heartbeat.Tasks) {
		return body
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(b.Attempt, a.Attempt))
	})
	return kv.Encode(heartbeat)
}

// pendingForwardIDs returns the IDs of the waiting heartbeats, in the order of their arrival.
func (c *Core) pendingForwardIDs() []uint64 {
	ids := make([]uint64, 0, len(c.forwardedHeartbeats))
	for id := range c.forwardedHeartbeats {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireForwards answers the heartbeats that have reached their deadline.
func (c *Core) expireForwards() {
	for _, id := range c.pendingForwardIDs() {
		heartbeat := c.forwardedHeartbeats[id]
		if c.now < heartbeat.deadline {
			continue
		}
		delete(c.forwardedHeartbeats, id)
		if c.extendLease(heartbeat.requestID, heartbeat.body) {
			continue
		}
		c.log.Debug("forwarded heartbeat timed out", "controller", heartbeat.sentTo)
		c.answer(heartbeat.requestID, httpstatus.ServiceUnavailable, nil, 0)
	}
}

// onForward answers a heartbeat that another controller forwarded to this one as the leader. A
// controller that is not the leader refuses it.
func (c *Core) onForward(from string, forward *wire.Forward) {
	reply := &wire.Reply{ID: forward.ID, Status: httpstatus.ServiceUnavailable, Body: []byte("{}")}
	if c.leader != nil {
		reply.Status, reply.Body = c.leader.handleHeartbeat(forward.Body, from)
	}
	c.send(from, &wire.PeerMessage{Reply: reply})
}

// onForwardReply sends the leader's answer to the worker whose heartbeat was forwarded.
func (c *Core) onForwardReply(from string, reply *wire.Reply) {
	heartbeat := c.forwardedHeartbeats[reply.ID]
	if heartbeat == nil || heartbeat.sentTo != from {
		return
	}
	delete(c.forwardedHeartbeats, reply.ID)
	if reply.Status == httpstatus.OK {
		c.membership.RecordAnswer(heartbeat.worker)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: heartbeat.requestID, Status: reply.Status, Body: reply.Body})
}

// decodeHeartbeat decodes a worker's heartbeat. ok is false if it is malformed or names no machine.
func decodeHeartbeat(body []byte) (heartbeat *wire.Heartbeat, ok bool) {
	heartbeat = new(wire.Heartbeat)
	if json.Unmarshal(body, heartbeat) != nil || heartbeat.Machine == "" {
		return nil, false
	}
	return heartbeat, true
}
