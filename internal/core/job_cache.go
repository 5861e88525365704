package core

import (
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/segmentio/encoding/json"
)

// cachedJob is what a controller remembers of an open job.
type cachedJob struct {
	version         uint64
	record          records.Open
	tooLargeToWrite bool // the state service does not take a record of this size any more
}

// maxCachedJobs is how many jobs of a kind are remembered, open or final: a hundred
// for each megabyte, about a fiftieth of the memory.
func (c *Core) maxCachedJobs() int { return int(100 * c.settings.Deployment.MachineLimits.RAMMB) }

// cacheOpen remembers an open job; the ones known for longest make way. Forgetting
// is safe: a job that is asked for is read again.
func (c *Core) cacheOpen(id string, k *cachedJob) {
	u := &c.users
	if u.openJobs[id] == nil {
		u.openJobOrder = append(u.openJobOrder, id)
	}
	u.openJobs[id] = k
	for len(u.openJobOrder) > c.maxCachedJobs() {
		if old := u.openJobOrder[0]; old != id {
			delete(u.openJobs, old)
		}
		u.openJobOrder = u.openJobOrder[1:]
	}
}

// cacheFinal keeps a final state in memory; the oldest ones make way.
func (c *Core) cacheFinal(id string, f records.Final) {
	u := &c.users
	delete(u.openJobs, id)
	if _, ok := u.finalRecords[id]; !ok {
		u.finalRecordOrder = append(u.finalRecordOrder, id)
		if len(u.finalRecordOrder) > c.maxCachedJobs() {
			delete(u.finalRecords, u.finalRecordOrder[0])
			u.finalRecordOrder = u.finalRecordOrder[1:]
		}
	}
	u.finalRecords[id] = f
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
			u.preloaded, u.preloadAt = false, c.now+c.leaderLeaseDuration()
			return
		}
		for _, it := range r.Page.Items {
			after = it.Key
			id := it.Key[len(records.PrefixOpen):]
			k := &cachedJob{version: it.Version}
			if _, over := u.finalRecords[id]; !over && u.openJobs[id] == nil && json.Unmarshal(it.Value, &k.record) == nil {
				c.cacheOpen(id, k)
			}
		}
		if r.Page.More {
			c.preload(after)
		}
	})
}
