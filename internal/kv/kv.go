// Package kv is the interface to the consensus-backed key-value store that holds all state.
//
// It owns the store's protocol: paths, status codes, the encoding of values and the typed
// results of each call. Client also tracks the store's limits and whether it is available.
// The package has no clock, socket or goroutine: requests are sent by a Transport, and results are
// passed to callbacks. internal/core, internal/wake and internal/quota use it.
package kv

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A Status is the outcome of a call.
type Status int

// The outcomes of calls. After Unanswered and Failed a transaction may have been executed, or
// may be executed later; after the other failures it was not executed and will not be.
const (
	// Unanswered: no answer came in time.
	Unanswered Status = iota
	// OK: a read found its key, or a transaction was committed.
	OK
	// NotFound: the key does not exist, or a lease has expired.
	NotFound
	// Conflict: a key in the conditions of a transaction does not have the required version.
	Conflict
	// Rejected: the call is malformed or exceeds the store's limits.
	Rejected
	// Compacted: the store no longer keeps the changes that a watch requested.
	Compacted
	// Throttled: the call exceeded the rate limit.
	Throttled
	// Unavailable: the store cannot serve this caller at present.
	Unavailable
	// Failed: any other answer, or one that cannot be decoded.
	Failed
)

// StatusOf maps a status code of the store's protocol; 0 means no answer.
func StatusOf(code int) Status {
	switch code {
	case httpstatus.NoAnswer:
		return Unanswered
	case httpstatus.OK:
		return OK
	case httpstatus.NotFound:
		return NotFound
	case httpstatus.Conflict:
		return Conflict
	case httpstatus.BadRequest:
		return Rejected
	case httpstatus.Gone:
		return Compacted
	case httpstatus.TooManyRequests:
		return Throttled
	case httpstatus.ServiceUnavailable:
		return Unavailable
	default:
		return Failed
	}
}

// A Response is the store's answer to a request, as the transport received it.
type Response struct {
	StatusCode int // of the store's protocol; 0 if no answer came
	Body       []byte
}

// decode returns the status of a response and decodes its body if the status is OK.
// An answer that cannot be decoded counts as Failed.
func (r Response) decode(into any) Status {
	status := StatusOf(r.StatusCode)
	if status == OK && json.Unmarshal(r.Body, into) != nil {
		return Failed
	}
	return status
}

// A GetResult is the result of reading a key. Item is set if the status is OK.
type GetResult struct {
	Status Status
	Item   wire.Item
}

// ParseGet decodes the answer to a read of a key.
func ParseGet(r Response) GetResult {
	var result GetResult
	result.Status = r.decode(&result.Item)
	return result
}

// A ListResult is a page of the keys with a prefix. Page is set if the status is OK.
type ListResult struct {
	Status Status
	Page   wire.Page
}

// ParseList decodes the answer to a listing.
func ParseList(r Response) ListResult {
	var result ListResult
	result.Status = r.decode(&result.Page)
	return result
}

// A TxnResult is the result of a transaction.
type TxnResult struct {
	Status    Status
	Revision  uint64   // the new version of all written keys, if the status is OK
	Conflicts []string // keys that do not have the required versions, if the status is Conflict
}

// Committed reports whether the transaction was committed.
func (r TxnResult) Committed() bool { return r.Status == OK }

// ParseTxn decodes the answer to a transaction. The status is Conflict even if the answer does
// not list the conflicting keys.
func ParseTxn(r Response) TxnResult {
	var body wire.TxnResult
	status := StatusOf(r.StatusCode)
	decodeErr := json.Unmarshal(r.Body, &body)
	if status == OK && decodeErr != nil {
		status = Failed
	}
	return TxnResult{Status: status, Revision: body.Revision, Conflicts: body.Conflicts}
}

// A GrantResult is the result of requesting a lease. Lease, its ID, is set if the status is OK.
type GrantResult struct {
	Status Status
	Lease  uint64
}

// ParseGrant decodes the answer to a request for a lease.
func ParseGrant(r Response) GrantResult {
	var body wire.Grant
	status := r.decode(&body)
	return GrantResult{Status: status, Lease: body.Lease}
}

// A WatchResult has the changes of the keys with a prefix since a revision. Changes is set if
// the status is OK.
type WatchResult struct {
	Status  Status
	Changes wire.Changes
}

// ParseWatch decodes the answer to a watch.
func ParseWatch(r Response) WatchResult {
	var result WatchResult
	result.Status = r.decode(&result.Changes)
	return result
}
