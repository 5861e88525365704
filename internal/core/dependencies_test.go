package core

import (
	"slices"
	"testing"
)

// TestDependencies walks a diamond with a tail: what awaits whom, in either
// direction, as jobs end, are dropped, and are added late.
func TestDependencies(t *testing.T) {
	d := newDependencies()
	d.add("b", []string{"a"})
	d.add("c", []string{"a"})
	d.add("d", []string{"b", "c"})
	d.add("e", []string{"d", "a"})
	same := func(what string, got []string, want ...string) {
		t.Helper()
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	same("after a", d.after("a", nil), "b", "c", "e", "d")
	same("after d", d.after("d", nil), "e")
	same("free after a", d.done("a"), "b", "c")
	if d.waits("b") || !d.waits("d") || !d.waits("e") {
		t.Error("after a: b may go on, d and e wait")
	}
	same("free after b", d.done("b"))
	same("free after c", d.done("c"), "d")
	d.add("f", []string{"d"})
	same("after d with f", d.after("d", nil), "e", "f")
	d.drop("e")
	same("after d without e", d.after("d", nil), "f")
	same("free after d", d.done("d"), "f")
	same("free after d again", d.done("d"))
	if len(d.awaited)+len(d.dependents)+len(d.level) > 0 {
		t.Errorf("left behind: %v %v %v", d.awaited, d.dependents, d.level)
	}
}

// TestLevels adds jobs in every order: the level of each is above those of all
// that it awaits.
func TestLevels(t *testing.T) {
	edges := map[string][]string{"b": {"a"}, "c": {"a"}, "d": {"b", "c"}, "e": {"d", "a"}, "f": {"e", "c"}}
	for _, order := range []string{"bcdef", "fedcb", "dfbec", "fbdce", "ecfdb"} {
		d := newDependencies()
		for _, id := range order {
			d.add(string(id), edges[string(id)])
		}
		for id, awaited := range edges {
			for _, a := range awaited {
				if d.level[id] <= d.level[a] {
					t.Errorf("added as %s: %s has level %d, %s that it awaits %d", order, id, d.level[id], a, d.level[a])
				}
			}
		}
	}
	d := newDependencies()
	d.add("a", []string{"b"})
	d.add("b", []string{"a"}) // as only a broken record can say: it has an end
}
