package ledger

import (
	"errors"
	"fmt"
	"sort"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Ledger is a region's records as its leader has last read or written them.
type Ledger struct {
	header kv.Versioned[header]
	shares map[string]kv.Versioned[Share] // by team
	links  map[string]kv.Versioned[Link]  // by region
}

// Load decodes a ledger from all its records. The error names the first one that cannot be decoded.
func Load(items []wire.Item) (*Ledger, error) {
	l := &Ledger{shares: map[string]kv.Versioned[Share]{}, links: map[string]kv.Versioned[Link]{}}
	for _, item := range items {
		if err := l.load(item); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *Ledger) load(item wire.Item) error {
	err := errUnknownKey
	switch kind, name := parseKey(item.Key); kind {
	case headerKey:
		l.header, err = kv.Decode[header](item.Value, item.Version)
	case sharePrefix:
		l.shares[name], err = kv.Decode[Share](item.Value, item.Version)
	case linkPrefix:
		l.links[name], err = kv.Decode[Link](item.Value, item.Version)
	}
	if err != nil {
		return fmt.Errorf("ledger: cannot decode record %s: %w", item.Key, err)
	}
	return nil
}

var errUnknownKey = errors.New("unknown key")

// Epoch identifies the ledger; 0 until the ledger is complete.
func (l *Ledger) Epoch() uint64 { return l.header.Value.Epoch }

// FenceReason is why the region may grant nothing; empty if it is not fenced.
func (l *Ledger) FenceReason() string { return l.header.Value.FenceReason }

// Share returns the region's share of a team's limit. It reports false if the ledger has none.
func (l *Ledger) Share(team string) (Share, bool) {
	share, ok := l.shares[team]
	return share.Value, ok
}

// Link returns the state of the transfers to and from a region; the zero Link if there is none.
func (l *Ledger) Link(region string) Link { return l.links[region].Value }

// Teams lists the teams that have a share, in alphabetical order.
func (l *Ledger) Teams() []string { return sortedNames(l.shares) }

// Regions lists the regions that have a link, in alphabetical order.
func (l *Ledger) Regions() []string { return sortedNames(l.links) }

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// CheckInvariants returns an error that names the first violated invariant; nil if all hold. The
// wording of the errors never changes: stored records contain it as the reason of a fence.
func (l *Ledger) CheckInvariants() error {
	for _, team := range l.Teams() {
		if err := checkShare(team, l.shares[team].Value); err != nil {
			return err
		}
	}
	for _, region := range l.Regions() {
		link := l.Link(region)
		for i, transfer := range link.Unacknowledged {
			if transfer.Number != link.Acknowledged()+1+uint64(i) {
				return fmt.Errorf("ledger: %s: transfer %d out of order", region, transfer.Number)
			}
		}
	}
	return nil
}

func checkShare(team string, share Share) error {
	switch {
	case share.Owned.IsNegative():
		return fmt.Errorf("ledger: %s: owned %v is below 0", team, share.Owned)
	case !share.Owned.Covers(share.Guarantee):
		return fmt.Errorf("ledger: %s: owned %v is less than the guaranteed %v", team, share.Owned, share.Guarantee)
	case !share.Limit.Covers(share.Owned):
		return fmt.Errorf("ledger: %s: owned %v is more than the ceiling %v", team, share.Owned, share.Limit)
	}
	return nil
}
