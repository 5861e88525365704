// Package wake has any number of controllers agree that a sleeping model wakes exactly
// once, and hands every request that waits for it to that one copy.
//
// Which controller drives a model's copy is on record in the state service, under an epoch
// that every change of driver raises. The model servers refuse what comes under an older
// epoch, so a driver that stood still or was cut off can do no harm when it goes on. The
// package is a state machine: requests, ticks and answers in; calls and replies out. It
// keeps no clock, socket or goroutine. docs/design-wake.md weighs the ways.
package wake

import "github.com/segmentio/encoding/json"

// Prefix begins all keys of this package in the state service.
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

// Phase is what a model's copy is in the middle of.
type Phase string

// The phases of a copy. A model without a record is asleep.
const (
	PhaseAsleep   Phase = "asleep"
	PhaseWaking   Phase = "waking"
	PhaseAwake    Phase = "awake"
	PhaseDraining Phase = "draining"
)

// Record is what the state service holds of a model. Its JSON names are on record and
// never change.
type Record struct {
	Phase       Phase  `json:"p"`
	Epoch       uint64 `json:"e"` // raised by every claim, takeover and change of server
	Owner       string `json:"d,omitempty"`
	Incarnation uint64 `json:"r,omitempty"` // of the driver's process
	Server      string `json:"s,omitempty"` // the only one that may hold a copy
	Failures    int    `json:"f,omitempty"` // wakes in a row that led to no copy
}

// registration is the value of a driver's key.
type registration struct {
	Incarnation uint64 `json:"r"`
}

// wakeSlots lists the models that are waking.
type wakeSlots struct {
	Holders []string `json:"w"`
}

// versioned is a value of the state service with its version; 0 for none.
type versioned[T any] struct {
	value   T
	version uint64
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wake: encode: " + err.Error()) // only values of this package come here
	}
	return b
}
