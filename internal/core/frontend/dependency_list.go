package frontend

import (
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// writeList splits the unfinished dependencies of a submission into list records and writes them.
// Once all are written, the submission continues.
func (f *FrontEnd) writeList(pending *pendingSubmission) {
	f.listAttempts++
	token := strconv.FormatUint(f.incarnation, 36) + "-" + strconv.FormatUint(f.listAttempts, 36)
	split := dependencylist.Split(pending.unfinished, f.host.WallClockMS(), f.maxNewRecordBytes())
	pending.listWriter = dependencylist.NewWriter(pending.record.Job.ID, token, split)
	f.writeListRecords(pending)
}

// writeListRecords writes the remaining list records of a submission, one transaction at a time.
func (f *FrontEnd) writeListRecords(pending *pendingSubmission) {
	if f.host.Now() >= pending.expiresAt {
		f.host.Refuse(pending.request, overloaded)
		return
	}
	writer := pending.listWriter
	txn := writer.NextTxn(f.store.MaxWrites())
	f.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			writer.MarkCommitted(txn, r.Revision)
			if !writer.Complete() {
				f.writeListRecords(pending)
				return
			}
		case kv.Unanswered, kv.Conflict:
			// The records may or may not have been written: the list is written again
			// under a new token.
			pending.listWriter = nil
		case kv.Rejected:
			f.host.RejectedWrites(len(txn.Writes))
			f.host.Refuse(pending.request, storeUnavailable)
			return
		default:
			f.host.Refuse(pending.request, storeUnavailable)
			return
		}
		f.resolveDependencies(pending)
	})
}
