package wire

import "encoding/json"

// The JSON names below are those of the key-value store's protocol, see compat_test.go of
// internal/core: they never change when a field is renamed. Package internal/kv alone speaks
// that protocol.

// Item is a key of the store with its value.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a part of the keys below a prefix.
type Page struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"logline"`
}

// Condition requires a key to have a version; 0 means that it must not exist.
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

// Txn is a compare-and-swap of several keys: all writes are carried out if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"if"`
	Writes     []Write     `json:"writes"`
}

// TxnResult is the answer to a transaction, and to a read of an absent key.
type TxnResult struct {
	Conflicts []string `json:"failed,omitempty"`
	Revision  uint64   `json:"logline"`
}

// GrantRequest asks for a lease of the store.
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

// Changes is the answer to a watch.
type Changes struct {
	Revision uint64  `json:"logline"`
	Events   []Event `json:"log"`
}
