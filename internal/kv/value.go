package kv

import "github.com/segmentio/encoding/json"

// Versioned is the value of a key with its version; version 0 means that the key does not
// exist.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// Decode decodes the value that a key has at a version. The value is the zero value if the key
// does not exist, and what could be decoded if there is an error.
func Decode[T any](value json.RawMessage, version uint64) (Versioned[T], error) {
	decoded := Versioned[T]{Version: version}
	if version == 0 {
		return decoded, nil
	}
	return decoded, json.Unmarshal(value, &decoded.Value)
}

// Encode encodes a value of one of this program's own types, all of which can be encoded.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("kv: encode: " + err.Error())
	}
	return encoded
}
