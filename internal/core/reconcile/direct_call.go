package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// DirectCall is a call that sends commands directly to a worker's address.
type DirectCall struct {
	machine     *cluster.Machine
	incarnation uint64              // of the worker when the call began
	starts      []cluster.AttemptID // attempts that the commands start
}

// CanCallDirectly reports whether the leader of a term may send commands to a worker directly now.
func CanCallDirectly(machine *cluster.Machine, tokens TokenRange, now time.Duration) bool {
	reachable := machine.Address != "" && machine.FencingToken >= tokens.First && !machine.Returning
	return reachable && machine.OpenDirectCalls == 0 && now >= machine.DirectRetryAt
}

// BeginDirectCall records that commands are sent directly to the worker's current incarnation.
func BeginDirectCall(machine *cluster.Machine, commands []wire.Command) *DirectCall {
	machine.OpenDirectCalls++
	starts := addUnconfirmedStarts(machine, commands)
	return &DirectCall{machine: machine, incarnation: machine.Incarnation, starts: starts}
}

// End records that the call has returned, whether it succeeded or failed.
func (c *DirectCall) End() { c.machine.OpenDirectCalls-- }

// SettleStarts records that the outcome of the commands is known: this call's copies of their start
// commands can no longer arrive. Unconfirmed starts of an earlier incarnation have been removed
// already.
func (c *DirectCall) SettleStarts() {
	if c.machine.Incarnation == c.incarnation {
		settleStarts(c.machine, c.starts)
	}
}

// Fail records that the worker did not respond to the call with its state. No further direct calls
// are made to the worker for half a worker lease.
func (c *DirectCall) Fail(now time.Duration, timing Timing) {
	c.machine.DirectRetryAt = now + timing.WorkerLease/2
}
