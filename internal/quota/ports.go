// Package quota makes the limits of teams hold over any number of regions, whatever fails.
//
// Each region owns a share of every team's limit and grants within it. Shares move between
// regions by transfers that are debited at their source before they are sent, and credited once
// at their destination (package ledger). Which region claims and which grants is decided by
// demand (package balance). A leader that has loaded a ledger grants more than the guarantee only
// once every other region has verified that the ledger is not an older copy.
//
// The package is a state machine: messages, ticks and answers in; messages and transactions out.
// It has no clock, socket or goroutine. internal/core runs a Manager in each leader of a fleet
// with several regions. It writes the ledger's records and nothing else. docs/design-quota.md
// compares the alternatives.
package quota

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// Store is the region's key-value store. Each call is answered later, by its callback, and not
// after the end of the leader's term.
type Store interface {
	// Load reads all records below a prefix. It is retried until it succeeds.
	Load(prefix string, done func([]wire.Item))
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
}

// Host is the leader around a manager.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// NewIncarnation is a number, not 0, that no other incarnation of any manager has.
	NewIncarnation() uint64
	// Term is the condition under which this leader writes.
	Term() wire.Condition
	// Send sends a message to any controller of a region. It may be lost.
	Send(region string, m *wire.RegionMessage)
	// Demand is what the region does with a team's share at present. Planned has all that is
	// used by tasks which have not certainly terminated, and all that is reserved.
	Demand(team string) balance.Demand
	// SharesChanged is called when a limit has changed.
	SharesChanged()
	// TermChanged is called when another leader has begun a term.
	TermChanged()
}

// Config configures a manager.
type Config struct {
	Region string // the manager's own
	Plan   *plan.Plan
	// MessageInterval is the time between two complete messages to a region. The other times
	// are ratios to it.
	MessageInterval time.Duration
	// MaxWrites and MaxValueBytes are limits of the store: writes in a transaction, and bytes
	// of a value.
	MaxWrites, MaxValueBytes int
	Log                      *slog.Logger
}

// Ratios of a manager's times to Config.MessageInterval.
const (
	minMessageGapDivisor = 6 // the least time between two messages to a region
	minDebitGapDivisor   = 2 // the least time between two transfers to a region
	acknowledgeFactor    = 4 // until credited transfers are dropped, if nothing else is written
	retryDivisor         = 8 // until a transaction without an answer is retried
	recentCreditFactor   = 2 // for how long credited shares are not offered
	unreachableFactor    = 4 // after this time without an answer a region counts as unreachable
	maxBackoffFactor     = 4 // the longest time between messages to an unreachable region
)

// Bounds of a link's record.
const (
	maxUnacknowledged = 4   // transfers to a region
	maxTransferParts  = 8   // teams in a transfer
	maxPartBytes      = 100 // of a part in the record, without the team's name
)
