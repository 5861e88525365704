package placement

import "testing"

// TestCompare has each field decide, with all fields after it speaking for the other job.
func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before Urgency
		after  Urgency
	}{
		{"a sound job before a faulty one", Urgency{}, Urgency{Faulty: true, Guaranteed: true, Rank: 3}},
		{"within the guarantee", Urgency{Guaranteed: true}, Urgency{Rank: 3}},
		{"the higher priority", Urgency{Rank: 2, Guest: true}, Urgency{Rank: 1}},
		{"a team with a guarantee", Urgency{Slack: 9}, Urgency{Guest: true, Slack: 1}},
		{"the nearer deadline", Urgency{Slack: 1, Work: 9}, Urgency{Slack: 2}},
		{"the least work", Urgency{Work: 1, Submitted: 9}, Urgency{Work: 2, Submitted: 1}},
		{"the earlier submission", Urgency{Submitted: 1}, Urgency{Submitted: 2}},
	} {
		if tc.before.Compare(tc.after) >= 0 || tc.after.Compare(tc.before) <= 0 {
			t.Errorf("%s does not go first", tc.name)
		}
	}
}
