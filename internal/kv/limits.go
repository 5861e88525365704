package kv

import "github.com/brookwalk/brookwalk/internal/config"

const (
	// MaxTxnBytes bounds the values of a transaction with their overhead. The store accepts
	// 64 KiB per transaction.
	MaxTxnBytes = 48 << 10
	// WriteOverheadBytes is the most that a write adds to the size of its value.
	WriteOverheadBytes = 200
	// SmallValueBytes bounds placement records after the store has rejected a value that
	// the settings allow: how far the store's limit was lowered is not known.
	SmallValueBytes = 1 << 10
	// conditionsPerWrite is the ratio, by the store's protocol, of the limit of conditions in a
	// transaction to the limit of writes.
	conditionsPerWrite = 4
	// alwaysAcceptedWrites is a number of writes in a transaction that every store accepts.
	alwaysAcceptedWrites = 2
)

// Limits are the store's limits as far as they are known. They start as the lower of the present
// and the next limits in the settings, and are lowered when the store rejects what they allow.
type Limits struct {
	announced           *config.StoreLimits
	derivedMaxWrites    int  // limit of writes derived from a rejected transaction; 0 for none
	largeValuesRejected bool // the store rejected a value that the settings allow
}

// effective returns the lower of the announced and the derived limits.
func (l *Limits) effective() config.StoreLimits {
	limits := l.announced.Strictest()
	if l.derivedMaxWrites > 0 {
		limits.TxnOps = min(limits.TxnOps, l.derivedMaxWrites)
	}
	return limits
}

// MaxWrites returns how many writes a transaction may have.
func (l *Limits) MaxWrites() int { return l.effective().TxnOps }

// MaxConditions returns how many conditions a transaction may have.
func (l *Limits) MaxConditions() int { return conditionsPerWrite * l.MaxWrites() }

// MaxValue returns the maximum size of a value, in bytes.
func (l *Limits) MaxValue() int { return min(int(l.effective().ValueKB*1024), MaxTxnBytes) }

// MaxPlacementValue returns the maximum size of a placement record, in bytes.
func (l *Limits) MaxPlacementValue() int {
	if l.largeValuesRejected {
		return min(l.MaxValue(), SmallValueBytes)
	}
	return l.MaxValue()
}

// ValueLimitReduced reports whether values must be smaller than the settings allow at present,
// because the settings announce a lower limit or the store has rejected a value.
func (l *Limits) ValueLimitReduced() bool {
	return l.ValueLimitReductionAnnounced() || l.largeValuesRejected
}

// ValueLimitReductionAnnounced reports whether the settings announce a lower limit for values.
func (l *Limits) ValueLimitReductionAnnounced() bool {
	return l.effective().ValueKB < l.announced.ValueKB
}

// LowerMaxWrites lowers MaxWrites after the store has rejected a transaction with that many
// writes, since its limits are lower than announced. Otherwise a transaction that is too large
// would be retried indefinitely and block those behind it. It reports whether smaller transactions
// may be accepted. They are not if the transaction had so few writes that every store accepts
// them: then its values must be the cause.
func (l *Limits) LowerMaxWrites(writes int) bool {
	if writes <= alwaysAcceptedWrites {
		return false
	}
	l.derivedMaxWrites = max(alwaysAcceptedWrites, writes*3/4)
	return true
}

// LowerMaxPlacementValue lowers MaxPlacementValue after the store has rejected a value that the
// settings allow. Earlier rejections may have had the same cause, so a limit of writes that was
// derived from them is dropped.
func (l *Limits) LowerMaxPlacementValue() {
	l.largeValuesRejected = true
	l.ResetMaxWrites()
}

// ResetMaxWrites drops the limit of writes that was derived from rejected transactions.
func (l *Limits) ResetMaxWrites() { l.derivedMaxWrites = 0 }

// LargeValuesRejected reports whether the store has rejected a value that the settings allow.
func (l *Limits) LargeValuesRejected() bool { return l.largeValuesRejected }

// AssumeLargeValuesRejected lowers MaxPlacementValue because the store rejected a value of an
// earlier leader.
func (l *Limits) AssumeLargeValuesRejected() { l.largeValuesRejected = true }
