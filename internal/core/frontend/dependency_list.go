package frontend

import (
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// writeList spreads the unfinished dependencies of a submission over list records, and continues
// with the submission once they are all written.
func (f *FrontEnd) writeList(pending *pendingSubmission) {
	f.listAttempts++
	token := strconv.FormatUint(f.incarnation, 36) + "-" + strconv.FormatUint(f.listAttempts, 36)
	split := dependencylist.Split(pending.unfinished, f.host.WallClockMS(), f.maxNewRecord())
	pending.list = dependencylist.NewWriter(pending.record.Job.ID, token, split)
	f.writeListRecords(pending)
}

// writeListRecords writes the next list records of a submission.
func (f *FrontEnd) writeListRecords(pending *pendingSubmission) {
	if f.host.Now() >= pending.expiresAt {
		f.host.Refuse(pending.request, overloaded)
		return
	}
	list := pending.list
	txn := list.NextTxn(f.store.MaxWrites())
	f.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			list.MarkCommitted(txn, r.Revision)
			if !list.Complete() {
				f.writeListRecords(pending)
				return
			}
		case kv.Unanswered, kv.Conflict:
			// Carried out or not: the list is written again under another token.
			pending.list = nil
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
