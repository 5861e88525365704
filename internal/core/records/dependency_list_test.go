package records

import "testing"

// TestDependencyListRef checks that only the string form of a reference parses as one, and that it
// parses to the same reference.
func TestDependencyListRef(t *testing.T) {
	ref := DependencyListRef{Prefix: "a/job-7/x-1/", Records: 12}
	for _, tc := range []struct {
		name         string
		dependencies []string
		want         DependencyListRef
		ok           bool
	}{
		{"a reference", []string{ref.String()}, ref, true},
		{"none", nil, DependencyListRef{}, false},
		{"a name", []string{"job-7"}, DependencyListRef{}, false},
		{"a reference among others", []string{ref.String(), "job-7"}, DependencyListRef{}, false},
		{"no record", []string{"a/job-7/x-1/0"}, DependencyListRef{}, false},
		{"no number", []string{"a/job-7/x-1/"}, DependencyListRef{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, ok := ParseDependencyListRef(tc.dependencies); got != tc.want || ok != tc.ok {
				t.Errorf("reference %+v, valid %v; want %+v, %v", got, ok, tc.want, tc.ok)
			}
		})
	}
	if keys := ref.Keys(); len(keys) != 12 || keys[0] != "a/job-7/x-1/0" || keys[11] != "a/job-7/x-1/11" {
		t.Errorf("keys %q, want a/job-7/x-1/0 to a/job-7/x-1/11", keys)
	}
}
