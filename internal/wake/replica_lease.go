package wake

import "time"

// This file decides when the lease of a replica has certainly expired. Each command renews it when the
// server executes the command, whether its answer comes back or not.

// replicaExpired reports whether the lease of the replica that the server may have has certainly
// expired, so that the replica has ended by itself: the server cannot have executed a command, which
// renews the lease, for longer than the lease and a twentieth of it for clock drift. A command whose
// answer was lost or late may have been executed until its call ended, when it expires. The previous
// owner may have sent a command until this ownership began, which expires at most one controller lease
// later.
func (c *Controller) replicaExpired(model *modelState, now time.Duration) bool {
	owned := &model.ownership
	if owned.mayHaveReplica && owned.commandPending {
		return false
	}
	lease := c.replicaLease()
	lastRenewal := max(owned.lastExecuted, owned.since+c.leaseDuration())
	return now-lastRenewal > lease+lease/driftDivisor
}

// silentPastLease reports whether a server has not answered for the duration of a replica's lease. No
// further commands are sent to it then: each may renew the lease of a replica that it still has, which
// would never expire. Until then a server that becomes reachable again keeps its replica.
func (c *Controller) silentPastLease(owned *ownership, now time.Duration) bool {
	return now-max(owned.lastAnswer, owned.since) > c.replicaLease()
}

// replicaLease is how long a replica runs without a command.
func (c *Controller) replicaLease() time.Duration { return seconds(c.registry.ReplicaLeaseSeconds) }

// driftDivisor is the divisor of a replica's lease that gives the allowance for clock drift
// during it.
const driftDivisor = 20

// clockReading is a reading of a model server's clock; the zero value if there is none.
type clockReading struct {
	server  time.Duration // by the server's clock
	takenAt time.Duration // by this controller's clock, no earlier than the server took it
}

// known reports whether there is a reading.
func (r clockReading) known() bool { return r.server != 0 }

// expiry returns the expiry, by the server's clock, of a command that is sent now and may be executed
// for the given time. Without a reading it is long past: the server only answers with its clock. A server
// that does not check expiries executes the command.
func (r clockReading) expiry(now, valid time.Duration) time.Duration {
	if !r.known() {
		return time.Millisecond
	}
	return r.server + now - r.takenAt + valid
}
