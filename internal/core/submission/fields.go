package submission

import (
	"errors"

	"github.com/segmentio/encoding/json"
)

// fields mirrors wire.Job but distinguishes a missing field from a zero value.
type fields struct {
	ID                  field[string]    `json:"nameId"`
	Class               field[string]    `json:"jobclass"`
	Team                field[string]    `json:"crew"`
	Shape               field[string]    `json:"shape"`
	Priority            field[string]    `json:"urgency"`
	Tasks               field[float64]   `json:"shards"`
	CPUs                field[float64]   `json:"cpus"`
	GPUs                field[float64]   `json:"accelerators"`
	MemGB               field[float64]   `json:"memGb"`
	Image               field[string]    `json:"bundle"`
	ImageGB             field[float64]   `json:"pullGb"`
	MachineTypes        field[[]*string] `json:"hulls"`
	Zone                field[string]    `json:"berth"`
	OneZone             field[bool]      `json:"together"`
	SpreadZones         field[bool]      `json:"apart"`
	AllowSpot           field[bool]      `json:"standby"`
	EstimatedRunS       field[float64]   `json:"guessS"`
	CheckpointIntervalS field[float64]   `json:"markS"`
	CheckpointDurationS field[float64]   `json:"stowS"`
	DeadlineS           field[float64]   `json:"dueS"`
	Dependencies        field[[]*string] `json:"awaits"`
}

// field is a field of a submission. The value is nil if the field is missing or null.
type field[T any] struct {
	value   *T
	present bool
}

// errDuplicateField is returned to the JSON decoder only; Parse returns ErrInvalidFields instead.
var errDuplicateField = errors.New("the field is given twice")

// UnmarshalJSON decodes the value of a field. A duplicate field is an error, since it is ambiguous
// which value is meant.
func (f *field[T]) UnmarshalJSON(encoded []byte) error {
	if f.present {
		return errDuplicateField
	}
	f.present = true
	return json.Unmarshal(encoded, &f.value)
}
