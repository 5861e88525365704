package ledger

import (
	"fmt"
	"slices"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Change is a transaction on the ledger with its effect. It may be committed any number of
// times: it is conditional on the version of each record that it writes, so it is carried out
// once. OnCommitted is called with the revision once that is known to have happened.
type Change struct {
	Txn         *wire.Txn
	OnCommitted func(revision uint64)
}

// newChange begins a transaction under the leader's term.
func newChange(term wire.Condition) *Change {
	return &Change{Txn: &wire.Txn{Conditions: []wire.Condition{term}}}
}

func (c *Change) put(key string, version uint64, value any) {
	c.Txn.Conditions = append(c.Txn.Conditions, wire.Condition{Key: key, Version: version})
	c.Txn.Writes = append(c.Txn.Writes, wire.Write{Put: key, Value: kv.Encode(value)})
}

// Then adds an effect of the change, after those that there are.
func (c *Change) Then(effect func(revision uint64)) *Change {
	before := c.OnCommitted
	c.OnCommitted = func(revision uint64) {
		if before != nil {
			before(revision)
		}
		effect(revision)
	}
	return c
}

func (l *Ledger) putShare(c *Change, team string, share Share) {
	c.put(shareKey(team), l.shares[team].Version, share)
	c.Then(func(revision uint64) { l.shares[team] = kv.Versioned[Share]{Value: share, Version: revision} })
}

func (l *Ledger) putLink(c *Change, region string, link Link) {
	c.put(linkKey(region), l.links[region].Version, link)
	c.Then(func(revision uint64) { l.links[region] = kv.Versioned[Link]{Value: link, Version: revision} })
}

// AddShares records the initial shares of teams that have none.
func (l *Ledger) AddShares(term wire.Condition, teams []string, share func(team string) Share) *Change {
	change := newChange(term)
	for _, team := range teams {
		l.putShare(change, team, share(team))
	}
	return change
}

// Complete completes the ledger under an epoch, once all initial shares are recorded.
func (l *Ledger) Complete(term wire.Condition, epoch uint64) *Change {
	return l.putHeader(term, header{Epoch: epoch})
}

// Fence records that the region may grant nothing from now on, and why.
func (l *Ledger) Fence(term wire.Condition, reason string) *Change {
	return l.putHeader(term, header{Epoch: l.header.Value.Epoch, FenceReason: reason})
}

func (l *Ledger) putHeader(term wire.Condition, next header) *Change {
	change := newChange(term)
	change.put(headerKey, l.header.Version, next)
	change.Then(func(revision uint64) { l.header = kv.Versioned[header]{Value: next, Version: revision} })
	return change
}

// Handshake records the epoch of another region's ledger.
func (l *Ledger) Handshake(term wire.Condition, region string, epoch uint64) *Change {
	link := l.Link(region)
	link.RemoteEpoch = epoch
	change := newChange(term)
	l.putLink(change, region, link)
	return change
}

// Debit subtracts shares from what the region owns and records their transfer to another region,
// which has credited transfers up to received. The caller makes sure that no task uses the
// shares. Debit fails if less than the guarantee would be left.
func (l *Ledger) Debit(term wire.Condition, region string, received uint64, parts []Part) (*Change, error) {
	change := newChange(term)
	link := l.acknowledgedLink(region, received)
	link.Sent++
	link.Unacknowledged = append(link.Unacknowledged, Transfer{Number: link.Sent, Parts: parts})
	l.putLink(change, region, link)
	for _, part := range parts {
		share, ok := l.Share(part.Team)
		if !ok || part.Amount.IsNegative() || !share.Owned.Sub(part.Amount).Covers(share.Guarantee) {
			return nil, fmt.Errorf("ledger: cannot debit %v of %s, which owns %v", part.Amount, part.Team, share.Owned)
		}
		share.Owned = share.Owned.Sub(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change, nil
}

// Credit adds a transfer from another region, which has credited transfers up to received, to
// what the region owns. It returns nil unless the transfer is the link's next one.
func (l *Ledger) Credit(term wire.Condition, region string, received uint64, transfer Transfer) *Change {
	if transfer.Number != l.Link(region).Received+1 {
		return nil
	}
	change := newChange(term)
	link := l.acknowledgedLink(region, received)
	link.Received = transfer.Number
	l.putLink(change, region, link)
	for _, part := range transfer.Parts {
		share, _ := l.Share(part.Team)
		share.Owned = share.Owned.Add(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change
}

// Acknowledge drops the transfers that another region has credited, up to received. It returns
// nil if there are none.
func (l *Ledger) Acknowledge(term wire.Condition, region string, received uint64) *Change {
	link := l.Link(region)
	if len(link.Unacknowledged) == 0 || link.Unacknowledged[0].Number > received {
		return nil
	}
	change := newChange(term)
	l.putLink(change, region, l.acknowledgedLink(region, received))
	return change
}

// acknowledgedLink is a copy of a link without the transfers up to a number.
func (l *Ledger) acknowledgedLink(region string, received uint64) Link {
	link := l.Link(region)
	link.Unacknowledged = slices.Clone(link.Unacknowledged)
	link.acknowledge(received)
	return link
}
