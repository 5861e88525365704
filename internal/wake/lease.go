package wake

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// maintainLease keeps the key in the store that shows that this controller is alive. Once the
// lease may have expired the controller acts on no replica until it is registered again, under
// the same incarnation; until then whoever finds the key deleted takes its replicas over, this
// controller included.
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

// renew renews the lease. Its expiry counts from when the renewal was asked for.
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
		default: // the lease may still be valid; the next renewal will show it
		}
	})
}

// grant asks for a lease and registers under it.
func (c *Controller) grant(now time.Duration) {
	c.store.Grant(c.leaseDuration(), func(result kv.GrantResult) {
		if result.Status != kv.OK {
			c.leaseCallPending = false
			return
		}
		c.register(now, result.Lease)
	})
}

// register writes this controller's key under a lease that was granted at a time.
func (c *Controller) register(granted time.Duration, lease uint64) {
	own := registration{Incarnation: c.incarnation}
	txn := &wire.Txn{Writes: []wire.Write{{Put: controllerKey(c.name), Value: kv.Encode(own), Lease: lease}}}
	c.store.Commit(txn, func(result kv.TxnResult) {
		c.leaseCallPending = false
		if !result.Committed() {
			return
		}
		c.leaseID, c.leaseExpiry = lease, granted+c.leaseDuration()
		if known := c.controllers[c.name]; known.Version < result.Revision {
			c.controllers[c.name] = kv.Versioned[registration]{Value: own, Version: result.Revision}
		}
	})
}
