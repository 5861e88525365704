package ledger

import (
	"fmt"
	"slices"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Change is a transaction on the ledger with its effect on the Ledger in memory. Committing it is
// idempotent: it is conditional on the version of each record that it writes, so it takes effect at
// most once. OnCommitted is to be called, with the store's revision, once it is known to be
// committed.
type Change struct {
	Txn         *wire.Txn
	OnCommitted func(revision uint64)
}

// newChange starts a transaction that is conditional on the leader's term.
func newChange(term wire.Condition) *Change {
	return &Change{Txn: &wire.Txn{Conditions: []wire.Condition{term}}}
}

func (c *Change) put(key string, version uint64, value any) {
	c.Txn.Conditions = append(c.Txn.Conditions, wire.Condition{Key: key, Version: version})
	c.Txn.Writes = append(c.Txn.Writes, wire.Write{Put: key, Value: kv.Encode(value)})
}

// Then adds an effect that runs after the existing effects of the change.
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

// AddShares records the initial shares of teams that have no share.
func (l *Ledger) AddShares(term wire.Condition, teams []string, share func(team string) Share) *Change {
	change := newChange(term)
	for _, team := range teams {
		l.putShare(change, team, share(team))
	}
	return change
}

// Complete marks the ledger as complete and sets its epoch, once all initial shares are recorded.
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
// which has credited earlier transfers up to a number. The caller must ensure that no task uses the
// shares. Debit fails for a team without a share, for a negative amount, and if less than the
// guarantee would be left.
func (l *Ledger) Debit(term wire.Condition, region string, creditedUpTo uint64, parts []Part) (*Change, error) {
	change := newChange(term)
	link := l.acknowledgedLink(region, creditedUpTo)
	link.Sent++
	link.Unacknowledged = append(link.Unacknowledged, Transfer{Number: link.Sent, Parts: parts})
	l.putLink(change, region, link)
	for _, part := range parts {
		share, ok := l.Share(part.Team)
		if !ok || part.Amount.IsNegative() || !share.Owned.Sub(part.Amount).Covers(share.Guarantee) {
			return nil, fmt.Errorf("ledger: cannot debit %v from the share of team %s: the region owns %v", part.Amount, part.Team, share.Owned)
		}
		share.Owned = share.Owned.Sub(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change, nil
}

// Credit adds a transfer's shares to what the region owns. The transfer is from another region,
// which has itself credited transfers up to a number. Credit returns nil unless the transfer is the
// next one from that region.
func (l *Ledger) Credit(term wire.Condition, region string, creditedUpTo uint64, transfer Transfer) *Change {
	if transfer.Number != l.Link(region).Received+1 {
		return nil
	}
	change := newChange(term)
	link := l.acknowledgedLink(region, creditedUpTo)
	link.Received = transfer.Number
	l.putLink(change, region, link)
	for _, part := range transfer.Parts {
		share, _ := l.Share(part.Team)
		share.Owned = share.Owned.Add(part.Amount)
		l.putShare(change, part.Team, share)
	}
	return change
}

// Acknowledge drops the transfers that another region has credited, up to a number. It returns nil
// if there are none to drop.
func (l *Ledger) Acknowledge(term wire.Condition, region string, creditedUpTo uint64) *Change {
	link := l.Link(region)
	if len(link.Unacknowledged) == 0 || link.Unacknowledged[0].Number > creditedUpTo {
		return nil
	}
	change := newChange(term)
	l.putLink(change, region, l.acknowledgedLink(region, creditedUpTo))
	return change
}

// acknowledgedLink returns a copy of a link without the unacknowledged transfers up to a number.
func (l *Ledger) acknowledgedLink(region string, creditedUpTo uint64) Link {
	link := l.Link(region)
	link.Unacknowledged = slices.Clone(link.Unacknowledged)
	link.acknowledge(creditedUpTo)
	return link
}
