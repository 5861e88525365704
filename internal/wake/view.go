package wake

import (
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// keepLease has the key that shows that this controller is alive stand. Once the lease may
// have run out the controller drives nothing until it is registered anew, under the same
// run: its records' epochs are taken over by whoever finds the key gone, itself included.
func (c *Controller) keepLease(now time.Duration) {
	if c.leaseBusy || now < c.leaseNext {
		return
	}
	c.leaseBusy = true
	c.leaseNext = now + c.leaseTime()/4
	if c.lease != 0 && c.drivers[c.name].value.Run == c.run {
		c.store.Extend(c.lease, func(status int, _ []byte) {
			c.leaseBusy = false
			switch status {
			case storeOK:
				c.leaseUntil = now + c.leaseTime()
			case storeNotFound:
				c.lease = 0
				c.leaseNext = c.host.Now()
				c.relist()
			}
		})
		return
	}
	c.store.Grant(c.leaseTime(), func(status int, body []byte) {
		var g wire.Grant
		if status != storeOK || json.Unmarshal(body, &g) != nil {
			c.leaseBusy = false
			return
		}
		c.register(now, g.Lease)
	})
}

// register writes this controller's key under a lease that was granted at a time.
func (c *Controller) register(granted time.Duration, lease uint64) {
	mine := liveness{Run: c.run}
	txn := &wire.Txn{Writes: []wire.Write{{Put: driverKey(c.name), Value: encode(mine), Lease: lease}}}
	c.store.Commit(txn, func(status int, body []byte) {
		c.leaseBusy = false
		var result wire.TxnResult
		if status != storeOK || json.Unmarshal(body, &result) != nil {
			return
		}
		c.lease, c.leaseUntil = lease, granted+c.leaseTime()
		if d := c.drivers[c.name]; d.version < result.Revision {
			c.drivers[c.name] = versioned[liveness]{mine, result.Revision}
		}
	})
}

// keepView has this controller know what is on record: read once, then watched.
func (c *Controller) keepView(now time.Duration) {
	switch {
	case now < c.retryAt:
	case !c.listed && !c.listing:
		c.list()
	case c.listed && !c.watching:
		c.watch()
	}
}

// relist has the records read anew.
func (c *Controller) relist() { c.listed = false }

func (c *Controller) list() {
	c.listing = true
	c.store.List(Prefix, func(status int, body []byte) {
		c.listing = false
		var page wire.Page
		if status != storeOK || json.Unmarshal(body, &page) != nil {
			c.retryAt = c.host.Now() + c.pace()
			return
		}
		if page.Revision < c.revision {
			return // older than what the watch has shown
		}
		c.take(&page)
	})
}

// take takes over a reading of all records.
func (c *Controller) take(page *wire.Page) {
	items := map[string]wire.Item{}
	for _, it := range page.Items {
		items[it.Key] = it
	}
	c.revision, c.listed = page.Revision, true
	c.drivers = map[string]versioned[liveness]{}
	for key, it := range items {
		if name, ok := strings.CutPrefix(key, driverPrefix); ok {
			c.noteDriver(name, it.Value, it.Version)
		}
	}
	s := items[slotsKey]
	c.slots = decode[slots](s.Value, s.Version)
	for _, name := range c.names {
		it := items[modelKey(name)]
		c.setRecord(c.models[name], decode[Record](it.Value, it.Version))
	}
	for _, name := range c.names {
		c.advance(c.models[name])
	}
}

// decode reads a value; the zero value if there is none.
func decode[T any](value json.RawMessage, version uint64) versioned[T] {
	v := versioned[T]{version: version}
	if version != 0 {
		json.Unmarshal(value, &v.value)
	}
	return v
}

func (c *Controller) watch() {
	c.watching = true
	since := c.revision
	c.store.Watch(Prefix, since, func(status int, body []byte) {
		c.watching = false
		var changes wire.Changes
		switch {
		case status == storeGone:
			c.relist()
		case status != storeOK || json.Unmarshal(body, &changes) != nil:
			c.retryAt = c.host.Now() + c.pace()
		case since == c.revision:
			c.apply(&changes)
		}
	})
}

// apply takes in changes that a watch has shown.
func (c *Controller) apply(changes *wire.Changes) {
	for i := range changes.Events {
		e := &changes.Events[i]
		key, version := e.Put, e.Version
		if key == "" {
			key, version = e.Delete, 0
		}
		switch {
		case key == slotsKey:
			c.noteSlots(decode[slots](e.Value, version))
		case strings.HasPrefix(key, modelPrefix):
			if m := c.models[strings.TrimPrefix(key, modelPrefix)]; m != nil {
				c.noteRecord(m, decode[Record](e.Value, version))
			}
		case strings.HasPrefix(key, driverPrefix):
			c.noteDriver(strings.TrimPrefix(key, driverPrefix), e.Value, version)
		}
	}
	c.revision = max(c.revision, changes.Revision)
	for _, name := range c.names {
		c.advance(c.models[name])
	}
}

// noteDriver takes in whether a controller is alive.
func (c *Controller) noteDriver(name string, value json.RawMessage, version uint64) {
	if version == 0 {
		delete(c.drivers, name)
		return
	}
	if version >= c.drivers[name].version {
		c.drivers[name] = decode[liveness](value, version)
	}
}

// noteSlots takes in which models are waking.
func (c *Controller) noteSlots(s versioned[slots]) {
	if s.version >= c.slots.version {
		c.slots = s
	}
}

// noteRecord takes in a model's record, unless a later one is known.
func (c *Controller) noteRecord(m *model, r versioned[Record]) {
	if r.version >= m.record.version {
		c.setRecord(m, r)
	}
}

func (c *Controller) setRecord(m *model, r versioned[Record]) {
	if r.value.Fails > m.record.value.Fails {
		m.failed = c.host.Now()
	}
	if r.value.Phase != m.record.value.Phase || r.value.Epoch != m.record.value.Epoch {
		m.tried = 0
	}
	m.record = r
}
