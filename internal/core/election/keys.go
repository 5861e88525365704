package election

import (
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Keys of the key-value store that elections use. They are shared between versions of the program
// and must never change.
const (
	KeyLeader = "leader"
	KeyTerm   = "term"
)

// LeaderValue is the value of KeyLeader. The record is shared between versions of the program, so its
// JSON names must never change; see compat_test.go in internal/core.
type LeaderValue struct {
	Name string `json:"name"`
	Term uint64 `json:"term"`
}

// decodeLeader decodes the value of the leader key.
func decodeLeader(item wire.Item) (kv.Versioned[LeaderValue], error) {
	return kv.Decode[LeaderValue](item.Value, item.Version)
}

// decodeTerm decodes the value of the term key.
func decodeTerm(item wire.Item) (kv.Versioned[uint64], error) {
	return kv.Decode[uint64](item.Value, item.Version)
}
