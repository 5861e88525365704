package core

import (
	"hash/fnv"
	"time"

	"github.com/segmentio/encoding/json"
)

// A worker is sent to a controller of its own zone: when the zone is cut off,
// it need not look for one while its lease runs out. It is sent away only right
// after it was answered, and seldom, so that a controller which cannot be
// reached from there costs it little of its lease.

// connectedWorker is a worker that reports to this controller.
type connectedWorker struct {
	lastHeartbeat time.Duration
	idle          bool // it has no tasks
	lastAnswered  time.Duration
	redirectedAt  time.Duration // when it was last sent elsewhere
	redirectedTo  string        // the leader that it was sent to
	returnedAt    time.Duration // when it came back from there
}

// recordWorker notes a worker's report, and names the controller that the
// worker had better report to, if that is another one.
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
		c.log.Debug("worker reports here", "machine", heartbeat.Machine, "zone", heartbeat.Zone)
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
	c.log.Debug("worker redirected", "machine", heartbeat.Machine, "to", preferred)
	return worker, preferred
}

// mayRedirect tells whether the worker was not sent elsewhere for a while.
func (worker *connectedWorker) mayRedirect(c *Core) bool {
	return worker.redirectedAt == 0 || c.now-worker.redirectedAt > 6*c.workerLease()
}

// preferredController names a controller in a zone that leads or hears the
// leader. Where there are several, the machines are spread over them.
func (c *Core) preferredController(machine, zone string) string {
	var candidates []string
	if c.settings.Zone == zone {
		candidates = append(candidates, c.settings.Name)
	}
	for _, p := range c.settings.Peers {
		if score := c.peers[p.Name]; p.Zone == zone && c.heardRecently(score) && score.hearsLeader {
			candidates = append(candidates, p.Name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	// Every controller has to come to the same choice.
	best, most := "", uint64(0)
	for _, n := range candidates {
		h := fnv.New64a()
		h.Write([]byte(machine + " " + n))
		if score := h.Sum64(); best == "" || score > most {
			best, most = n, score
		}
	}
	return best
}

// forgetSilentWorkers forgets workers that report elsewhere.
func (c *Core) forgetSilentWorkers() {
	for name, worker := range c.reporters {
		if c.now-worker.lastHeartbeat > 8*c.workerLease() {
			delete(c.reporters, name)
		}
	}
}
