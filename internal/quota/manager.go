package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Manager is the state machine of a region's leader for one term.
type Manager struct {
	Config
	store Store
	host  Host

	self  int // place in the file
	plan  uint64
	peers []*peer // in the file's order, without lost ones

	run, sequence uint64
	ledger        *ledger.Ledger // nil while it is read
	fence         string         // why the region has to be fenced, which is not on record yet
	running       *running       // the transaction under way; nil for none
	fresh         map[string][]freshShare
	refused       map[string]bool // senders whose messages were refused, by what was logged
}

// peer is what is known of another region.
type peer struct {
	name  string
	index int // place in the file

	echoRun, echoSequence uint64        // of the message to be echoed
	candidate             uint64        // a run of its that answers this one, not confirmed yet
	confirmed             uint64        // the run whose transfers and claims are taken; 0 for none
	confirmedAt           uint64        // the last message to it before that
	sequence              uint64        // of the newest message of the confirmed run
	heard                 time.Duration // when a message last came that answers this run; 0 never
	vouched               bool          // what it says of this run's ledger is not overtaken
	attested              bool          // it has confirmed this run's ledger

	plan       uint64 // as it said last
	epoch      uint64
	knownEpoch uint64
	received   uint64 // the last transfer that it has added, for certain
	offers     map[string]wire.RegionOffer
	hasOffers  bool
	claims     []wire.RegionClaim
	claimsAt   uint64 // the last transfer that it had added when it claimed
	transfers  []wire.RegionTransfer
	replaced   bool // it was logged that its ledger is another one

	gaveAt   time.Duration // the last transfer to it; 0 for none in this run
	wroteAt  time.Duration // the last change of the link's record
	sentAt   time.Duration
	fullAt   time.Duration // when the next complete message is due
	interval time.Duration
	urgent   bool
}

// freshShare is an amount that came a moment ago.
type freshShare struct {
	amount amount.Amount
	until  time.Duration
}

// New makes a manager and begins to read the ledger.
func New(cfg Config, store Store, host Host) *Manager {
	m := &Manager{Config: cfg, store: store, host: host, self: cfg.Plan.Index(cfg.Region), plan: cfg.Plan.Fingerprint(),
		fresh: map[string][]freshShare{}, refused: map[string]bool{}}
	for _, name := range cfg.Plan.Peers(cfg.Region) {
		m.peers = append(m.peers, &peer{name: name, index: cfg.Plan.Index(name)})
	}
	m.load()
	return m
}

// load reads the ledger. What other regions have confirmed before does not count for it.
func (m *Manager) load() {
	m.ledger = nil
	m.run, m.sequence = m.host.NewRun(), 0
	for _, p := range m.peers {
		*p = peer{name: p.name, index: p.index, echoRun: p.echoRun, echoSequence: p.echoSequence, interval: m.Every, replaced: p.replaced}
	}
	run := m.run
	m.store.Load(ledger.Prefix, func(items []wire.Item) {
		if m.run == run {
			m.loaded(items)
		}
	})
}

// loaded takes in the records.
func (m *Manager) loaded(items []wire.Item) {
	l, err := ledger.Load(items)
	if err != nil {
		m.Log.Error("quota ledger is not readable", "err", err)
		m.fence = err.Error()
		return
	}
	m.ledger = l
	if err := l.Invariant(); err != nil {
		m.fence = err.Error()
	}
	m.compareFile()
	m.Log.Info("quota ledger loaded", "region", m.Region, "epoch", l.Epoch(), "teams", len(l.Teams()), "fenced", l.Fenced())
	m.advance()
}

// compareFile tells of teams of which file and ledger say something else. The ledger holds.
func (m *Manager) compareFile() {
	for i := range m.Plan.Teams {
		t := &m.Plan.Teams[i]
		part := t.Part(m.Region)
		if s, ok := m.ledger.Share(t.Name); ok && (s.Ceiling != part.Ceiling || s.Floor != part.Floor) {
			m.Log.Warn("regions file contradicts the ledger, which holds", "team", t.Name,
				"file_ceiling", part.Ceiling, "ceiling", s.Ceiling, "file_guaranteed", part.Floor, "guaranteed", s.Floor)
		}
	}
}

// complete tells whether there is a whole ledger.
func (m *Manager) complete() bool { return m.ledger != nil && m.ledger.Epoch() != 0 }

// fenced tells whether the region may grant nothing.
func (m *Manager) fenced() bool { return m.fence != "" || m.ledger != nil && m.ledger.Fenced() != "" }

// trusted tells whether the ledger is complete, not fenced and confirmed by every other region.
func (m *Manager) trusted() bool {
	if !m.complete() || m.fenced() {
		return false
	}
	for _, p := range m.peers {
		if !p.attested {
			return false
		}
	}
	return true
}

// Limit is what a team's tasks may use in the region now: what it owns and is not giving
// away, of a ledger that is not confirmed yet the guaranteed part of it, of a fenced one
// nothing.
func (m *Manager) Limit(team string) amount.Amount {
	if !m.complete() || m.fenced() {
		return amount.Amount{}
	}
	s, _ := m.ledger.Share(team)
	owned := s.Owned.Sub(m.giving(team))
	if !m.trusted() {
		return owned.Min(s.Floor)
	}
	return owned
}

// giving is what a transaction under way takes from a team's share.
func (m *Manager) giving(team string) amount.Amount {
	var sum amount.Amount
	if m.running != nil {
		for _, p := range m.running.giving {
			if p.Team == team {
				sum = sum.Add(p.Amount)
			}
		}
	}
	return sum
}

// Tick tells the manager that time has passed.
func (m *Manager) Tick() {
	m.retry()
	m.advance()
	m.sendDue()
}

// peer finds another region; nil if the file has none of that name.
func (m *Manager) peer(name string) *peer {
	for _, p := range m.peers {
		if p.name == name {
			return p
		}
	}
	return nil
}

// holding is the region's share of a team and what it does with it.
func (m *Manager) holding(team string) balance.Holding {
	s, _ := m.ledger.Share(team)
	return balance.Holding{Owned: s.Owned.Sub(m.giving(team)), Floor: s.Floor, Demand: m.host.Demand(team), Fresh: m.freshOf(team)}
}

// freshOf is what came of a team's shares a moment ago.
func (m *Manager) freshOf(team string) amount.Amount {
	var sum amount.Amount
	list := m.fresh[team]
	for len(list) > 0 && list[0].until <= m.host.Now() {
		list = list[1:]
	}
	for _, f := range list {
		sum = sum.Add(f.amount)
	}
	if m.fresh[team] = list; len(list) == 0 {
		delete(m.fresh, team)
	}
	return sum
}

// offersOf lists what other regions said that they could spare of a team.
func (m *Manager) offersOf(team string) []balance.Offer {
	offers := make([]balance.Offer, len(m.peers))
	for i, p := range m.peers {
		offers[i].Region = p.index
		o, ok := p.offers[team]
		if !ok || !m.inReach(p) {
			continue
		}
		offers[i] = balance.Offer{Region: p.index, Amount: amount.Amount{CPUs: o.CPUs, GPUs: o.GPUs}, Contested: o.Contested, GangRank: o.GangRank}
	}
	return offers
}

// inReach tells whether a region was heard lately.
func (m *Manager) inReach(p *peer) bool {
	return p.confirmed != 0 && m.host.Now()-p.heard <= silentTimes*m.Every
}
