package frontend

import (
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/kv"
)

// writeList spreads the unfinished dependencies of a submission over list records, and continues
// with the submission once they are all written.
func (f *FrontEnd) writeList(s *pendingSubmission) {
	f.listAttempts++
	token := strconv.FormatUint(f.incarnation, 36) + "-" + strconv.FormatUint(f.listAttempts, 36)
	split := dependencylist.Split(s.unfinished, f.host.WallClockMS(), f.maxNewRecord())
	s.list = dependencylist.NewWriter(s.record.Job.ID, token, split)
	f.writeListRecords(s)
}

// writeListRecords writes the next list records of a submission.
func (f *FrontEnd) writeListRecords(s *pendingSubmission) {
	if f.host.Now() >= s.expiresAt {
		f.host.Refuse(s.request, overloaded)
		return
	}
	list := s.list
	txn := list.NextTxn(f.store.MaxWrites())
	f.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			list.Committed(txn, r.Revision)
			if !list.Complete() {
				f.writeListRecords(s)
				return
			}
		case kv.Unanswered, kv.Conflict:
			// Carried out or not: the list is written again under another token.
			s.list = nil
		case kv.Rejected:
			f.host.RejectedWrites(len(txn.Writes))
			f.host.Refuse(s.request, storeUnavailable)
			return
		default:
			f.host.Refuse(s.request, storeUnavailable)
			return
		}
		f.resolveDependencies(s)
	})
}
