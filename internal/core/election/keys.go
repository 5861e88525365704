package election

import (
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Keys of the key-value store that elections use. Versions of the program share them: they
// never change.
const (
	KeyLeader = "leader"
	KeyTerm   = "term"
)

// LeaderValue is the value of KeyLeader. Versions of the program share the record: JSON names
// never change, see compat_test.go of internal/core.
type LeaderValue struct {
	Name string `json:"name"`
	Term uint64 `json:"term"`
}

// decodeLeader decodes the leader key.
func decodeLeader(item wire.Item) (kv.Versioned[LeaderValue], error) {
	return kv.Decode[LeaderValue](item.Value, item.Version)
}

// decodeTerm decodes the term key.
func decodeTerm(item wire.Item) (kv.Versioned[uint64], error) {
	return kv.Decode[uint64](item.Value, item.Version)
}
