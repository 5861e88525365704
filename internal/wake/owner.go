package wake

import (
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// mayStart reports whether a model may be started now: the number of concurrent starts is
// bounded, and failed starts are retried with exponential backoff.
func (c *Controller) mayStart(model *modelState) bool {
	if len(c.slots.Value.Holders) >= c.registry.MaxConcurrentStarts {
		return false
	}
	failures := model.record.Value.Failures
	if failures == 0 {
		return true
	}
	backoff := seconds(model.LoadSeconds) << min(failures-1, maxBackoffDoublings)
	return c.host.Now() >= model.lastFailure+backoff
}

// maxBackoffDoublings bounds the backoff between starts of a replica that fails to load, at 16
// times its LoadSeconds.
const maxBackoffDoublings = 4

// registered reports whether this controller is registered as alive: its key exists under this
// incarnation, and its lease is valid until leaseExpiry at least.
func (c *Controller) registered() bool {
	return c.leaseID != 0 && c.host.Now() < c.leaseExpiry && c.controllers[c.name].Value.Incarnation == c.incarnation
}

// owns reports whether this incarnation of this controller owns a model's replica.
func (c *Controller) owns(model *modelState) bool {
	record := &model.record.Value
	return record.Owner == c.name && record.Incarnation == c.incarnation && record.Phase != PhaseScaledToZero
}

// orphaned reports whether the owner of a model's replica is no longer registered: its key has
// been deleted, or belongs to another incarnation.
func (c *Controller) orphaned(model *modelState) bool {
	record := &model.record.Value
	if record.Phase == PhaseScaledToZero || record.Phase == phaseNoRecord || c.owns(model) {
		return false
	}
	return c.controllers[record.Owner].Value.Incarnation != record.Incarnation
}

// claim writes a record that makes this controller the owner of a new replica, which it then
// starts.
func (c *Controller) claim(model *modelState) {
	record := model.record.Value
	next := Record{
		Phase:       PhaseStarting,
		Epoch:       record.Epoch + 1,
		Owner:       c.name,
		Incarnation: c.incarnation,
		Server:      model.Servers[0],
		Failures:    record.Failures,
	}
	if record.Failures > 0 { // another server may succeed
		next.Server = model.Servers[int(record.Epoch)%len(model.Servers)]
	}
	c.writeRecord(model, next, slotAcquired)
}

// takeOver writes a record that makes this controller the owner of an orphaned replica. The
// server stays the same, since it is the only one that may have the replica.
func (c *Controller) takeOver(model *modelState) {
	next := model.record.Value
	next.Epoch++
	next.Owner, next.Incarnation = c.name, c.incarnation
	c.log.Info("taking over replica: its owner is no longer registered", "model", model.Name, "previous_owner", model.record.Value.Owner, "phase", next.Phase, "epoch", next.Epoch)
	c.writeRecord(model, next, slotUnchanged)
}

// slotChange is how a change of a model's record affects the list of models that are being
// started.
type slotChange int

const (
	slotUnchanged slotChange = iota
	slotAcquired
	slotReleased
)

// writeRecord writes a model's record in a compare-and-swap transaction. It commits only if the
// record, this controller's key and, if a slot changes, the list of slots are unchanged since
// they were read.
func (c *Controller) writeRecord(model *modelState, next Record, slot slotChange) {
	if model.writePending || !c.registered() || c.host.Now() < c.retryAt {
		return
	}
	txn := c.recordTxn(model, next)
	nextSlots := c.slots.Value
	if slot != slotUnchanged {
		nextSlots = startSlots{Holders: updateSlots(c.slots.Value.Holders, model.Name, slot)}
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: slotsKey, Version: c.slots.Version})
		txn.Writes = append(txn.Writes, wire.Write{Put: slotsKey, Value: kv.Encode(nextSlots)})
	}
	model.writePending = true
	c.store.Commit(txn, func(result kv.TxnResult) {
		model.writePending = false
		if !result.Committed() {
			c.onWriteFailed(result.Status)
			return
		}
		c.applyRecord(model, kv.Versioned[Record]{Value: next, Version: result.Revision})
		if slot != slotUnchanged {
			c.applySlots(kv.Versioned[startSlots]{Value: nextSlots, Version: result.Revision})
		}
		c.reconcile(model)
	})
}

// recordTxn returns the transaction that writes a model's record. A takeover is also conditional
// on the previous owner's key being unchanged since the replica was found orphaned.
func (c *Controller) recordTxn(model *modelState, next Record) *wire.Txn {
	txn := &wire.Txn{
		Conditions: []wire.Condition{
			{Key: modelKey(model.Name), Version: model.record.Version},
			{Key: controllerKey(c.name), Version: c.controllers[c.name].Version},
		},
		Writes: []wire.Write{{Put: modelKey(model.Name), Value: kv.Encode(next)}},
	}
	if c.orphaned(model) {
		owner := model.record.Value.Owner
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: controllerKey(owner), Version: c.controllers[owner].Version})
	}
	return txn
}

// onWriteFailed lists the records again after a transaction that did not commit or whose outcome
// is unknown. The listing and the watch after it show the outcome, even if the transaction is
// executed later.
func (c *Controller) onWriteFailed(status kv.Status) {
	c.relist()
	if status != kv.Conflict {
		c.retryAt = c.host.Now() + c.pollInterval()
	}
}

// updateSlots returns the list of models that are being started after a model's slot has changed.
func updateSlots(holders []string, name string, change slotChange) []string {
	updated := []string{}
	for _, holder := range holders {
		if holder != name {
			updated = append(updated, holder)
		}
	}
	if change == slotAcquired {
		updated = append(updated, name)
	}
	return updated
}
