package cloudapi

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A Request is a call to the cloud.
type Request struct {
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
	// Urgent requests are sent without a wait even if the rate limit is used up.
	Urgent bool
}

// HTTP methods of the cloud's protocol.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

func provisionRequest(request wire.ProvisionRequest) Request {
	return Request{Method: methodPost, Path: "/machines", Body: encode(request), Timeout: callTimeout}
}

func returnRequest(machines []string) Request {
	body := encode(wire.MachineNames{Machines: machines})
	return Request{Method: methodPost, Path: "/machines/return", Body: body, Timeout: callTimeout, Urgent: true}
}

func listRequest(after string) Request {
	path := "/machines?limit=" + strconv.Itoa(ListPageSize)
	if after != "" {
		path += "&since=" + after
	}
	return Request{Method: methodGet, Path: path, Timeout: callTimeout}
}

func machineTypesRequest() Request {
	return Request{Method: methodGet, Path: "/machine_types", Timeout: machineTypesTimeout}
}

// encode encodes a message of package wire, all of which can be encoded. It panics otherwise.
func encode(message any) []byte {
	encoded, err := json.Marshal(message)
	if err != nil {
		panic("cloudapi: encode: " + err.Error())
	}
	return encoded
}
