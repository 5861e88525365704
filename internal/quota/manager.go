package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Manager is the quota state machine of a region's leader, for one term.
type Manager struct {
	Config
	store Store
	host  Host

	regionIndex     int // position in the regions file
	planFingerprint uint64
	remotes         []*remoteRegion // in the file's order, without lost ones

	incarnation      uint64                    // identifies this loading of the ledger
	sequence         uint64                    // of the last message sent in this incarnation
	ledger           *ledger.Ledger            // nil until it is loaded
	fenceReason      string                    // of a fence that this manager has found necessary; empty for none
	pending          *pendingChange            // nil if no transaction is pending
	recentCredits    map[string][]recentCredit // by team, oldest first
	loggedRejections map[rejection]bool
}

// remoteRegion is the state that is kept for another region.
type remoteRegion struct {
	name  string
	index int // position in the regions file

	// Which of its messages are accepted, see Receive.
	echoIncarnation, echoSequence uint64        // of its message that the next message to it echoes
	candidateIncarnation          uint64        // has echoed this incarnation, is not confirmed yet; 0 for none
	confirmedIncarnation          uint64        // whose transfers and claims are accepted; 0 for none
	confirmedAtSequence           uint64        // of the last message sent before the confirmation
	newestSequence                uint64        // of its newest message in the confirmed incarnation
	lastResponse                  time.Duration // when a message last echoed this incarnation; 0 for never

	// What it has reported about this region's ledger.
	hasConfirmed bool   // it confirmed its term after it received this incarnation: its reports are current
	hasVerified  bool   // the ledger that this incarnation loaded agrees with its reports
	knownEpoch   uint64 // of the ledger that it has recorded for this region; 0 for none

	// What it last reported about itself.
	planFingerprint     uint64
	epoch               uint64                      // of its ledger
	lastCredited        uint64                      // the last transfer that it has reported as credited
	offers              map[string]wire.RegionOffer // by team
	hasOffers           bool
	claims              []wire.RegionClaim
	lastCreditedAtClaim uint64 // the last transfer that it had credited when it claimed
	transfers           []wire.RegionTransfer
	replacementLogged   bool // the replacement of its ledger has been logged

	// When messages and transfers are due.
	lastDebit           time.Duration // 0 for none in this incarnation
	lastLinkWrite       time.Duration
	lastSent            time.Duration
	nextFullMessage     time.Duration // when the next full message is due
	fullMessageInterval time.Duration // time between full messages
	urgent              bool          // a message is due as soon as the rate limit permits
}

// recentCredit is an amount that was credited recently.
type recentCredit struct {
	amount    amount.Amount
	keptUntil time.Duration
}

// New creates a manager and starts to load the ledger.
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

// loadLedger loads the ledger and starts a new incarnation, which the other regions have to verify
// again.
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

// reset discards what the region has sent to an earlier incarnation.
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

// onLedgerLoaded handles the records that were read.
func (m *Manager) onLedgerLoaded(items []wire.Item) {
	loaded, err := ledger.Load(items)
	if err != nil {
		m.Log.Error("cannot decode quota ledger; region grants nothing", "region", m.Region, "error", err)
		m.fenceReason = err.Error()
		return
	}
	m.ledger = loaded
	m.checkInvariants()
	m.logPlanDifferences()
	m.Log.Info("quota ledger loaded", "region", m.Region, "epoch", loaded.Epoch(), "teams", len(loaded.Teams()), "fence_reason", loaded.FenceReason())
	m.startNextChange()
}

// checkInvariants requests a fence if the ledger violates an invariant.
func (m *Manager) checkInvariants() {
	if err := m.ledger.CheckInvariants(); err != nil {
		m.fenceReason = err.Error()
	}
}

// logPlanDifferences logs the teams whose limit or guarantee differs between the regions file and
// the ledger. The values of the ledger are used.
func (m *Manager) logPlanDifferences() {
	for i := range m.Plan.Teams {
		team := &m.Plan.Teams[i]
		planned := team.InitialShare(m.Region)
		if share, ok := m.ledger.Share(team.Name); ok && (share.Limit != planned.Limit || share.Guarantee != planned.Guarantee) {
			m.Log.Warn("regions file differs from quota ledger, using the ledger's values", "team", team.Name,
				"file_limit", planned.Limit, "limit", share.Limit, "file_guarantee", planned.Guarantee, "guarantee", share.Guarantee)
		}
	}
}

// ledgerComplete reports whether the ledger is loaded and all its initial shares are recorded.
func (m *Manager) ledgerComplete() bool { return m.ledger != nil && m.ledger.Epoch() != 0 }

// fenced reports whether the region may grant nothing, because its ledger is malformed, violates an
// invariant or contradicts what another region has recorded about it. The reason is in fenceReason,
// or in the ledger if a fence is recorded there.
func (m *Manager) fenced() bool {
	return m.fenceReason != "" || m.ledger != nil && m.ledger.FenceReason() != ""
}

// ledgerVerified reports whether the ledger is complete, is not fenced and has been verified by
// every other region.
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

// Limit is the amount that a team's tasks may use in the region at present: the owned share minus a
// pending debit. It is at most the guarantee until the ledger is verified, and 0 if the ledger is
// incomplete or the region is fenced.
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

// pendingDebit is the amount that the pending transaction debits from a team's share.
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

// Tick retries and starts transactions and sends messages as they become due. It must be called
// several times per message interval.
func (m *Manager) Tick() {
	m.retryPending()
	m.startNextChange()
	m.sendDueMessages()
}

// remote returns the state of another region; nil if the regions file does not list it or lists it
// as lost.
func (m *Manager) remote(name string) *remoteRegion {
	for _, remote := range m.remotes {
		if remote.name == name {
			return remote
		}
	}
	return nil
}

// holding is the region's share of a team's limit and its demand. A pending debit is not part of
// the share.
func (m *Manager) holding(team string) balance.Holding {
	share, _ := m.ledger.Share(team)
	return balance.Holding{
		Owned:            share.Owned.Sub(m.pendingDebit(team)),
		Guarantee:        share.Guarantee,
		Demand:           m.host.Demand(team),
		RecentlyCredited: m.recentCredit(team),
	}
}

// recentCredit is the sum of a team's recent credits. It drops those that are no longer recent.
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

// offersOf lists, in the order of remotes, what each other region can spare of a team's limit. The
// offer of an unreachable region is 0.
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

// reachable reports whether a region has a confirmed incarnation and has responded recently.
func (m *Manager) reachable(remote *remoteRegion) bool {
	return remote.confirmedIncarnation != 0 && m.host.Now()-remote.lastResponse <= unreachableFactor*m.MessageInterval
}
