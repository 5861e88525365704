// Package quota has the limits of teams hold over any number of regions, whatever fails.
//
// Each region owns a part of every team's ceiling and grants within what it owns. Shares move
// between regions by transfers that are subtracted at their source before they are sent and
// added once at their destination (package ledger); who asks and who gives is decided by
// demand (package balance). A leader that has loaded a ledger grants beyond the guaranteed
// part only once every other region has confirmed that the ledger is not an older copy.
//
// The package is a state machine: messages, ticks and answers in; messages and transactions
// out. It keeps no clock, socket or goroutine. docs/design-quota.md weighs the ways.
package quota

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// Store is the region's state service. Its answers come later, and not after the leader's
// term.
type Store interface {
	// Load reads all records below a prefix, again and again until it is answered.
	Load(prefix string, done func([]wire.Item))
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
}

// Host is the leader around a manager.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// NewIncarnation is a number that no other run of any leader has, and is not 0.
	NewIncarnation() uint64
	// Term is the condition under which this leader writes.
	Term() wire.Condition
	// Send sends a message to any controller of a region. It may be lost.
	Send(region string, m *wire.RegionMessage)
	// Demand is what the region does with a team's share at this moment. Planned has all
	// that tasks use which are not certainly gone, and all that is reserved.
	Demand(team string) balance.Demand
	// SharesChanged tells that a limit has changed.
	SharesChanged()
	// TermChanged tells that another leader has begun a term.
	TermChanged()
}

// Config says what a manager is for.
type Config struct {
	Region string // its own
	Plan   *plan.Plan
	// MessageInterval is the time between two complete messages to a region; the other times are
	// ratios to it.
	MessageInterval time.Duration
	// MaxWrites and MaxValueBytes are what the state service takes: writes in a transaction,
	// bytes of a value.
	MaxWrites, MaxValueBytes int
	Log                      *slog.Logger
}

// Ratios of a manager's times to Config.Every.
const (
	urgentDivisor      = 6 // the least time between two messages to a region
	debitDivisor       = 2 // the least time between two transfers to a region
	acknowledgeFactor  = 4 // until transfers that have arrived are forgotten, if nothing else is written
	retryDivisor       = 8 // until a transaction without an answer is sent again
	recentCreditFactor = 2 // how long shares that came are not given away
	unreachableFactor  = 4 // from when on a region that is not heard counts as out of reach
	maxBackoffFactor   = 4 // the longest time between messages to one that is out of reach
)

// Bounds of a link's record.
const (
	maxUnacknowledged = 4   // transfers to a region that are not acknowledged
	maxTransferParts  = 8   // teams in a transfer
	maxPartBytes      = 100 // bytes of a part on record, at most, without the team's name
)
