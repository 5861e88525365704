// Package wake implements scale from zero: any number of controllers agree that a sleeping
// model, one without a replica, is started exactly once, and every request that waits for it
// is served by that one replica.
//
// A record in the key-value store names the controller that owns a model's replica, under an
// epoch that each change of owner raises. Model servers reject commands of an older epoch, so
// an owner that was paused or partitioned can do no harm when it resumes. The package is a
// state machine: requests, ticks and answers in; calls and replies out. It has no clock, socket
// or goroutine. Package wake/activator runs it in a process, and internal/sim in virtual time.
// It writes only keys below Prefix. docs/design-wake.md compares the alternatives.
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

// controllerKey is the key that shows that a controller is alive. It is attached to the
// controller's lease.
func controllerKey(controller string) string { return controllerPrefix + controller }

// Phase is where a model's replica is in its life.
type Phase string

// The phases of a replica. A model without a record is asleep.
const (
	phaseNoRecord Phase = ""
	PhaseAsleep   Phase = "asleep"   // scaled to zero
	PhaseWaking   Phase = "waking"   // being started
	PhaseAwake    Phase = "awake"    // serves requests
	PhaseDraining Phase = "draining" // takes no further requests and is then stopped
)

// Record is what the store holds of a model. Its JSON names are in stored records and never
// change.
type Record struct {
	Phase       Phase  `json:"p"`
	Epoch       uint64 `json:"e"`           // raised by every claim, takeover and change of server
	Owner       string `json:"d,omitempty"` // the controller that owns the replica
	Incarnation uint64 `json:"r,omitempty"` // of the owner's process
	Server      string `json:"s,omitempty"` // the only one that may have a replica
	Failures    int    `json:"f,omitempty"` // consecutive starts that led to no replica
}

// registration is the value of a controller's key.
type registration struct {
	Incarnation uint64 `json:"r"`
}

// wakeSlots lists the models that are being started. Their number is bounded.
type wakeSlots struct {
	Holders []string `json:"w"`
}
