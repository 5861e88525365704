// Package ledger keeps what a region owns of the teams' ceilings, and the transfers by which
// shares move between regions, as records of the region's state service.
//
// Over all regions, owned shares and transfers on their way add up to each ceiling at every
// moment: one transaction takes a transfer's shares from its source and puts the transfer
// on record there, one adds them at its destination and notes the transfer's number. The
// package builds these transactions and takes in their outcome. It does no I/O, keeps no
// time and decides nothing. docs/design-quota.md weighs the ways.
package ledger

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/segmentio/encoding/json"
)

// Prefix begins all keys of the ledger in the state service.
const Prefix = "quota/"

const (
	headerKey   = Prefix + "head"
	sharePrefix = Prefix + "s/"
	linkPrefix  = Prefix + "r/"
)

func shareKey(team string) string  { return sharePrefix + team }
func linkKey(region string) string { return linkPrefix + region }

// The JSON names of the records below are on record and never change.

// header is the record that makes a ledger one: it is written last.
type header struct {
	Epoch       uint64 `json:"e"` // of this ledger; another one has another
	FenceReason string `json:"f,omitempty"`
}

// Share is what the region has of a team's ceiling.
type Share struct {
	Limit           amount.Amount `json:"c"` // over all regions
	Guarantee       amount.Amount `json:"g"` // guaranteed here: it never leaves
	Owned           amount.Amount `json:"o"`
	PlanFingerprint uint64        `json:"p"` // fingerprint of the file that the first share came from
}

// Part is one team's amount in a transfer.
type Part struct {
	Team   string        `json:"t"`
	Amount amount.Amount `json:"a"`
}

// Transfer is a number of shares on their way to another region. Numbers of a link follow
// each other without a gap.
type Transfer struct {
	Number uint64 `json:"n"`
	Parts  []Part `json:"p"`
}

// Link is what the region knows for certain of its transfers with another region.
type Link struct {
	RemoteEpoch    uint64     `json:"e"`           // of the other region's ledger; 0 until it is known
	Sent           uint64     `json:"s"`           // number of the last transfer to it
	Unacknowledged []Transfer `json:"o,omitempty"` // those that it has not acknowledged, in order
	Received       uint64     `json:"r"`           // number of the last transfer from it that was added here
}

// Acknowledged is the number of the last transfer that the other region is known to have added.
func (l *Link) Acknowledged() uint64 { return l.Sent - uint64(len(l.Unacknowledged)) }

// InTransit adds up what the transfers after a number carry of a team.
func (l *Link) InTransit(team string, after uint64) amount.Amount {
	var sum amount.Amount
	for _, transfer := range l.Unacknowledged {
		if transfer.Number <= after {
			continue
		}
		for _, part := range transfer.Parts {
			if part.Team == team {
				sum = sum.Add(part.Amount)
			}
		}
	}
	return sum
}

// acknowledge drops the transfers up to a number.
func (l *Link) acknowledge(received uint64) {
	for len(l.Unacknowledged) > 0 && l.Unacknowledged[0].Number <= received {
		l.Unacknowledged = l.Unacknowledged[1:]
	}
}

// versioned is a record with its version; 0 for none.
type versioned[T any] struct {
	value   T
	version uint64
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("ledger: encode: " + err.Error()) // only values of this package come here
	}
	return b
}

// decode reads a record; false if it is none.
func decode[T any](value json.RawMessage, version uint64) (versioned[T], bool) {
	v := versioned[T]{version: version}
	return v, json.Unmarshal(value, &v.value) == nil
}

// parseKey tells what a key's record is, and of which team or region.
func parseKey(key string) (kind, name string) {
	if team, ok := strings.CutPrefix(key, sharePrefix); ok {
		return sharePrefix, team
	}
	if region, ok := strings.CutPrefix(key, linkPrefix); ok {
		return linkPrefix, region
	}
	return key, ""
}
