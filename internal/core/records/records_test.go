package records

import "testing"

func TestParsePlacementKey(t *testing.T) {
	for _, tc := range []struct {
		key  string
		want PlacementRange
		ok   bool
	}{
		{NumberedKey("job-000001", 2), PlacementRange{"job-000001", 20, 30, true}, true},
		{RangeKey("job-000001", 5, 9), PlacementRange{"job-000001", 5, 9, false}, true},
		{"p/job-000001", PlacementRange{}, false},
		{"p/job-000001/x", PlacementRange{}, false},
		{"p/job-000001/-1", PlacementRange{}, false},
		{"p/job-000001/9-5", PlacementRange{}, false},
		{"p/job-000001/5-x", PlacementRange{}, false},
	} {
		t.Run(tc.key, func(t *testing.T) {
			got, ok := ParsePlacementKey(tc.key, 10)
			if ok != tc.ok || ok && got != tc.want {
				t.Errorf("range %+v, valid %v; want %+v, %v", got, ok, tc.want, tc.ok)
			}
		})
	}
}

func TestJobIDs(t *testing.T) {
	got := JobIDs([]string{OpenKey("a"), FinalKey("b"), OpenKey("a")})
	if len(got) != 2 || !got["a"] || !got["b"] {
		t.Errorf("job IDs %v, want a and b", got)
	}
}
