package cloudapi

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A Status is the outcome of a call.
type Status int

// The outcomes of calls. After Unanswered and Failed a call may have been executed, or may be
// executed later; after the other failures it was not executed and will not be.
const (
	// Unanswered: no answer came in time.
	Unanswered Status = iota
	// Done: the call was executed.
	Done
	// NoCapacity: the cloud has no machine of the requested offer (type, zone, spot or not).
	NoCapacity
	// Rejected: the call is malformed.
	Rejected
	// Throttled: the call exceeded the rate limit.
	Throttled
	// Unavailable: the cloud cannot serve calls at present.
	Unavailable
	// Failed: any other answer, or a page of the machine list that cannot be decoded.
	Failed
)

// StatusOf maps a status code of the cloud's protocol; 0 means no answer. For a provisioning
// request, ParseProvision distinguishes NoCapacity from Unavailable.
func StatusOf(code int) Status {
	switch code {
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

// A Response is the cloud's answer to a request, as the transport received it.
type Response struct {
	StatusCode int // of the cloud's protocol; 0 if no answer came
	Body       []byte
}

// A ProvisionResult is the result of a provisioning request.
type ProvisionResult struct {
	Status Status
	// Machines are the names of the provisioned machines, at most as many as requested, if the
	// status is Done.
	Machines []string
	// DecodeError is set if the status is Done but the answer cannot be decoded. The machines
	// were provisioned nevertheless, and appear in the machine list.
	DecodeError error
}

// ParseProvision decodes the answer to a provisioning request.
func ParseProvision(r Response) ProvisionResult {
	result := ProvisionResult{Status: StatusOf(r.StatusCode)}
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

// errorNoCapacity is the error text in the body of an answer that means NoCapacity.
const errorNoCapacity = "no capacity"

// errorOf returns the error text in the body of an answer, or "" if there is none.
func errorOf(body []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	// A body that cannot be decoded has no error text: the call counts as Unavailable and is
	// retried.
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
	result := ListResult{Status: StatusOf(r.StatusCode)}
	if result.Status == Done && json.Unmarshal(r.Body, &result.Page) != nil {
		return ListResult{Status: Failed}
	}
	return result
}

// A MachineTypesResult is the answer to a request for the machine types. If the status is Done,
// Body is an encoded wire.MachineTypes: it is not decoded here since the core also stores it
// unchanged.
type MachineTypesResult struct {
	Status Status
	Body   []byte
}
