package kv

import "github.com/segmentio/encoding/json"

// Versioned is the value of a key and its version; version 0 means that the key does not exist.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// Decode decodes the value of a key. If the key does not exist (version 0), the result has the
// zero value. With an error, the result has the part of the value that could be decoded.
func Decode[T any](value json.RawMessage, version uint64) (Versioned[T], error) {
	decoded := Versioned[T]{Version: version}
	if version == 0 {
		return decoded, nil
	}
	return decoded, json.Unmarshal(value, &decoded.Value)
}

// Encode encodes a value of one of this program's own types, all of which can be encoded. It
// panics otherwise.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("kv: encode: " + err.Error())
	}
	return encoded
}
