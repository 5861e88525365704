package placement

import "testing"

// TestCompare has each field decide, with all fields after it speaking for the other job.
func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before Urgency
		after  Urgency
	}{
		{"a sound job before a faulty one", Urgency{}, Urgency{Faulty: true, WithinQuota: true, Priority: 3}},
		{"within the guarantee", Urgency{WithinQuota: true}, Urgency{Priority: 3}},
		{"the higher priority", Urgency{Priority: 2, BestEffort: true}, Urgency{Priority: 1}},
		{"a team with a guarantee", Urgency{Slack: 9}, Urgency{BestEffort: true, Slack: 1}},
		{"the nearer deadline", Urgency{Slack: 1, RemainingWork: 9}, Urgency{Slack: 2}},
		{"the least work", Urgency{RemainingWork: 1, Submission: 9}, Urgency{RemainingWork: 2, Submission: 1}},
		{"the earlier submission", Urgency{Submission: 1}, Urgency{Submission: 2}},
	} {
		if tc.before.Compare(tc.after) >= 0 || tc.after.Compare(tc.before) <= 0 {
			t.Errorf("%s does not go first", tc.name)
		}
	}
}
