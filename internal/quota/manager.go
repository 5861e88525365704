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

	regionIndex     int // position in the regions file
	planFingerprint uint64
	remotes         []*remoteRegion // in the file's order, without lost ones

	incarnation      uint64                    // of this view of the ledger: each loading begins another one
	sequence         uint64                    // of the last message of the incarnation
	ledger           *ledger.Ledger            // nil while it is loaded
	fenceReason      string                    // why the region must be fenced, before that is recorded
	pending          *pendingChange            // nil for none
	recentCredits    map[string][]recentCredit // by team, in order of time
	loggedRejections map[rejection]bool
}

// remoteRegion is what is known of another region.
type remoteRegion struct {
	name  string
	index int // position in the regions file

	// Which messages are accepted, see Receive.
	echoIncarnation, echoSequence uint64        // of the message to be echoed
	candidateIncarnation          uint64        // has answered this incarnation and is not confirmed yet; 0 for none
	confirmedIncarnation          uint64        // whose transfers and claims are accepted; 0 for none
	confirmedAtSequence           uint64        // the last message to the region before the confirmation
	newestSequence                uint64        // of the newest message of the confirmed incarnation
	lastResponse                  time.Duration // when a message last answered this incarnation; 0 for never

	// What the region knows of this region's ledger.
	hasConfirmed bool   // it has confirmed this incarnation, so that its knowledge is current
	hasVerified  bool   // it has verified this incarnation's ledger
	knownEpoch   uint64 // of the ledger that it knows

	// What the region said last of itself.
	planFingerprint     uint64
	epoch               uint64                      // of its ledger
	lastCredited        uint64                      // the last transfer that it has certainly credited
	offers              map[string]wire.RegionOffer // by team
	hasOffers           bool
	claims              []wire.RegionClaim
	lastCreditedAtClaim uint64 // the last transfer that it had credited when it claimed
	transfers           []wire.RegionTransfer
	replacementLogged   bool // it was logged that its ledger was replaced

	// When messages and transfers are due.
	lastDebit           time.Duration // 0 for none in this incarnation
	lastLinkWrite       time.Duration
	lastSent            time.Duration
	nextFullMessage     time.Duration // when the next complete message is due
	fullMessageInterval time.Duration // between complete messages
	urgent              bool          // a message is due as soon as the rate permits
}

// recentCredit is an amount that was credited recently.
type recentCredit struct {
	amount    amount.Amount
	keptUntil time.Duration
}

// New makes a manager and begins to load the ledger.
func New(config Config, store Store, host Host) *Manager {
	m := &Manager{
		Config:           config,
		store:            store,
		host:             host,
		regionIndex:      config.Plan.Index(config.Region),
		planFingerprint:  config.Plan.Fingerprint(),
		recentCredits:    map[string][]recentCredit{},
		loggedRejections: map[rejection]bool{},
	}
	for _, name := range config.Plan.OtherRegions(config.Region) {
		m.remotes = append(m.remotes, &remoteRegion{name: name, index: config.Plan.Index(name)})
	}
	m.loadLedger()
	return m
}

// load loads the ledger and begins a new incarnation. What other regions have verified before
// does not count for it.
func (m *Manager) loadLedger() {
	m.ledger = nil
	m.incarnation, m.sequence = m.host.NewIncarnation(), 0
	for _, remote := range m.remotes {
		remote.reset(m.MessageInterval)
	}
	incarnation := m.incarnation
	m.store.Load(ledger.Prefix, func(items []wire.Item) {
		if m.incarnation == incarnation {
			m.onLedgerLoaded(items)
		}
	})
}

// reset forgets what the region has said to an earlier incarnation.
func (r *remoteRegion) reset(interval time.Duration) {
	*r = remoteRegion{
		name:                r.name,
		index:               r.index,
		echoIncarnation:     r.echoIncarnation,
		echoSequence:        r.echoSequence,
		fullMessageInterval: interval,
		replacementLogged:   r.replacementLogged,
	}
}

// onLoaded uses the records that were read.
func (m *Manager) onLedgerLoaded(items []wire.Item) {
	loaded, err := ledger.Load(items)
	if err != nil {
		m.Log.Error("quota ledger malformed", "region", m.Region, "error", err)
		m.fenceReason = err.Error()
		return
	}
	m.ledger = loaded
	m.checkInvariants()
	m.logPlanDifferences()
	m.Log.Info("quota ledger loaded", "region", m.Region, "epoch", loaded.Epoch(), "teams", len(loaded.Teams()), "fence_reason", loaded.FenceReason())
	m.startNextChange()
}

// checkInvariants requests a fence if the ledger is not sound.
func (m *Manager) checkInvariants() {
	if err := m.ledger.CheckInvariants(); err != nil {
		m.fenceReason = err.Error()
	}
}

// logPlanDifferences logs teams for which file and ledger differ. The ledger is used.
func (m *Manager) logPlanDifferences() {
	for i := range m.Plan.Teams {
		team := &m.Plan.Teams[i]
		planned := team.InitialShare(m.Region)
		if share, ok := m.ledger.Share(team.Name); ok && (share.Limit != planned.Limit || share.Guarantee != planned.Guarantee) {
			m.Log.Warn("regions file differs from quota ledger, which is used", "team", team.Name,
				"file_limit", planned.Limit, "limit", share.Limit, "file_guarantee", planned.Guarantee, "guarantee", share.Guarantee)
		}
	}
}

// complete reports whether there is a complete ledger.
func (m *Manager) ledgerComplete() bool { return m.ledger != nil && m.ledger.Epoch() != 0 }

// fenced reports whether the region may grant nothing.
func (m *Manager) fenced() bool {
	return m.fenceReason != "" || m.ledger != nil && m.ledger.FenceReason() != ""
}

// verified reports whether the ledger is complete, not fenced and verified by every other region.
func (m *Manager) ledgerVerified() bool {
	if !m.ledgerComplete() || m.fenced() {
		return false
	}
	for _, remote := range m.remotes {
		if !remote.hasVerified {
			return false
		}
	}
	return true
}

// Limit is what a team's tasks may use in the region at present: what it owns without a pending
// debit; of a ledger that is not verified yet at most the guarantee; of a fenced one nothing.
func (m *Manager) Limit(team string) amount.Amount {
	if !m.ledgerComplete() || m.fenced() {
		return amount.Amount{}
	}
	share, _ := m.ledger.Share(team)
	owned := share.Owned.Sub(m.pendingDebit(team))
	if !m.ledgerVerified() {
		return owned.Min(share.Guarantee)
	}
	return owned
}

// pendingDebit is what the pending transaction debits of a team's share.
func (m *Manager) pendingDebit(team string) amount.Amount {
	var sum amount.Amount
	if m.pending == nil {
		return sum
	}
	for _, debit := range m.pending.debits {
		if debit.Team == team {
			sum = sum.Add(debit.Amount)
		}
	}
	return sum
}

// Tick does what is due. It is called several times per message interval.
func (m *Manager) Tick() {
	m.retryPending()
	m.startNextChange()
	m.sendDueMessages()
}

// remote finds another region; nil if the file has none of that name that is not lost.
func (m *Manager) remote(name string) *remoteRegion {
	for _, remote := range m.remotes {
		if remote.name == name {
			return remote
		}
	}
	return nil
}

// holding is the region's share of a team and what the region does with it.
func (m *Manager) holding(team string) balance.Holding {
	share, _ := m.ledger.Share(team)
	return balance.Holding{
		Owned:            share.Owned.Sub(m.pendingDebit(team)),
		Guarantee:        share.Guarantee,
		Demand:           m.host.Demand(team),
		RecentlyCredited: m.recentCredit(team),
	}
}

// recentCredit is what was credited of a team recently.
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

// offersOf lists what the other regions, in the order of remotes, could spare of a team.
func (m *Manager) offersOf(team string) []balance.Offer {
	offers := make([]balance.Offer, len(m.remotes))
	for i, remote := range m.remotes {
		offers[i].Region = remote.index
		if offer, ok := remote.offers[team]; ok && m.reachable(remote) {
			offers[i] = offerFromWire(offer, remote.index)
		}
	}
	return offers
}

// reachable reports whether a region has answered recently.
func (m *Manager) reachable(remote *remoteRegion) bool {
	return remote.confirmedIncarnation != 0 && m.host.Now()-remote.lastResponse <= unreachableFactor*m.MessageInterval
}
