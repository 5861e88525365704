package sim

import (
	"encoding/json"
	"fmt"
)

// Paths of the controllers' and workers' protocols.
const (
	heartbeatPath   = "/checkin"
	commandsPath    = "/do"
	submissionsPath = "/submissions"
)

// encode writes a message of a stand-in. All its types can be written as JSON.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("sim: %T: %v", message, err))
	}
	return body
}

// decode reads a message of a controller. What cannot be read is left at its zero value: the
// stand-ins refuse such a message for its fields.
func decode(body []byte, into any) { _ = json.Unmarshal(body, into) }
