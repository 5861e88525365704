package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/boots"
	"github.com/brookwalk/brookwalk/internal/core/rental"
)

// fleet is what the leader keeps of its dealings with the cloud.
type fleet struct {
	returns     map[string]bool
	returnBusy  bool
	returnRetry time.Duration

	listBusy bool
	listNext time.Duration
	listSeen map[string]bool

	rents    []*rent
	rentNext time.Duration
	rentSeq  int
	wanted   []rental.Wanted                // what the last plan wants and is not asked for yet
	refused  map[rental.Offer]time.Duration // until when an offer is not asked for
	probes   map[rental.Offer]int           // machines counted on of offers refused lately
	cutAt    map[string]time.Duration       // when a zone was last seen cut off
	moveFrom string                         // the machine to be tried first, if the last walk was cut short
	moveNext time.Duration                  // no machine is emptied for others before
	keepIdle map[string]bool                // idle machines that are kept for work to come
	keptFor  map[string]string              // what empty machines are kept for

	commandNow map[string]bool // machines to send commands to at once
}

// newFleet makes the state of a new leader.
func newFleet() fleet {
	return fleet{returns: map[string]bool{}, refused: map[rental.Offer]time.Duration{}, probes: map[rental.Offer]int{}, cutAt: map[string]time.Duration{}, keepIdle: map[string]bool{}, commandNow: map[string]bool{}}
}

// tickFleet does what is due towards the cloud.
func (l *leader) tickFleet() {
	l.checkFleetSize()
	l.returnBatch()
	l.list()
	for _, r := range l.fleet.rents {
		if !r.busy && l.c.now >= r.retry {
			l.rent(r)
		}
	}
	l.sendRents()
	for _, m := range l.byName {
		l.releaseFromGuests(m)
		l.drainLeaving(m)
		l.returnIdle(m)
	}
}

// Boot times are usually 0.6 to 1.5 times the type's. A machine that takes
// longer may take several times as long: it is no longer counted on, so that
// another is rented in time, and later it is given up.
const (
	bootSlow = 1.5
	bootLate = boots.Late
	bootGone = 4
)

// bootKind names the machines that a machine is alike with in how it boots.
func (m *machine) bootKind() boots.Kind { return boots.Kind{Type: m.typ, Zone: m.zone} }

// noteUp takes in that a machine that this leader rented has come up.
func (l *leader) noteUp(m *machine) {
	t := l.typeOf(m)
	if t == nil || m.rentedAt == 0 {
		return
	}
	l.boots.Up(m.bootKind(), l.c.now, l.c.now-m.rentedAt, config.Seconds(t.BootS))
}

// bootOverdue tells how many times its type's boot time a machine has taken.
func (l *leader) bootOverdue(m *machine) float64 {
	t := l.c.types[m.typ]
	if t == nil || t.BootS <= 0 || m.heard != 0 {
		return 0
	}
	return (l.c.now - m.createdAt).Seconds() / t.BootS
}
