package placement

import "testing"

// TestCompare checks each field of Urgency in turn: it decides although later fields would give the
// opposite order.
func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before Urgency
		after  Urgency
	}{
		{"a healthy job before a faulty one", Urgency{}, Urgency{Faulty: true, WithinQuota: true, Priority: 3}},
		{"within quota", Urgency{WithinQuota: true}, Urgency{Priority: 3}},
		{"the higher priority", Urgency{Priority: 2, BestEffort: true}, Urgency{Priority: 1}},
		{"a team with a guarantee before a best-effort one", Urgency{Slack: 9}, Urgency{BestEffort: true, Slack: 1}},
		{"the least slack", Urgency{Slack: 1, RemainingWork: 9}, Urgency{Slack: 2}},
		{"the least work", Urgency{RemainingWork: 1, Submission: 9}, Urgency{RemainingWork: 2, Submission: 1}},
		{"the earlier submission", Urgency{Submission: 1}, Urgency{Submission: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.before.Compare(tc.after) >= 0 || tc.after.Compare(tc.before) <= 0 {
				t.Error("Compare does not order the job before the other one in both directions")
			}
		})
	}
}
