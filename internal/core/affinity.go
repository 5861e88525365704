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

// visitor is a worker that reports to this controller.
type visitor struct {
	seen         time.Duration
	idle         bool // it has no tasks
	answered     time.Duration
	redirected   time.Duration // when it was last sent elsewhere
	redirectedTo string        // the leader that it was sent to
	returned     time.Duration // when it came back from there
}

// noteReporter notes a worker's report, and names the controller that the
// worker had better report to, if that is another one.
func (c *Core) noteReporter(body []byte) (*visitor, string) {
	var r struct {
		Machine string     `json:"host"`
		Zone    string     `json:"berth"`
		Tasks   []struct{} `json:"shards"`
	}
	if json.Unmarshal(body, &r) != nil || r.Machine == "" {
		return &visitor{}, ""
	}
	v := c.visitors[r.Machine]
	if v == nil {
		v = &visitor{}
		c.visitors[r.Machine] = v
	}
	if v.seen == 0 || c.now-v.seen > 3*c.report() {
		c.log.Debug("worker reports here", "machine", r.Machine, "zone", r.Zone)
	}
	v.seen, v.idle = c.now, len(r.Tasks) == 0
	if v.answered == 0 || c.now-v.answered > 2*c.report() || !v.mayRedirect(c) {
		return v, ""
	}
	home := c.preferredController(r.Machine, r.Zone)
	if home == "" || home == c.cfg.Name {
		return v, ""
	}
	v.redirected = c.now
	c.log.Debug("worker sent home", "machine", r.Machine, "to", home)
	return v, home
}

// mayRedirect tells whether the worker was not sent elsewhere for a while.
func (v *visitor) mayRedirect(c *Core) bool {
	return v.redirected == 0 || c.now-v.redirected > 6*c.lease()
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

// tickVisitors forgets workers that report elsewhere.
func (c *Core) tickVisitors() {
	for name, v := range c.visitors {
		if c.now-v.seen > 8*c.lease() {
			delete(c.visitors, name)
		}
	}
}
