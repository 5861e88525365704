// Package wake implements scaling models from zero and back: any number of controllers agree
// that a model without a replica is started exactly once, and every request that waits for the
// model is served by that one replica.
//
// A record in the key-value store names the controller that owns a model's replica, under an
// epoch that increases with each change of owner. Model servers reject commands of an older
// epoch, so an owner that was paused or partitioned cannot interfere with its successor when it
// resumes. The package is a state machine: its inputs are requests, ticks and answers, its
// outputs calls and replies. It has no clock, socket or goroutine. Package wake/activator runs it
// in a process, and internal/sim in virtual time. It writes only keys that begin with Prefix.
// docs/design-wake.md compares the alternatives.
package wake

// Prefix begins all keys of this package in the key-value store.
const Prefix = "wake/"

const (
	modelPrefix      = Prefix + "m/"
	controllerPrefix = Prefix + "c/"
	slotsKey         = Prefix + "slots"
)

// modelKey is the key of a model's record.
func modelKey(model string) string { return modelPrefix + model }

// controllerKey is the key that exists while a controller is alive. It is attached to the
// controller's lease.
func controllerKey(controller string) string { return controllerPrefix + controller }

// Phase is the phase of the life cycle of a model's replica.
type Phase string

// The phases of a replica. A model without a record is scaled to zero. The values are in stored
// records and must never change.
const (
	phaseNoRecord     Phase = ""
	PhaseScaledToZero Phase = "asleep"   // there is no replica
	PhaseStarting     Phase = "waking"   // being started
	PhaseServing      Phase = "awake"    // serves requests
	PhaseDraining     Phase = "draining" // accepts no further requests and is then stopped
)

// Record is a model's record in the key-value store. Its JSON names are in stored records and
// must never change.
type Record struct {
	Phase       Phase  `json:"p"`
	Epoch       uint64 `json:"e"`           // increased by every claim, takeover and failover
	Owner       string `json:"d,omitempty"` // the controller that owns the replica
	Incarnation uint64 `json:"r,omitempty"` // of the owner's process
	Server      string `json:"s,omitempty"` // the only server that may have a replica
	Failures    int    `json:"f,omitempty"` // consecutive failed starts
}

// registration is the value of a controller's key.
type registration struct {
	Incarnation uint64 `json:"r"`
}

// startSlots lists the models that are being started, at most MaxConcurrentStarts of them.
type startSlots struct {
	Holders []string `json:"w"`
}
