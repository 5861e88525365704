package ledger

import (
	"fmt"
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/wire"
)

// Ledger is a region's records as its leader knows them.
type Ledger struct {
	header versioned[header]
	shares map[string]versioned[Share]
	links  map[string]versioned[Link]
}

// Load reads a ledger from all its records. The error names one that is not readable.
func Load(items []wire.Item) (*Ledger, error) {
	l := &Ledger{shares: map[string]versioned[Share]{}, links: map[string]versioned[Link]{}}
	for _, it := range items {
		var ok bool
		switch kind, name := parseKey(it.Key); kind {
		case headerKey:
			l.header, ok = decode[header](it.Value, it.Version)
		case sharePrefix:
			l.shares[name], ok = decode[Share](it.Value, it.Version)
		case linkPrefix:
			l.links[name], ok = decode[Link](it.Value, it.Version)
		}
		if !ok {
			return nil, fmt.Errorf("ledger: record %s is not readable", it.Key)
		}
	}
	return l, nil
}

// Epoch is the ledger's own; 0 as long as it is not complete.
func (l *Ledger) Epoch() uint64 { return l.header.value.Epoch }

// FenceReason tells why the region may grant nothing; empty if it may.
func (l *Ledger) FenceReason() string { return l.header.value.FenceReason }

// Share is what the region has of a team.
func (l *Ledger) Share(team string) (Share, bool) {
	s, ok := l.shares[team]
	return s.value, ok
}

// Link is what is known of the transfers with a region.
func (l *Ledger) Link(region string) Link { return l.links[region].value }

// Teams lists the teams that have a share, in order.
func (l *Ledger) Teams() []string { return sortedNames(l.shares) }

// Regions lists the regions that there is a link with, in order.
func (l *Ledger) Regions() []string { return sortedNames(l.links) }

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// CheckInvariants tells what in the ledger cannot be; nil if it is sound.
func (l *Ledger) CheckInvariants() error {
	for _, team := range l.Teams() {
		share := l.shares[team].value
		switch {
		case share.Owned.IsNegative():
			return fmt.Errorf("ledger: %s: owned %v is below 0", team, share.Owned)
		case !share.Owned.Covers(share.Guarantee):
			return fmt.Errorf("ledger: %s: owned %v is less than the guaranteed %v", team, share.Owned, share.Guarantee)
		case !share.Limit.Covers(share.Owned):
			return fmt.Errorf("ledger: %s: owned %v is more than the ceiling %v", team, share.Owned, share.Limit)
		}
	}
	for _, region := range l.Regions() {
		link := l.links[region].value
		for i, t := range link.Unacknowledged {
			if t.Number != link.Acknowledged()+1+uint64(i) {
				return fmt.Errorf("ledger: %s: transfer %d out of order", region, t.Number)
			}
		}
	}
	return nil
}

// Change is a transaction on the ledger and what it leads to. It may be committed any number
// of times: it is conditional on the version of each record that it writes, so it takes effect
// once. Done is called with the revision once it is known to have taken effect.
type Change struct {
	Txn         *wire.Txn
	OnCommitted func(revision uint64)
}

// change begins a transaction under the leader's term.
func (l *Ledger) change(term wire.Condition) *Change {
	return &Change{Txn: &wire.Txn{Conditions: []wire.Condition{term}}}
}

func (c *Change) put(key string, version uint64, value any) {
	c.Txn.Conditions = append(c.Txn.Conditions, wire.Condition{Key: key, Version: version})
	c.Txn.Writes = append(c.Txn.Writes, wire.Write{Put: key, Value: encode(value)})
}

// Then adds what is done once the transaction has taken effect, after what there is.
func (c *Change) Then(f func(revision uint64)) *Change {
	before := c.OnCommitted
	c.OnCommitted = func(revision uint64) {
		if before != nil {
			before(revision)
		}
		f(revision)
	}
	return c
}

func (l *Ledger) putShare(c *Change, team string, s Share) {
	c.put(shareKey(team), l.shares[team].version, s)
	c.Then(func(revision uint64) { l.shares[team] = versioned[Share]{s, revision} })
}

func (l *Ledger) putLink(c *Change, region string, link Link) {
	c.put(linkKey(region), l.links[region].version, link)
	c.Then(func(revision uint64) { l.links[region] = versioned[Link]{link, revision} })
}

// AddShares puts the first shares of teams on record that have none.
func (l *Ledger) AddShares(term wire.Condition, teams []string, share func(team string) Share) *Change {
	change := l.change(term)
	for _, team := range teams {
		l.putShare(change, team, share(team))
	}
	return change
}

// Complete makes the ledger one of that epoch, once all first shares are on record.
func (l *Ledger) Complete(term wire.Condition, epoch uint64) *Change {
	return l.putHeader(term, header{Epoch: epoch})
}

// Fence has the region grant nothing from now on.
func (l *Ledger) Fence(term wire.Condition, why string) *Change {
	return l.putHeader(term, header{Epoch: l.header.value.Epoch, FenceReason: why})
}

func (l *Ledger) putHeader(term wire.Condition, next header) *Change {
	change := l.change(term)
	change.put(headerKey, l.header.version, next)
	change.Then(func(revision uint64) { l.header = versioned[header]{next, revision} })
	return change
}

// Handshake records the epoch of a region's ledger.
func (l *Ledger) Handshake(term wire.Condition, region string, epoch uint64) *Change {
	link := l.links[region].value
	link.RemoteEpoch = epoch
	change := l.change(term)
	l.putLink(change, region, link)
	return change
}

// Debit takes shares from what the region owns and puts them on their way to another one. The
// caller sees to it that no task uses them. It fails if that would leave less than the floor.
func (l *Ledger) Debit(term wire.Condition, region string, received uint64, parts []Part) (*Change, error) {
	change := l.change(term)
	link := l.links[region].value
	link.Unacknowledged = slices.Clone(link.Unacknowledged)
	link.acknowledge(received)
	link.Sent++
	link.Unacknowledged = append(link.Unacknowledged, Transfer{Number: link.Sent, Parts: parts})
	l.putLink(change, region, link)
	for _, part := range parts {
		share, ok := l.Share(part.Team)
		if !ok || part.Amount.IsNegative() || !share.Owned.Sub(part.Amount).Covers(share.Guarantee) {
			return nil, fmt.Errorf("ledger: cannot give %v of %s, which owns %v", part.Amount, part.Team, share.Owned)
		}
		share.Owned = share.Owned.Sub(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change, nil
}

// Credit adds a transfer from another region to what the region owns. It returns nil for one
// that has been added already or that does not come next.
func (l *Ledger) Credit(term wire.Condition, region string, received uint64, transfer Transfer) *Change {
	link := l.links[region].value
	if transfer.Number != link.Received+1 {
		return nil
	}
	change := l.change(term)
	link.Unacknowledged = slices.Clone(link.Unacknowledged)
	link.acknowledge(received)
	link.Received = transfer.Number
	l.putLink(change, region, link)
	for _, part := range transfer.Parts {
		share := l.shares[part.Team].value
		share.Owned = share.Owned.Add(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change
}

// Acknowledge forgets the transfers that a region has added; nil if there are none.
func (l *Ledger) Acknowledge(term wire.Condition, region string, received uint64) *Change {
	link := l.links[region].value
	if len(link.Unacknowledged) == 0 || link.Unacknowledged[0].Number > received {
		return nil
	}
	link.Unacknowledged = slices.Clone(link.Unacknowledged)
	link.acknowledge(received)
	change := l.change(term)
	l.putLink(change, region, link)
	return change
}
