package wake

import (
	"log/slog"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// maintainView keeps this controller's view of the records up to date: it lists them once and
// then watches for changes.
func (c *Controller) maintainView(now time.Duration) {
	switch {
	case now < c.retryAt:
	case !c.listed && !c.listing:
		c.list()
	case c.listed && !c.watching:
		c.watch()
	}
}

// relist makes the next call of maintainView list the records again.
func (c *Controller) relist() { c.listed = false }

func (c *Controller) list() {
	c.listing = true
	c.store.List(Prefix, func(result kv.ListResult) {
		c.listing = false
		if result.Status != kv.OK {
			c.retryAt = c.host.Now() + c.pollInterval()
			return
		}
		if result.Page.Revision < c.revision {
			return // older than the changes that the watch has returned
		}
		c.replaceView(&result.Page)
	})
}

// replaceView replaces the view with a listing of all records.
func (c *Controller) replaceView(page *wire.Page) {
	items := map[string]wire.Item{}
	for _, item := range page.Items {
		items[item.Key] = item
	}
	c.revision, c.listed = page.Revision, true
	c.controllers = map[string]kv.Versioned[registration]{}
	for key, item := range items {
		if name, ok := strings.CutPrefix(key, controllerPrefix); ok {
			c.applyRegistration(name, decode[registration](c.log, item))
		}
	}
	c.slots = decode[startSlots](c.log, items[slotsKey])
	for _, name := range c.modelNames {
		c.setRecord(c.models[name], decode[Record](c.log, items[modelKey(name)]))
	}
	c.reconcileAll()
}

func (c *Controller) reconcileAll() {
	for _, name := range c.modelNames {
		c.reconcile(c.models[name])
	}
}

// decode decodes a record; a key that does not exist has the zero value. Only controllers write
// these keys, so a value that cannot be decoded indicates a bug in one of them: the error is
// logged and the part that could be decoded is used. This is safe because every write is
// conditional on the version.
func decode[T any](log *slog.Logger, item wire.Item) kv.Versioned[T] {
	decoded, err := kv.Decode[T](item.Value, item.Version)
	if err != nil {
		log.Error("cannot decode record", "key", item.Key, "error", err)
	}
	return decoded
}

func (c *Controller) watch() {
	c.watching = true
	since := c.revision
	c.store.Watch(Prefix, since, func(result kv.WatchResult) {
		c.watching = false
		switch {
		case result.Status == kv.Compacted:
			c.relist()
		case result.Status != kv.OK:
			c.retryAt = c.host.Now() + c.pollInterval()
		case since == c.revision: // otherwise a listing has replaced the view during the watch
			c.applyChanges(&result.Changes)
		}
	})
}

// applyChanges applies the changes that a watch has returned.
func (c *Controller) applyChanges(changes *wire.Changes) {
	for i := range changes.Events {
		c.applyItem(changedItem(&changes.Events[i]))
	}
	c.revision = max(c.revision, changes.Revision)
	c.reconcileAll()
}

// changedItem returns a key's state after a change, with version 0 if the key was deleted.
func changedItem(event *wire.Event) wire.Item {
	if event.Put == "" {
		return wire.Item{Key: event.Delete}
	}
	return wire.Item{Key: event.Put, Value: event.Value, Version: event.Version}
}

// applyItem updates the view with the new state of a key.
func (c *Controller) applyItem(item wire.Item) {
	if item.Key == slotsKey {
		c.applySlots(decode[startSlots](c.log, item))
	} else if name, ok := strings.CutPrefix(item.Key, modelPrefix); ok {
		if model := c.models[name]; model != nil {
			c.applyRecord(model, decode[Record](c.log, item))
		}
	} else if name, ok := strings.CutPrefix(item.Key, controllerPrefix); ok {
		c.applyRegistration(name, decode[registration](c.log, item))
	}
}

// applyRegistration adds a controller to those that are alive, or removes it if its key was
// deleted.
func (c *Controller) applyRegistration(name string, registered kv.Versioned[registration]) {
	if registered.Version == 0 {
		delete(c.controllers, name)
		return
	}
	if registered.Version >= c.controllers[name].Version {
		c.controllers[name] = registered
	}
}

// applySlots updates which models are being started, unless a later version is known.
func (c *Controller) applySlots(slots kv.Versioned[startSlots]) {
	if slots.Version >= c.slots.Version {
		c.slots = slots
	}
}

// applyRecord updates a model's record, unless a later version is known.
func (c *Controller) applyRecord(model *modelState, record kv.Versioned[Record]) {
	if record.Version >= model.record.Version {
		c.setRecord(model, record)
	}
}

func (c *Controller) setRecord(model *modelState, record kv.Versioned[Record]) {
	if record.Value.Failures > model.record.Value.Failures {
		model.lastFailure = c.host.Now()
	}
	if record.Value.Phase != model.record.Value.Phase || record.Value.Epoch != model.record.Value.Epoch {
		model.lastRejection = 0
	}
	if record.Value.Epoch != model.record.Value.Epoch {
		model.serverMayHaveReplica = !isFirstOnServer(model.record.Value, record.Value)
	}
	model.record = record
}

// isFirstOnServer reports whether the server of a record has no replica from before the record's epoch:
// the epoch before it ended without a replica, or had it on another server.
func isFirstOnServer(previous, next Record) bool {
	if next.Epoch != previous.Epoch+1 {
		return false // there were epochs that this controller has not seen
	}
	noReplica := previous.Phase == PhaseScaledToZero || previous.Phase == phaseNoRecord
	return noReplica || previous.Server != next.Server
}
