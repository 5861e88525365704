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

// encode writes a message of a simulated service as JSON. It panics on a type that JSON cannot
// represent, which no message has.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("sim: encode %T: %v", message, err))
	}
	return body
}

// decode reads a message of a controller. Fields that cannot be decoded keep their zero values:
// with these a direct command or a rental is refused, and a return of machines has no effect.
func decode(body []byte, into any) { _ = json.Unmarshal(body, into) }
