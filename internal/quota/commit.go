package quota

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
)

// pendingChange is the one transaction that is in flight. Until its outcome is known it is
// retried, and no other one is begun.
type pendingChange struct {
	change  *ledger.Change
	debits  []ledger.Part // what it debits of this region's shares
	retryAt time.Duration // 0 while an answer is awaited
}

// startNext begins the next transaction on the ledger, if there is one to begin.
func (m *Manager) startNextChange() {
	if m.ledger == nil || m.pending != nil {
		return
	}
	changes := []func() *pendingChange{
		m.confirmIncarnation,
		m.recordFence,
		m.createShares,
		m.handshake,
		m.credit,
		m.debit,
		m.acknowledge,
	}
	for _, next := range changes {
		if change := next(); change != nil {
			m.pending = change
			m.commit()
			return
		}
	}
}

// commit sends the pending transaction.
func (m *Manager) commit() {
	pending := m.pending
	pending.retryAt = 0
	m.store.Commit(pending.change.Txn, func(result kv.TxnResult) {
		if m.pending == pending {
			m.onCommitResult(pending, result)
		}
	})
}

// onResult handles the result of the pending transaction.
func (m *Manager) onCommitResult(pending *pendingChange, result kv.TxnResult) {
	switch result.Status {
	case kv.OK:
		m.pending = nil
		pending.change.OnCommitted(result.Revision)
		m.checkInvariants()
		m.startNextChange()
		m.sendDueMessages()
	case kv.Conflict:
		if slices.Contains(result.Conflicts, m.host.Term().Key) {
			m.host.TermChanged()
			return
		}
		// An earlier try was carried out, or the records are not those that were loaded.
		m.pending = nil
		m.loadLedger()
	case kv.Rejected:
		m.reduceLimits(len(pending.change.Txn.Writes))
		m.pending = nil
		m.loadLedger()
	default: // it may have been carried out, or may be later
		pending.retryAt = m.host.Now() + m.MessageInterval/retryDivisor
	}
}

// Bounds below which transactions are not made smaller.
const (
	minWrites     = 2 // a link and a share
	minValueBytes = 2 * maxPartBytes * maxUnacknowledged
)

// reduceLimits makes later transactions smaller: the limits of the store are lower than announced,
// or have fallen.
func (m *Manager) reduceLimits(writes int) {
	m.MaxWrites = max(minWrites, writes/2)
	m.MaxValueBytes = max(minValueBytes, m.MaxValueBytes/2)
	m.Log.Info("quota transaction rejected, its limits are reduced", "max_writes", m.MaxWrites, "max_value_bytes", m.MaxValueBytes)
}

// retryPending retries the pending transaction, some time after it got no answer.
func (m *Manager) retryPending() {
	if m.pending != nil && m.pending.retryAt != 0 && m.host.Now() >= m.pending.retryAt {
		m.commit()
	}
}
