package wire

import "encoding/json"

// The JSON names below belong to the key-value store's protocol, and never change when a field is
// renamed: compat_test.go of internal/core checks them. Only package internal/kv uses the protocol.

// Item is a key of the store with its value.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is one page of the keys below a prefix.
type Page struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"logline"`
}

// Condition requires a key to have the given version. Version 0 requires that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Write puts or deletes a key.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
}

// Txn is a compare-and-swap on several keys: all writes are applied if all conditions hold, else
// none.
type Txn struct {
	Conditions []Condition `json:"if"`
	Writes     []Write     `json:"writes"`
}

// TxnResult is the response to a transaction, and to a read of a key that does not exist.
type TxnResult struct {
	Conflicts []string `json:"failed,omitempty"`
	Revision  uint64   `json:"logline"`
}

// GrantRequest requests a lease from the store.
type GrantRequest struct {
	TTLMs int `json:"ttlMs"`
}

// Grant is a lease of the store. Keys attached to it are deleted when it expires.
type Grant struct {
	Lease uint64 `json:"permit"`
}

// Event is one change of a watched key.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Delete  string          `json:"delete,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"stamp"`
}

// Changes is the response to a watch.
type Changes struct {
	Revision uint64  `json:"logline"`
	Events   []Event `json:"log"`
}
