package wake

import (
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// mayWake reports whether a start may begin: the number of concurrent starts is bounded, and
// a start that failed is retried with exponential backoff.
func (c *Controller) mayWake(model *modelState) bool {
	if len(c.slots.Value.Holders) >= c.registry.MaxWaking {
		return false
	}
	failures := model.record.Value.Failures
	if failures == 0 {
		return true
	}
	backoff := seconds(model.LoadSeconds) << min(failures-1, maxBackoffDoublings)
	return c.host.Now() >= model.lastFailure+backoff
}

// maxBackoffDoublings bounds the time between two starts of a replica that fails to load.
const maxBackoffDoublings = 4

// registered reports whether this controller's key shows that it is alive, and will do so until
// leaseExpiry at least.
func (c *Controller) registered() bool {
	return c.leaseID != 0 && c.host.Now() < c.leaseExpiry && c.controllers[c.name].Value.Incarnation == c.incarnation
}

// owns reports whether this incarnation of this controller owns a model's replica.
func (c *Controller) owns(model *modelState) bool {
	record := &model.record.Value
	return record.Owner == c.name && record.Incarnation == c.incarnation && record.Phase != PhaseAsleep
}

// orphaned reports whether the key of the replica's owner has expired.
func (c *Controller) orphaned(model *modelState) bool {
	record := &model.record.Value
	if record.Phase == PhaseAsleep || record.Phase == phaseNoRecord || c.owns(model) {
		return false
	}
	return c.controllers[record.Owner].Value.Incarnation != record.Incarnation
}

// claim records that this controller starts a model.
func (c *Controller) claim(model *modelState) {
	record := model.record.Value
	next := Record{
		Phase:       PhaseWaking,
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

// takeOver records that this controller owns a replica whose owner no longer exists. The server
// stays the same: it is the only one that may have the replica.
func (c *Controller) takeOver(model *modelState) {
	next := model.record.Value
	next.Epoch++
	next.Owner, next.Incarnation = c.name, c.incarnation
	c.log.Info("replica taken over", "model", model.Name, "previous_owner", model.record.Value.Owner, "phase", next.Phase, "epoch", next.Epoch)
	c.writeRecord(model, next, slotUnchanged)
}

// slotChange is what a change of a record does to the list of models that are being started.
type slotChange int

const (
	slotUnchanged slotChange = iota
	slotAcquired
	slotReleased
)

// writeRecord writes a model's record by a compare-and-swap: nothing may have changed since it
// was read, and this controller's key must still exist.
func (c *Controller) writeRecord(model *modelState, next Record, slot slotChange) {
	if model.writePending || !c.registered() || c.host.Now() < c.retryAt {
		return
	}
	txn := c.recordTxn(model, next)
	nextSlots := c.slots.Value
	if slot != slotUnchanged {
		nextSlots = wakeSlots{Holders: updateSlots(c.slots.Value.Holders, model.Name, slot)}
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
			c.applySlots(kv.Versioned[wakeSlots]{Value: nextSlots, Version: result.Revision})
		}
		c.reconcile(model)
	})
}

// recordTxn is the transaction that writes a model's record. If it takes the replica over, the
// key of the previous owner must still not exist.
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

// onWriteFailed reads the records anew after a conflict or an unknown outcome: they show what
// happened, also where the transaction is carried out later.
func (c *Controller) onWriteFailed(status kv.Status) {
	c.relist()
	if status != kv.Conflict {
		c.retryAt = c.host.Now() + c.pollInterval()
	}
}

// updateSlots is the list of models that are being started, after a change of one of them.
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
