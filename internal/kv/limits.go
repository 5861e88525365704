package kv

import "github.com/brookwalk/brookwalk/internal/config"

const (
	// MaxTxnBytes bounds the values of a transaction, of which the store takes 64 KiB in all.
	MaxTxnBytes = 48 << 10
	// WriteOverhead is what a write takes in addition to its value, in bytes, at most.
	WriteOverhead = 200
	// SmallValue is the size in bytes to which placement records are kept once a value was
	// rejected that the settings allow: how far the limit fell is not known.
	SmallValue = 1 << 10
	// conditionsPerWrite is how many conditions a transaction may have for each write that
	// it may have, by the store's protocol.
	conditionsPerWrite = 4
	// alwaysAccepted is a number of writes that any store takes in a transaction.
	alwaysAccepted = 2
)

// Limits are what the store takes. They begin with what the settings announce, for now and
// later, and shrink as the store rejects what they allow.
type Limits struct {
	announced   *config.StoreLimits
	fewerWrites int // writes in a transaction, if fewer than announced; 0 if not known
	smallValues bool
}

// bound returns the announced limits with what was learned since.
func (l *Limits) bound() config.StoreLimits {
	bound := l.announced.Strictest()
	if l.fewerWrites > 0 {
		bound.TxnOps = min(bound.TxnOps, l.fewerWrites)
	}
	return bound
}

// MaxWrites is how many writes a transaction may have.
func (l *Limits) MaxWrites() int { return l.bound().TxnOps }

// MaxConditions is how many conditions a transaction may have.
func (l *Limits) MaxConditions() int { return conditionsPerWrite * l.MaxWrites() }

// MaxValue is the largest value, in bytes.
func (l *Limits) MaxValue() int { return min(int(l.bound().ValueKB*1024), MaxTxnBytes) }

// MaxPlacementValue is the largest value of a placement record, in bytes.
func (l *Limits) MaxPlacementValue() int {
	if l.smallValues {
		return min(l.MaxValue(), SmallValue)
	}
	return l.MaxValue()
}

// ShrinkValues reports whether values are, or are announced to become, smaller than the settings
// allow at present.
func (l *Limits) ShrinkValues() bool { return l.AnnouncedToShrink() || l.smallValues }

// AnnouncedToShrink reports whether the settings announce smaller values for later.
func (l *Limits) AnnouncedToShrink() bool { return l.bound().ValueKB < l.announced.ValueKB }

// RejectedWrites records that a transaction with a number of writes was rejected: the store's
// limits are lower than announced. Otherwise what is too large would be sent again for
// ever and block everything behind it. It reports whether smaller transactions may do;
// they may not if the transaction had so few writes that its values must be the cause.
func (l *Limits) RejectedWrites(writes int) bool {
	if writes <= alwaysAccepted {
		return false
	}
	l.fewerWrites = max(alwaysAccepted, writes*3/4)
	return true
}

// RejectedValue records that a value was rejected though the settings allow it. What was
// concluded about the number of writes is in doubt then, and is forgotten.
func (l *Limits) RejectedValue() {
	l.smallValues = true
	l.ForgetFewerWrites()
}

// ForgetFewerWrites forgets what rejected transactions have shown of the number of writes.
func (l *Limits) ForgetFewerWrites() { l.fewerWrites = 0 }

// SmallValues reports whether a value was rejected that the settings allow.
func (l *Limits) SmallValues() bool { return l.smallValues }

// AssumeSmallValues records that an earlier leader found values to be rejected.
func (l *Limits) AssumeSmallValues() { l.smallValues = true }
