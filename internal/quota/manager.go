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

	regionIndex     int // place in the file
	planFingerprint uint64
	remotes         []*remoteRegion // in the file's order, without lost ones

	incarnation, sequence uint64
	ledger                *ledger.Ledger // nil while it is read
	fenceReason           string         // why the region has to be fenced, which is not on record yet
	pending               *pendingChange // the transaction under way; nil for none
	recentCredits         map[string][]recentCredit
	loggedRejections      map[string]bool // senders whose messages were refused, by what was logged
}

// remoteRegion is what is known of another region.
type remoteRegion struct {
	name  string
	index int // place in the file

	echoIncarnation, echoSequence uint64        // of the message to be echoed
	candidateIncarnation          uint64        // a run of its that answers this one, not confirmed yet
	confirmedIncarnation          uint64        // the run whose transfers and claims are taken; 0 for none
	confirmedAtSequence           uint64        // the last message to it before that
	sequence                      uint64        // of the newest message of the confirmed run
	lastHeard                     time.Duration // when a message last came that answers this run; 0 never
	hasConfirmed                  bool          // what it says of this run's ledger is not overtaken
	hasVerified                   bool          // it has confirmed this run's ledger

	planFingerprint   uint64 // as it said last
	epoch             uint64
	knownEpoch        uint64
	received          uint64 // the last transfer that it has added, for certain
	offers            map[string]wire.RegionOffer
	hasOffers         bool
	claims            []wire.RegionClaim
	claimsReceived    uint64 // the last transfer that it had added when it claimed
	transfers         []wire.RegionTransfer
	replacementLogged bool // it was logged that its ledger is another one

	lastDebit     time.Duration // the last transfer to it; 0 for none in this run
	lastLinkWrite time.Duration // the last change of the link's record
	lastSent      time.Duration
	nextComplete  time.Duration // when the next complete message is due
	interval      time.Duration
	urgent        bool
}

// recentCredit is an amount that came a moment ago.
type recentCredit struct {
	amount    amount.Amount
	keptUntil time.Duration
}

// New makes a manager and begins to read the ledger.
func New(cfg Config, store Store, host Host) *Manager {
	manager := &Manager{Config: cfg, store: store, host: host, regionIndex: cfg.Plan.Index(cfg.Region), planFingerprint: cfg.Plan.Fingerprint(),
		recentCredits: map[string][]recentCredit{}, loggedRejections: map[string]bool{}}
	for _, name := range cfg.Plan.OtherRegions(cfg.Region) {
		manager.remotes = append(manager.remotes, &remoteRegion{name: name, index: cfg.Plan.Index(name)})
	}
	manager.load()
	return manager
}

// load reads the ledger. What other regions have confirmed before does not count for it.
func (m *Manager) load() {
	m.ledger = nil
	m.incarnation, m.sequence = m.host.NewIncarnation(), 0
	for _, remote := range m.remotes {
		*remote = remoteRegion{name: remote.name, index: remote.index, echoIncarnation: remote.echoIncarnation, echoSequence: remote.echoSequence, interval: m.MessageInterval, replacementLogged: remote.replacementLogged}
	}
	incarnation := m.incarnation
	m.store.Load(ledger.Prefix, func(items []wire.Item) {
		if m.incarnation == incarnation {
			m.onLoaded(items)
		}
	})
}

// onLoaded takes in the records.
func (m *Manager) onLoaded(items []wire.Item) {
	loaded, err := ledger.Load(items)
	if err != nil {
		m.Log.Error("quota ledger is not readable", "err", err)
		m.fenceReason = err.Error()
		return
	}
	m.ledger = loaded
	if err := loaded.CheckInvariants(); err != nil {
		m.fenceReason = err.Error()
	}
	m.logPlanDifferences()
	m.Log.Info("quota ledger loaded", "region", m.Region, "epoch", loaded.Epoch(), "teams", len(loaded.Teams()), "fenced", loaded.FenceReason())
	m.startNext()
}

// logPlanDifferences tells of teams of which file and ledger say something else. The ledger holds.
func (m *Manager) logPlanDifferences() {
	for i := range m.Plan.Teams {
		team := &m.Plan.Teams[i]
		part := team.InitialShare(m.Region)
		if share, ok := m.ledger.Share(team.Name); ok && (share.Limit != part.Limit || share.Guarantee != part.Guarantee) {
			m.Log.Warn("regions file contradicts the ledger, which holds", "team", team.Name,
				"file_ceiling", part.Limit, "ceiling", share.Limit, "file_guaranteed", part.Guarantee, "guaranteed", share.Guarantee)
		}
	}
}

// complete tells whether there is a whole ledger.
func (m *Manager) complete() bool { return m.ledger != nil && m.ledger.Epoch() != 0 }

// fenced tells whether the region may grant nothing.
func (m *Manager) fenced() bool {
	return m.fenceReason != "" || m.ledger != nil && m.ledger.FenceReason() != ""
}

// verified tells whether the ledger is complete, not fenced and confirmed by every other region.
func (m *Manager) verified() bool {
	if !m.complete() || m.fenced() {
		return false
	}
	for _, remote := range m.remotes {
		if !remote.hasVerified {
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
	share, _ := m.ledger.Share(team)
	owned := share.Owned.Sub(m.pendingDebit(team))
	if !m.verified() {
		return owned.Min(share.Guarantee)
	}
	return owned
}

// pendingDebit is what a transaction under way takes from a team's share.
func (m *Manager) pendingDebit(team string) amount.Amount {
	var sum amount.Amount
	if m.pending != nil {
		for _, debit := range m.pending.debits {
			if debit.Team == team {
				sum = sum.Add(debit.Amount)
			}
		}
	}
	return sum
}

// Tick tells the manager that time has passed.
func (m *Manager) Tick() {
	m.retryPending()
	m.startNext()
	m.sendDue()
}

// remote finds another region; nil if the file has none of that name.
func (m *Manager) remote(name string) *remoteRegion {
	for _, remote := range m.remotes {
		if remote.name == name {
			return remote
		}
	}
	return nil
}

// holding is the region's share of a team and what it does with it.
func (m *Manager) holding(team string) balance.Holding {
	s, _ := m.ledger.Share(team)
	return balance.Holding{Owned: s.Owned.Sub(m.pendingDebit(team)), Guarantee: s.Guarantee, Demand: m.host.Demand(team), RecentlyCredited: m.recentCredit(team)}
}

// recentCredit is what came of a team's shares a moment ago.
func (m *Manager) recentCredit(team string) amount.Amount {
	var sum amount.Amount
	credits := m.recentCredits[team]
	for len(credits) > 0 && credits[0].keptUntil <= m.host.Now() {
		credits = credits[1:]
	}
	for _, credit := range credits {
		sum = sum.Add(credit.amount)
	}
	if m.recentCredits[team] = credits; len(credits) == 0 {
		delete(m.recentCredits, team)
	}
	return sum
}

// offersOf lists what other regions said that they could spare of a team.
func (m *Manager) offersOf(team string) []balance.Offer {
	offers := make([]balance.Offer, len(m.remotes))
	for i, remote := range m.remotes {
		offers[i].Region = remote.index
		offer, ok := remote.offers[team]
		if !ok || !m.reachable(remote) {
			continue
		}
		offers[i] = balance.Offer{Region: remote.index, Amount: amount.Amount{CPUs: offer.CPUs, GPUs: offer.GPUs}, Contested: offer.Contested, GangPriority: offer.GangRank}
	}
	return offers
}

// reachable tells whether a region was heard lately.
func (m *Manager) reachable(remote *remoteRegion) bool {
	return remote.confirmedIncarnation != 0 && m.host.Now()-remote.lastHeard <= unreachableFactor*m.MessageInterval
}
