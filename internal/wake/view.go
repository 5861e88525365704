package wake

import (
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// maintainLease has the key that shows that this controller is alive stand. Once the lease may
// have run out the controller drives nothing until it is registered anew, under the same
// run: its records' epochs are taken over by whoever finds the key gone, itself included.
func (c *Controller) maintainLease(now time.Duration) {
	if c.leaseCallPending || now < c.nextLeaseCall {
		return
	}
	c.leaseCallPending = true
	c.nextLeaseCall = now + c.leaseDuration()/4
	if c.leaseID != 0 && c.controllers[c.name].value.Incarnation == c.incarnation {
		c.store.Extend(c.leaseID, func(status int, _ []byte) {
			c.leaseCallPending = false
			switch status {
			case storeOK:
				c.leaseExpiry = now + c.leaseDuration()
			case storeNotFound:
				c.leaseID = 0
				c.nextLeaseCall = c.host.Now()
				c.relist()
			}
		})
		return
	}
	c.store.Grant(c.leaseDuration(), func(status int, body []byte) {
		var grant wire.Grant
		if status != storeOK || json.Unmarshal(body, &grant) != nil {
			c.leaseCallPending = false
			return
		}
		c.register(now, grant.Lease)
	})
}

// register writes this controller's key under a lease that was granted at a time.
func (c *Controller) register(granted time.Duration, lease uint64) {
	mine := registration{Incarnation: c.incarnation}
	txn := &wire.Txn{Writes: []wire.Write{{Put: controllerKey(c.name), Value: encode(mine), Lease: lease}}}
	c.store.Commit(txn, func(status int, body []byte) {
		c.leaseCallPending = false
		var result wire.TxnResult
		if status != storeOK || json.Unmarshal(body, &result) != nil {
			return
		}
		c.leaseID, c.leaseExpiry = lease, granted+c.leaseDuration()
		if d := c.controllers[c.name]; d.version < result.Revision {
			c.controllers[c.name] = versioned[registration]{mine, result.Revision}
		}
	})
}

// maintainView has this controller know what is on record: read once, then watched.
func (c *Controller) maintainView(now time.Duration) {
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
			c.retryAt = c.host.Now() + c.pollInterval()
			return
		}
		if page.Revision < c.revision {
			return // older than what the watch has shown
		}
		c.replaceView(&page)
	})
}

// replaceView takes over a reading of all records.
func (c *Controller) replaceView(page *wire.Page) {
	items := map[string]wire.Item{}
	for _, it := range page.Items {
		items[it.Key] = it
	}
	c.revision, c.listed = page.Revision, true
	c.controllers = map[string]versioned[registration]{}
	for key, it := range items {
		if name, ok := strings.CutPrefix(key, controllerPrefix); ok {
			c.applyRegistration(name, it.Value, it.Version)
		}
	}
	s := items[slotsKey]
	c.slots = decode[wakeSlots](s.Value, s.Version)
	for _, name := range c.modelNames {
		it := items[modelKey(name)]
		c.setRecord(c.models[name], decode[Record](it.Value, it.Version))
	}
	for _, name := range c.modelNames {
		c.reconcile(c.models[name])
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
			c.retryAt = c.host.Now() + c.pollInterval()
		case since == c.revision:
			c.apply(&changes)
		}
	})
}

// apply takes in changes that a watch has shown.
func (c *Controller) apply(changes *wire.Changes) {
	for i := range changes.Events {
		event := &changes.Events[i]
		key, version := event.Put, event.Version
		if key == "" {
			key, version = event.Delete, 0
		}
		switch {
		case key == slotsKey:
			c.applySlots(decode[wakeSlots](event.Value, version))
		case strings.HasPrefix(key, modelPrefix):
			if model := c.models[strings.TrimPrefix(key, modelPrefix)]; model != nil {
				c.applyRecord(model, decode[Record](event.Value, version))
			}
		case strings.HasPrefix(key, controllerPrefix):
			c.applyRegistration(strings.TrimPrefix(key, controllerPrefix), event.Value, version)
		}
	}
	c.revision = max(c.revision, changes.Revision)
	for _, name := range c.modelNames {
		c.reconcile(c.models[name])
	}
}

// applyRegistration takes in whether a controller is alive.
func (c *Controller) applyRegistration(name string, value json.RawMessage, version uint64) {
	if version == 0 {
		delete(c.controllers, name)
		return
	}
	if version >= c.controllers[name].version {
		c.controllers[name] = decode[registration](value, version)
	}
}

// applySlots takes in which models are waking.
func (c *Controller) applySlots(slots versioned[wakeSlots]) {
	if slots.version >= c.slots.version {
		c.slots = slots
	}
}

// applyRecord takes in a model's record, unless a later one is known.
func (c *Controller) applyRecord(model *modelState, record versioned[Record]) {
	if record.version >= model.record.version {
		c.setRecord(model, record)
	}
}

func (c *Controller) setRecord(model *modelState, record versioned[Record]) {
	if record.value.Failures > model.record.value.Failures {
		model.lastFailure = c.host.Now()
	}
	if record.value.Phase != model.record.value.Phase || record.value.Epoch != model.record.value.Epoch {
		model.lastRejection = 0
	}
	model.record = record
}
