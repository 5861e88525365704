package core

import (
	"hash/fnv"
	"time"

	"github.com/segmentio/encoding/json"
)

// A worker is redirected to a controller of its own zone, so that it need not look for one while
// its lease runs when the zone is partitioned from the others. It is redirected only right after a
// heartbeat was answered, and seldom: a controller that it cannot reach costs it little of its
// lease.

// connectedWorker is a worker that sends its heartbeats to this controller.
type connectedWorker struct {
	lastHeartbeat time.Duration
	idle          bool // it has no tasks
	lastAnswered  time.Duration
	redirectedAt  time.Duration // when it was last redirected
	redirectedTo  string        // the leader that it was redirected to
	returnedAt    time.Duration // when it came back from there
}

// recordWorker records a worker's heartbeat, and names the controller that the worker is to send
// the next one to; empty for this one.
func (c *Core) recordWorker(body []byte) (*connectedWorker, string) {
	var heartbeat struct {
		Machine string     `json:"host"`
		Zone    string     `json:"berth"`
		Tasks   []struct{} `json:"shards"`
	}
	if json.Unmarshal(body, &heartbeat) != nil || heartbeat.Machine == "" {
		return &connectedWorker{}, ""
	}
	worker := c.reporters[heartbeat.Machine]
	if worker == nil {
		worker = &connectedWorker{}
		c.reporters[heartbeat.Machine] = worker
	}
	if worker.lastHeartbeat == 0 || c.now-worker.lastHeartbeat > 3*c.heartbeatInterval() {
		c.log.Debug("worker connected", "machine", heartbeat.Machine, "zone", heartbeat.Zone)
	}
	worker.lastHeartbeat, worker.idle = c.now, len(heartbeat.Tasks) == 0
	if worker.lastAnswered == 0 || c.now-worker.lastAnswered > 2*c.heartbeatInterval() || !worker.mayRedirect(c) {
		return worker, ""
	}
	preferred := c.preferredController(heartbeat.Machine, heartbeat.Zone)
	if preferred == "" || preferred == c.settings.Name {
		return worker, ""
	}
	worker.redirectedAt = c.now
	c.log.Debug("worker redirected", "machine", heartbeat.Machine, "controller", preferred)
	return worker, preferred
}

// mayRedirect reports whether the worker was not redirected for a while.
func (w *connectedWorker) mayRedirect(c *Core) bool {
	return w.redirectedAt == 0 || c.now-w.redirectedAt > 6*c.workerLease()
}

// preferredController names a controller of a zone that leads or hears the leader; empty if there
// is none. Where there are several, the machines are distributed over them.
func (c *Core) preferredController(machine, zone string) string {
	var candidates []string
	if c.settings.Zone == zone {
		candidates = append(candidates, c.settings.Name)
	}
	for _, p := range c.settings.Peers {
		if peer := c.peers[p.Name]; p.Zone == zone && c.heardRecently(peer) && peer.hearsLeader {
			candidates = append(candidates, p.Name)
		}
	}
	return rendezvous(machine, candidates)
}

// rendezvous chooses one of several controllers for a machine by the highest hash of both names
// (rendezvous hashing), as every controller has to make the same choice.
func rendezvous(machine string, controllers []string) string {
	best, highest := "", uint64(0)
	for _, name := range controllers {
		h := fnv.New64a()
		h.Write([]byte(machine + " " + name))
		if score := h.Sum64(); best == "" || score > highest {
			best, highest = name, score
		}
	}
	return best
}

// forgetSilentWorkers forgets workers that send their heartbeats elsewhere.
func (c *Core) forgetSilentWorkers() {
	for name, worker := range c.reporters {
		if c.now-worker.lastHeartbeat > 8*c.workerLease() {
			delete(c.reporters, name)
		}
	}
}
