package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

type lookup struct {
	f     func(found)
	until time.Duration
}

// found is the outcome of a lookup: unknown, open or final; failed when the
// state service gave no answer.
type found struct {
	failed bool
	open   *known
	final  *finalRecord
}

// find looks a job up, so that its answer is no older than this call.
func (c *Core) find(id string, f func(found)) {
	u := &c.users
	if rec, ok := u.final[id]; ok {
		f(found{final: &rec})
		return
	}
	bad := u.storeBadSince
	if len(u.order) >= c.maxWaiting() || bad != 0 && c.now-bad > c.storeTimeout()/4 {
		f(found{failed: true})
		return
	}
	u.wait(id, nil)
	u.lookups[id] = append(u.lookups[id], &lookup{f: f, until: c.now + 1500*time.Millisecond})
	c.pumpLookups()
}

// pumpLookups confirms known jobs by one compare-only transaction for many of
// them, and reads the others. Questions of a moment are gathered: users poll
// without end, and a transaction for each would take most of the processor and
// of the state service's requests.
func (c *Core) pumpLookups() {
	u := &c.users
	confirm := c.now >= u.confirmAt
	for len(u.order) > 0 && u.lookupBusy < 4 {
		var batch, rest []string
		txn := &wire.Txn{}
		limit := 4 * c.limits().TxnOps
		unknown := ""
		for _, id := range u.order {
			k := u.open[id]
			if k == nil {
				if unknown == "" {
					unknown = id
				} else {
					rest = append(rest, id)
				}
				continue
			}
			if len(batch) >= limit || !confirm {
				rest = append(rest, id)
				continue
			}
			batch = append(batch, id)
			txn.If = append(txn.If, wire.Cond{Key: prefixOpen + id, Version: k.version})
		}
		u.order = rest
		if unknown != "" {
			u.lookupBusy++
			c.read(unknown, u.take(unknown))
		}
		if len(batch) == 0 {
			if unknown == "" {
				return
			}
			continue
		}
		u.confirmAt = c.now + c.report()/10
		u.lookupBusy++
		waiting := map[string][]*lookup{}
		for _, id := range batch {
			waiting[id] = u.take(id)
		}
		c.commit(txn, false, func(r Result) {
			u.lookupBusy--
			failed := map[string]bool{}
			if r.Status == 409 {
				var tr wire.TxnResult
				json.Unmarshal(r.Body, &tr)
				for _, k := range tr.Failed {
					failed[k[2:]] = true
				}
			}
			for _, id := range batch {
				switch {
				case r.Status == 0:
					u.wait(id, waiting[id])
				case r.Status != 200 && r.Status != 409:
					resolve(waiting[id], found{failed: true})
				case failed[id] || u.open[id] == nil:
					delete(u.open, id)
					u.lookupBusy++
					c.read(id, waiting[id])
				default:
					resolve(waiting[id], found{open: u.open[id]})
				}
			}
			c.pumpLookups()
		})
	}
}

// wait has lookups of a job wait (again) for their turn, ahead of later ones.
func (u *users) wait(id string, ls []*lookup) {
	if len(u.lookups[id]) == 0 {
		u.order = append(u.order, id)
	}
	u.lookups[id] = append(ls, u.lookups[id]...)
}

func (u *users) take(id string) []*lookup {
	l := u.lookups[id]
	delete(u.lookups, id)
	return l
}

func resolve(ls []*lookup, f found) {
	for _, l := range ls {
		l.f(f)
	}
}

// read fetches the open record, then the final one.
func (c *Core) read(id string, waiting []*lookup) {
	u := &c.users
	end := func(f found) {
		u.lookupBusy--
		resolve(waiting, f)
		c.pumpLookups()
	}
	c.get(prefixOpen+id, func(r Result) {
		c.noteStore(r)
		var it wire.Item
		if r.Status == 200 && json.Unmarshal(r.Body, &it) == nil {
			k := &known{version: it.Version}
			if json.Unmarshal(it.Value, &k.rec) == nil {
				// What was learned while the answer was on its way is newer: a
				// user may have been told of it here meanwhile.
				if f, over := u.final[id]; over {
					end(found{final: &f})
					return
				}
				if old := u.open[id]; old == nil || old.version < k.version {
					c.know(id, k)
				} else {
					k = old
				}
				end(found{open: k})
				return
			}
		}
		if r.Status != 404 {
			end(found{failed: true})
			return
		}
		c.get(prefixFinal+id, func(r Result) {
			c.noteStore(r)
			var it wire.Item
			var f finalRecord
			switch {
			case r.Status == 404:
				delete(u.open, id)
				end(found{})
			case r.Status == 200 && json.Unmarshal(r.Body, &it) == nil && json.Unmarshal(it.Value, &f) == nil:
				c.remember(id, f)
				end(found{final: &f})
			default:
				end(found{failed: true})
			}
		})
	})
}
