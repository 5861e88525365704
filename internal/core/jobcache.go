package core

import (
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/segmentio/encoding/json"
)

// openJob is what a controller remembers of an open job.
type openJob struct {
	version    uint64
	rec        records.Open
	unwritable bool // the state service does not take a record of this size any more
}

// maxKnown is how many jobs of a kind are remembered, open or final: a hundred
// for each megabyte, about a fiftieth of the memory.
func (c *Core) maxKnown() int { return int(100 * c.cfg.Deployment.Limits.RAMMB) }

// cacheOpen remembers an open job; the ones known for longest make way. Forgetting
// is safe: a job that is asked for is read again.
func (c *Core) cacheOpen(id string, k *openJob) {
	u := &c.users
	if u.open[id] == nil {
		u.openOrder = append(u.openOrder, id)
	}
	u.open[id] = k
	for len(u.openOrder) > c.maxKnown() {
		if old := u.openOrder[0]; old != id {
			delete(u.open, old)
		}
		u.openOrder = u.openOrder[1:]
	}
}

// cacheFinal keeps a final state in memory; the oldest ones make way.
func (c *Core) cacheFinal(id string, f records.Final) {
	u := &c.users
	delete(u.open, id)
	if _, ok := u.final[id]; !ok {
		u.finalOrder = append(u.finalOrder, id)
		if len(u.finalOrder) > c.maxKnown() {
			delete(u.final, u.finalOrder[0])
			u.finalOrder = u.finalOrder[1:]
		}
	}
	u.final[id] = f
}

// tickPreload reads the open jobs once after the start, in pages: else the polls
// of every user, right after all controllers have restarted, would each take a
// read of their own, and the state service's budget with them.
func (c *Core) tickPreload() {
	if u := &c.users; !u.preloaded && c.now >= u.preloadAt {
		u.preloaded = true
		c.preload("")
	}
}

func (c *Core) preload(after string) {
	c.store.List(records.PrefixOpen, after, func(r kv.ListResult) {
		u := &c.users
		if r.Status != kv.OK {
			u.preloaded, u.preloadAt = false, c.now+c.ttl()
			return
		}
		for _, it := range r.Page.Items {
			after = it.Key
			id := it.Key[len(records.PrefixOpen):]
			k := &openJob{version: it.Version}
			if _, over := u.final[id]; !over && u.open[id] == nil && json.Unmarshal(it.Value, &k.rec) == nil {
				c.cacheOpen(id, k)
			}
		}
		if r.Page.More {
			c.preload(after)
		}
	})
}
