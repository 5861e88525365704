package sim

import (
	"encoding/json"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

const (
	// maxTxnBytes is the maximum size of a transaction request.
	maxTxnBytes = 64 << 10
	// conditionsPerWrite is how many conditions a transaction may have for each write that the
	// limits allow.
	conditionsPerWrite = 4
)

// Bounds of the delay of a transaction that is committed late and without an answer.
const (
	minCommitDelay   = 2 * time.Second
	commitDelayRange = 10 * time.Second
)

// txnError is the body of an answer to an invalid transaction.
type txnError struct {
	Error string `json:"error"`
}

// handleTxn handles a transaction: it commits or rejects the transaction, or commits it later
// without an answer.
func (s *keyValueStore) handleTxn(body []byte, send responder) {
	var txn wire.Txn
	if json.Unmarshal(body, &txn) != nil {
		send(httpstatus.BadRequest, emptyBody)
		return
	}
	if len(body) > maxTxnBytes {
		s.world.checker.addViolation("limits", "a transaction request of %d bytes", len(body))
	}
	s.checkLimits(&txn)
	if s.exceedsReducedLimits(&txn) {
		s.rejected++
		send(httpstatus.BadRequest, txnError{"too large"})
		return
	}
	if _, ok := s.writeBudget.ReserveAt(s.world.wallClock(), float64(len(txn.Writes)), 0); !ok {
		s.throttled++
		send(httpstatus.TooManyRequests, emptyBody)
		return
	}
	if s.delayedCommits.occurs(s.world) {
		s.world.after(minCommitDelay+s.world.randomDuration(commitDelayRange), func() { s.commitDelayed(&txn) })
		return
	}
	s.commit(&txn, send)
}

// checkLimits checks that a transaction is within the limits in the settings, and within the
// announced limit on operations if it is lower.
func (s *keyValueStore) checkLimits(txn *wire.Txn) {
	limits := s.world.settings.Deployment.Store
	ops := limits.TxnOps
	if limits.Next != nil {
		ops = min(ops, limits.Next.TxnOps)
	}
	if len(txn.Writes) > ops || len(txn.Conditions) > conditionsPerWrite*ops {
		s.world.checker.addViolation("limits", "a transaction with %d writes and %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	for _, write := range txn.Writes {
		if isTooLarge(write, limits) {
			s.world.checker.addViolation("limits", "a write of a value of %d bytes", len(write.Value))
		}
	}
}

func isTooLarge(write wire.Write, limits config.StoreLimits) bool {
	return float64(len(write.Value)) > limits.ValueKB*1024
}

// reduceLimits makes the store reject transactions that exceed new limits. Stored values remain.
func (s *keyValueStore) reduceLimits(to config.StoreLimits) {
	s.reducedLimits = &to
	s.writeBudget = budget.New(to.WriteRPS, to.WriteRPS)
}

// exceedsReducedLimits reports whether a transaction exceeds the reduced limits.
func (s *keyValueStore) exceedsReducedLimits(txn *wire.Txn) bool {
	limits := s.reducedLimits
	if limits == nil {
		return false
	}
	for _, write := range txn.Writes {
		if isTooLarge(write, *limits) {
			return true
		}
	}
	return len(txn.Writes) > limits.TxnOps || len(txn.Conditions) > conditionsPerWrite*limits.TxnOps
}

// commitDelayed commits a transaction late, when the client has stopped waiting for the answer
// and newer transactions may have been committed. During an outage it waits until the end.
func (s *keyValueStore) commitDelayed(txn *wire.Txn) {
	if s.world.now < s.outageUntil {
		s.world.after(s.outageUntil-s.world.now+time.Millisecond, func() { s.commitDelayed(txn) })
		return
	}
	if !s.exceedsReducedLimits(txn) {
		s.commit(txn, func(int, any) {})
	}
}

// commit applies a transaction if its conditions hold.
func (s *keyValueStore) commit(txn *wire.Txn, send responder) {
	for _, write := range txn.Writes {
		if _, exists := s.leaseEnds[write.Lease]; write.Lease != 0 && !exists {
			send(httpstatus.BadRequest, txnError{"no such lease"})
			return
		}
	}
	if conflicts := s.conflicts(txn); conflicts != nil {
		send(httpstatus.Conflict, wire.TxnResult{Conflicts: conflicts, Revision: s.revision})
		return
	}
	if len(txn.Writes) > 0 {
		s.revision++
		s.changeCount += len(txn.Writes)
		for _, write := range txn.Writes {
			s.apply(write)
		}
		s.notifyWatchers()
	}
	send(httpstatus.OK, wire.TxnResult{Revision: s.revision})
}

// conflicts returns the keys whose version differs from the one in the transaction's condition.
func (s *keyValueStore) conflicts(txn *wire.Txn) []string {
	var conflicts []string
	for _, condition := range txn.Conditions {
		version := uint64(0)
		if entry := s.keys[condition.Key]; entry != nil {
			version = entry.version
		}
		if version != condition.Version {
			conflicts = append(conflicts, condition.Key)
		}
	}
	return conflicts
}

// apply applies a write at the current revision.
func (s *keyValueStore) apply(write wire.Write) {
	switch {
	case write.Delete == "":
		s.keys[write.Put] = &storeEntry{write.Value, s.revision, write.Lease}
		s.changeLog = append(s.changeLog, change{wire.Event{Put: write.Put, Value: write.Value, Version: s.revision}, write.Put, s.revision})
	case s.keys[write.Delete] != nil:
		s.delete(write.Delete)
	}
}

// delete deletes a key at the current revision.
func (s *keyValueStore) delete(key string) {
	delete(s.keys, key)
	s.changeLog = append(s.changeLog, change{wire.Event{Delete: key, Version: s.revision}, key, s.revision})
}
