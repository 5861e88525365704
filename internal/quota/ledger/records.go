// Package ledger represents a region's shares of the teams' limits, and the transfers that move
// shares between regions, as records in the region's key-value store.
//
// Over all regions, owned shares and transfers in transit add up to each limit at every moment:
// one transaction debits a transfer's shares at its source and records the transfer there, and
// one credits them at its destination and records the transfer's number. The package builds these
// transactions and applies their outcome. It does no I/O, has no clock and makes no decisions:
// package quota decides and commits the transactions, and package report only reads the records.
// The package owns the keys below Prefix. docs/design-quota.md compares the alternatives.
package ledger

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// Prefix is the prefix of all keys of the ledger in the store.
const Prefix = "quota/"

const (
	headerKey   = Prefix + "head"
	sharePrefix = Prefix + "s/"
	linkPrefix  = Prefix + "r/"
)

func shareKey(team string) string  { return sharePrefix + team }
func linkKey(region string) string { return linkPrefix + region }

// The JSON names of the types below are in stored records and never change.

// header is the record that completes a ledger. It is first written once all initial shares are
// recorded.
type header struct {
	Epoch       uint64 `json:"e"`           // identifies this ledger; a recreated ledger has a different one
	FenceReason string `json:"f,omitempty"` // why the region may grant nothing; empty if it may
}

// Share is the region's share of a team's limit.
type Share struct {
	Limit           amount.Amount `json:"c"` // over all regions
	Guarantee       amount.Amount `json:"g"` // part of Owned that is never transferred
	Owned           amount.Amount `json:"o"`
	PlanFingerprint uint64        `json:"p"` // of the regions file that defined the initial share
}

// Part is one team's amount in a transfer.
type Part struct {
	Team   string        `json:"t"`
	Amount amount.Amount `json:"a"`
}

// Transfer moves shares from one region to another. The transfers in each direction of a link have
// consecutive numbers from 1.
type Transfer struct {
	Number uint64 `json:"n"`
	Parts  []Part `json:"p"`
}

// Link is the recorded state of the region's transfers to and from another region.
type Link struct {
	RemoteEpoch    uint64     `json:"e"`           // of the other region's ledger; 0 until it is known
	Sent           uint64     `json:"s"`           // number of the last transfer to it
	Unacknowledged []Transfer `json:"o,omitempty"` // transfers to it that it is not known to have credited, in order
	Received       uint64     `json:"r"`           // number of the last transfer from it that was credited
}

// Acknowledged is the number of the last transfer that the other region is known to have credited.
func (l *Link) Acknowledged() uint64 { return l.Sent - uint64(len(l.Unacknowledged)) }

// InTransit adds up a team's amounts in the unacknowledged transfers after a number.
func (l *Link) InTransit(team string, after uint64) amount.Amount {
	var sum amount.Amount
	for _, transfer := range l.Unacknowledged {
		if transfer.Number > after {
			sum = sum.Add(transfer.amountOf(team))
		}
	}
	return sum
}

// amountOf adds up a team's amounts in the transfer.
func (t *Transfer) amountOf(team string) amount.Amount {
	var sum amount.Amount
	for _, part := range t.Parts {
		if part.Team == team {
			sum = sum.Add(part.Amount)
		}
	}
	return sum
}

// acknowledge drops the unacknowledged transfers up to a number.
func (l *Link) acknowledge(creditedUpTo uint64) {
	for len(l.Unacknowledged) > 0 && l.Unacknowledged[0].Number <= creditedUpTo {
		l.Unacknowledged = l.Unacknowledged[1:]
	}
}

// parseKey returns the kind of record under a key, as the constant headerKey, sharePrefix or
// linkPrefix, and the name of the record's team or region. It returns an unknown key unchanged.
func parseKey(key string) (kind, name string) {
	if team, ok := strings.CutPrefix(key, sharePrefix); ok {
		return sharePrefix, team
	}
	if region, ok := strings.CutPrefix(key, linkPrefix); ok {
		return linkPrefix, region
	}
	return key, ""
}
