package cloudapi

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A Status is what became of a call.
type Status int

// The outcomes of calls. After Unanswered and Failed a call may have been carried out, or may be
// carried out later; after the other failures it certainly was not.
const (
	// Unanswered: no answer came in time.
	Unanswered Status = iota
	// Done: the call was carried out.
	Done
	// NoCapacity: the cloud has no machine of the offer that was asked for.
	NoCapacity
	// Rejected: the cloud found the call malformed.
	Rejected
	// Throttled: the call was above the permitted rate.
	Throttled
	// Unavailable: the cloud does not serve calls at present.
	Unavailable
	// Failed: any other answer, or a list that cannot be decoded.
	Failed
)

// StatusOf maps a status number of the cloud's protocol; 0 means no answer. For a
// provisioning request, ParseProvision distinguishes NoCapacity from Unavailable.
func StatusOf(number int) Status {
	switch number {
	case httpstatus.NoAnswer:
		return Unanswered
	case httpstatus.OK:
		return Done
	case httpstatus.BadRequest:
		return Rejected
	case httpstatus.TooManyRequests:
		return Throttled
	case httpstatus.ServiceUnavailable:
		return Unavailable
	default:
		return Failed
	}
}

// A Response is the cloud's answer to a request, as the transport has it.
type Response struct {
	Number int // status number of the protocol; 0 if no answer came
	Body   []byte
}

// A ProvisionResult is the result of a provisioning request.
type ProvisionResult struct {
	Status Status
	// Machines are the provisioned machines, at most as many as were asked for, if the status
	// is Done.
	Machines []string
	// DecodeError is why a Done answer does not name its machines, nil if it does. The machines
	// were provisioned all the same, and appear in the machine list.
	DecodeError error
}

// ParseProvision decodes the answer to a provisioning request.
func ParseProvision(r Response) ProvisionResult {
	result := ProvisionResult{Status: StatusOf(r.Number)}
	switch result.Status {
	case Done:
		var names wire.MachineNames
		result.DecodeError = json.Unmarshal(r.Body, &names)
		result.Machines = names.Machines
	case Unavailable:
		if errorOf(r.Body) == errorNoCapacity {
			result.Status = NoCapacity
		}
	case Unanswered, NoCapacity, Rejected, Throttled, Failed: // nothing to decode
	}
	return result
}

// errorNoCapacity is the error in the body of an answer that means NoCapacity.
const errorNoCapacity = "no capacity"

// errorOf is the error that an answer names, empty if it names none.
func errorOf(body []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	// A body that cannot be decoded names no error: the call counts as Unavailable and is retried.
	_ = json.Unmarshal(body, &answer)
	return answer.Error
}

// A ListResult is a page of the machine list. Page is set if the status is Done.
type ListResult struct {
	Status Status
	Page   wire.MachineList
}

// ParseList decodes a page of the machine list. A page that cannot be decoded counts as Failed.
func ParseList(r Response) ListResult {
	result := ListResult{Status: StatusOf(r.Number)}
	if result.Status == Done && json.Unmarshal(r.Body, &result.Page) != nil {
		return ListResult{Status: Failed}
	}
	return result
}

// A MachineTypesResult is the answer to a request for the machine types. Body is a
// wire.MachineTypes, not yet decoded, if the status is Done: the core also stores it as it came.
type MachineTypesResult struct {
	Status Status
	Body   []byte
}
