package wake

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// maintainLease keeps this controller's key in the store, which shows that it is alive. Once the
// lease may have expired, the controller sends no commands to its replicas until it has
// registered again under the same incarnation. In the meantime any other controller that finds
// the key deleted takes over the replicas; those that none took over remain this controller's.
func (c *Controller) maintainLease(now time.Duration) {
	if c.leaseCallPending || now < c.nextLeaseCall {
		return
	}
	c.leaseCallPending = true
	c.nextLeaseCall = now + c.leaseDuration()/renewDivisor
	if c.leaseID != 0 && c.controllers[c.name].Value.Incarnation == c.incarnation {
		c.renew(now)
	} else {
		c.grant(now)
	}
}

// renew renews the lease. The new expiry is counted from when the renewal was sent, so that it
// is never later than the store's.
func (c *Controller) renew(now time.Duration) {
	c.store.Renew(c.leaseID, func(status kv.Status) {
		c.leaseCallPending = false
		switch status {
		case kv.OK:
			c.leaseExpiry = now + c.leaseDuration()
		case kv.NotFound:
			c.leaseID = 0
			c.nextLeaseCall = c.host.Now()
			c.relist()
		default: // the lease may still be valid; the next renewal will show whether it is
		}
	})
}

// grant requests a lease and registers this controller under it.
func (c *Controller) grant(now time.Duration) {
	c.store.Grant(c.leaseDuration(), func(result kv.GrantResult) {
		if result.Status != kv.OK {
			c.leaseCallPending = false
			return
		}
		c.register(now, result.Lease)
	})
}

// register writes this controller's key, attached to a lease that was requested at the given
// time.
func (c *Controller) register(requestedAt time.Duration, lease uint64) {
	own := registration{Incarnation: c.incarnation}
	txn := &wire.Txn{Writes: []wire.Write{{Put: controllerKey(c.name), Value: kv.Encode(own), Lease: lease}}}
	c.store.Commit(txn, func(result kv.TxnResult) {
		c.leaseCallPending = false
		if !result.Committed() {
			return
		}
		c.leaseID, c.leaseExpiry = lease, requestedAt+c.leaseDuration()
		if known := c.controllers[c.name]; known.Version < result.Revision {
			c.controllers[c.name] = kv.Versioned[registration]{Value: own, Version: result.Revision}
		}
	})
}
