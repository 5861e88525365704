package quota

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
)

// pendingChange is a transaction whose outcome is not known. It is retried until the outcome is
// known; until then no other transaction is started.
type pendingChange struct {
	change  *ledger.Change
	debits  []ledger.Part // amounts that it debits from this region's shares
	retryAt time.Duration // when it is retried; 0 while a result is awaited
}

// startNextChange starts the next transaction on the ledger, unless one is pending or none is
// needed. The order of the candidates is their precedence.
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

// onCommitResult handles the result of the pending transaction.
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
		// An earlier attempt was committed, or the records differ from those that were loaded.
		m.pending = nil
		m.loadLedger()
	case kv.Rejected:
		m.reduceLimits(len(pending.change.Txn.Writes))
		m.pending = nil
		m.loadLedger()
	default: // the outcome is unknown: it may have been committed, or may still be
		pending.retryAt = m.host.Now() + m.MessageInterval/retryDivisor
	}
}

// Lower bounds of the limits that reduceLimits sets.
const (
	minWrites     = 2 // a link and a share
	minValueBytes = 2 * maxPartBytes * maxUnacknowledged
)

// reduceLimits makes later transactions smaller, since the limits of the store are lower than
// announced or have decreased.
func (m *Manager) reduceLimits(writes int) {
	m.MaxWrites = max(minWrites, writes/2)
	m.MaxValueBytes = max(minValueBytes, m.MaxValueBytes/2)
	m.Log.Info("store rejected a quota transaction; reducing the size of later ones", "max_writes", m.MaxWrites, "max_value_bytes", m.MaxValueBytes)
}

// retryPending retries a pending transaction whose outcome is unknown, once the retry is due.
func (m *Manager) retryPending() {
	if m.pending != nil && m.pending.retryAt != 0 && m.host.Now() >= m.pending.retryAt {
		m.commit()
	}
}
