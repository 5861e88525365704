// Package quota enforces the limits of teams over any number of regions, even when controllers,
// stores or links between regions fail.
//
// Each region owns a share of every team's limit and grants only within it. Shares move between
// regions by transfers that are debited at their source before they are sent, and credited once
// at their destination (package ledger). Which region claims shares and which one grants them is
// decided by demand (package balance). A leader that has loaded a ledger grants more than the
// guarantee only once every other region has verified that the ledger is not an older copy.
//
// The package is a state machine: its inputs are messages, ticks and results, its outputs are
// messages and transactions. It has no clock, socket or goroutine. internal/core runs a Manager in
// each leader of a fleet with several regions. A Manager writes only the ledger's records.
// docs/design-quota.md compares the alternatives.
package quota

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// Store is the region's key-value store. Calls are asynchronous: the callback of each is called
// later, and never after the end of the leader's term.
type Store interface {
	// Load reads all records under a prefix. It is retried until it succeeds.
	Load(prefix string, done func([]wire.Item))
	// Commit sends a transaction to the store.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
}

// Host is the leader that runs a manager.
type Host interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// NewIncarnation returns a number other than 0 that is unique among the incarnations of all
	// managers.
	NewIncarnation() uint64
	// Term returns the condition that makes a transaction fail once another leader has begun a
	// term.
	Term() wire.Condition
	// Send sends a message to one of a region's controllers. It may be lost.
	Send(region string, m *wire.RegionMessage)
	// Demand returns the region's present use of a team's share and the work that waits for
	// more of it. Planned includes everything that is reserved or used by tasks whose
	// termination is not confirmed.
	Demand(team string) balance.Demand
	// SharesChanged is called when shares have been credited, so that limits have increased.
	SharesChanged()
	// TermChanged is called when another leader has begun a term.
	TermChanged()
}

// Config configures a manager.
type Config struct {
	Region string // the region of this manager
	Plan   *plan.Plan
	// MessageInterval is the time between two full messages to a region. The other times are
	// ratios to it.
	MessageInterval time.Duration
	// MaxWrites and MaxValueBytes are limits of the store: writes per transaction, and bytes
	// per value.
	MaxWrites, MaxValueBytes int
	Log                      *slog.Logger
}

// Ratios of a manager's times to Config.MessageInterval.
const (
	minMessageGapDivisor = 6 // minimum time between two messages to a region
	minDebitGapDivisor   = 2 // minimum time between two transfers to a region
	acknowledgeFactor    = 4 // time without a transfer after which acknowledged transfers are dropped
	retryDivisor         = 8 // delay before a transaction without a known outcome is retried
	recentCreditFactor   = 2 // time for which credited shares are not offered to others
	unreachableFactor    = 4 // time without a response after which a region counts as unreachable
	maxBackoffFactor     = 4 // maximum time between full messages to an unreachable region
)

// Bounds on the size of a link's record.
const (
	maxUnacknowledged = 4   // transfers to a region
	maxTransferParts  = 8   // teams per transfer
	maxPartBytes      = 100 // size of an encoded part, without the team's name
)
