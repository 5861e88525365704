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

// reporter is a worker that reports to this controller.
type reporter struct {
	seen         time.Duration
	idle         bool // it has no tasks
	answered     time.Duration
	redirected   time.Duration // when it was last sent elsewhere
	redirectedTo string        // the leader that it was sent to
	returned     time.Duration // when it came back from there
}

// noteReporter notes a worker's report, and names the controller that the
// worker had better report to, if that is another one.
func (c *Core) noteReporter(body []byte) (*reporter, string) {
	var r struct {
		Machine string     `json:"host"`
		Zone    string     `json:"berth"`
		Tasks   []struct{} `json:"shards"`
	}
	if json.Unmarshal(body, &r) != nil || r.Machine == "" {
		return &reporter{}, ""
	}
	worker := c.reporters[r.Machine]
	if worker == nil {
		worker = &reporter{}
		c.reporters[r.Machine] = worker
	}
	if worker.seen == 0 || c.now-worker.seen > 3*c.report() {
		c.log.Debug("worker reports here", "machine", r.Machine, "zone", r.Zone)
	}
	worker.seen, worker.idle = c.now, len(r.Tasks) == 0
	if worker.answered == 0 || c.now-worker.answered > 2*c.report() || !worker.mayRedirect(c) {
		return worker, ""
	}
	preferred := c.preferredController(r.Machine, r.Zone)
	if preferred == "" || preferred == c.cfg.Name {
		return worker, ""
	}
	worker.redirected = c.now
	c.log.Debug("worker redirected", "machine", r.Machine, "to", preferred)
	return worker, preferred
}

// mayRedirect tells whether the worker was not sent elsewhere for a while.
func (worker *reporter) mayRedirect(c *Core) bool {
	return worker.redirected == 0 || c.now-worker.redirected > 6*c.lease()
}

// preferredController names a controller in a zone that leads or hears the
// leader. Where there are several, the machines are spread over them.
func (c *Core) preferredController(machine, zone string) string {
	var names []string
	if c.cfg.Zone == zone {
		names = append(names, c.cfg.Name)
	}
	for _, p := range c.cfg.Peers {
		if s := c.peers[p.Name]; p.Zone == zone && c.fresh(s) && s.hearsLeader {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	// Every controller has to come to the same choice.
	best, most := "", uint64(0)
	for _, n := range names {
		h := fnv.New64a()
		h.Write([]byte(machine + " " + n))
		if s := h.Sum64(); best == "" || s > most {
			best, most = n, s
		}
	}
	return best
}

// tickReporters forgets workers that report elsewhere.
func (c *Core) tickReporters() {
	for name, worker := range c.reporters {
		if c.now-worker.seen > 8*c.lease() {
			delete(c.reporters, name)
		}
	}
}
