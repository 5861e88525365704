package ledger

import (
	"fmt"
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/wire"
)

// Ledger is a region's records as its leader knows them.
type Ledger struct {
	head   versioned[head]
	shares map[string]versioned[Share]
	links  map[string]versioned[Link]
}

// Load reads a ledger from all its records. The error names one that is not readable.
func Load(items []wire.Item) (*Ledger, error) {
	l := &Ledger{shares: map[string]versioned[Share]{}, links: map[string]versioned[Link]{}}
	for _, it := range items {
		var ok bool
		switch kind, name := keyKind(it.Key); kind {
		case headKey:
			l.head, ok = decode[head](it.Value, it.Version)
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
func (l *Ledger) Epoch() uint64 { return l.head.value.Epoch }

// Fenced tells why the region may grant nothing; empty if it may.
func (l *Ledger) Fenced() string { return l.head.value.Fenced }

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

// Invariant tells what in the ledger cannot be; nil if it is sound.
func (l *Ledger) Invariant() error {
	for _, team := range l.Teams() {
		s := l.shares[team].value
		switch {
		case s.Owned.Negative():
			return fmt.Errorf("ledger: %s: owned %v is below 0", team, s.Owned)
		case !s.Owned.Covers(s.Floor):
			return fmt.Errorf("ledger: %s: owned %v is less than the guaranteed %v", team, s.Owned, s.Floor)
		case !s.Ceiling.Covers(s.Owned):
			return fmt.Errorf("ledger: %s: owned %v is more than the ceiling %v", team, s.Owned, s.Ceiling)
		}
	}
	for _, region := range l.Regions() {
		link := l.links[region].value
		for i, t := range link.Out {
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
	Txn  *wire.Txn
	Done func(revision uint64)
}

// change begins a transaction under the leader's term.
func (l *Ledger) change(term wire.Cond) *Change {
	return &Change{Txn: &wire.Txn{If: []wire.Cond{term}}}
}

func (c *Change) put(key string, version uint64, value any) {
	c.Txn.If = append(c.Txn.If, wire.Cond{Key: key, Version: version})
	c.Txn.Writes = append(c.Txn.Writes, wire.Write{Put: key, Value: encode(value)})
}

// Then adds what is done once the transaction has taken effect, after what there is.
func (c *Change) Then(f func(revision uint64)) *Change {
	before := c.Done
	c.Done = func(revision uint64) {
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
func (l *Ledger) AddShares(term wire.Cond, teams []string, share func(team string) Share) *Change {
	c := l.change(term)
	for _, team := range teams {
		l.putShare(c, team, share(team))
	}
	return c
}

// Complete makes the ledger one of that epoch, once all first shares are on record.
func (l *Ledger) Complete(term wire.Cond, epoch uint64) *Change {
	return l.putHead(term, head{Epoch: epoch})
}

// Fence has the region grant nothing from now on.
func (l *Ledger) Fence(term wire.Cond, why string) *Change {
	return l.putHead(term, head{Epoch: l.head.value.Epoch, Fenced: why})
}

func (l *Ledger) putHead(term wire.Cond, h head) *Change {
	c := l.change(term)
	c.put(headKey, l.head.version, h)
	c.Then(func(revision uint64) { l.head = versioned[head]{h, revision} })
	return c
}

// Meet records the epoch of a region's ledger.
func (l *Ledger) Meet(term wire.Cond, region string, epoch uint64) *Change {
	link := l.links[region].value
	link.PeerEpoch = epoch
	c := l.change(term)
	l.putLink(c, region, link)
	return c
}

// Give takes shares from what the region owns and puts them on their way to another one. The
// caller sees to it that no task uses them. It fails if that would leave less than the floor.
func (l *Ledger) Give(term wire.Cond, region string, received uint64, parts []Part) (*Change, error) {
	c := l.change(term)
	link := l.links[region].value
	link.Out = slices.Clone(link.Out)
	link.acknowledge(received)
	link.Sent++
	link.Out = append(link.Out, Transfer{Number: link.Sent, Parts: parts})
	l.putLink(c, region, link)
	for _, p := range parts {
		s, ok := l.Share(p.Team)
		if !ok || p.Amount.Negative() || !s.Owned.Sub(p.Amount).Covers(s.Floor) {
			return nil, fmt.Errorf("ledger: cannot give %v of %s, which owns %v", p.Amount, p.Team, s.Owned)
		}
		s.Owned = s.Owned.Sub(p.Amount)
		l.putShare(c, p.Team, s)
	}
	return c, nil
}

// Take adds a transfer from another region to what the region owns. It returns nil for one
// that has been added already or that does not come next.
func (l *Ledger) Take(term wire.Cond, region string, received uint64, t Transfer) *Change {
	link := l.links[region].value
	if t.Number != link.Received+1 {
		return nil
	}
	c := l.change(term)
	link.Out = slices.Clone(link.Out)
	link.acknowledge(received)
	link.Received = t.Number
	l.putLink(c, region, link)
	for _, p := range t.Parts {
		s := l.shares[p.Team].value
		s.Owned = s.Owned.Add(p.Amount)
		l.putShare(c, p.Team, s)
	}
	return c
}

// Acknowledge forgets the transfers that a region has added; nil if there are none.
func (l *Ledger) Acknowledge(term wire.Cond, region string, received uint64) *Change {
	link := l.links[region].value
	if len(link.Out) == 0 || link.Out[0].Number > received {
		return nil
	}
	link.Out = slices.Clone(link.Out)
	link.acknowledge(received)
	c := l.change(term)
	l.putLink(c, region, link)
	return c
}
