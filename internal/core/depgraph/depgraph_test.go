package depgraph

import (
	"slices"
	"testing"
)

// diamondWithTail is a graph in which b and c depend on a, d on b and c, and e on d and a.
func diamondWithTail() *Graph {
	graph := New()
	graph.Add("b", []string{"a"})
	graph.Add("c", []string{"a"})
	graph.Add("d", []string{"b", "c"})
	graph.Add("e", []string{"d", "a"})
	return graph
}

func checkJobs(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// TestGraph checks dependents and dependencies while jobs end, drop their dependencies, and are
// added to a graph from which jobs have been removed.
func TestGraph(t *testing.T) {
	graph := diamondWithTail()
	checkJobs(t, "dependents of a", graph.TransitiveDependents("a", nil), "b", "c", "e", "d")
	checkJobs(t, "dependents of d", graph.TransitiveDependents("d", nil), "e")
	checkJobs(t, "ready after a", graph.MarkDone("a"), "b", "c")
	if graph.HasDependencies("b") || !graph.HasDependencies("d") || !graph.HasDependencies("e") {
		t.Error("HasDependencies after a is done: want false for b, true for d and e")
	}
	checkJobs(t, "ready after b", graph.MarkDone("b"))
	checkJobs(t, "ready after c", graph.MarkDone("c"), "d")
	graph.Add("f", []string{"d"})
	checkJobs(t, "dependents of d with f", graph.TransitiveDependents("d", nil), "e", "f")
	graph.DropDependencies("e")
	checkJobs(t, "dependents of d without e", graph.TransitiveDependents("d", nil), "f")
	checkJobs(t, "ready after d", graph.MarkDone("d"), "f")
	checkJobs(t, "ready after d again", graph.MarkDone("d"))
	if !graph.Empty() {
		t.Errorf("graph has dependencies %v, dependents %v, levels %v; want it empty", graph.dependencies, graph.dependents, graph.levels)
	}
}

// TestTransitiveDependentsInclude excludes a job. Jobs that depend on the given one only through
// the excluded job must be left out as well.
func TestTransitiveDependentsInclude(t *testing.T) {
	graph := diamondWithTail()
	graph.Add("f", []string{"c"})
	withoutC := func(dependent string) bool { return dependent != "c" }
	checkJobs(t, "dependents of a without c", graph.TransitiveDependents("a", withoutC), "b", "e", "d")
}

// TestLevels adds jobs in different orders, before and after their dependencies. Each job's level
// must be above the levels of its dependencies.
func TestLevels(t *testing.T) {
	dependenciesByJob := map[string][]string{"b": {"a"}, "c": {"a"}, "d": {"b", "c"}, "e": {"d", "a"}, "f": {"e", "c"}}
	for _, order := range []string{"bcdef", "fedcb", "dfbec", "fbdce", "ecfdb"} {
		t.Run(order, func(t *testing.T) {
			graph := New()
			for _, letter := range order {
				graph.Add(string(letter), dependenciesByJob[string(letter)])
			}
			for job, dependencies := range dependenciesByJob {
				for _, dependency := range dependencies {
					if graph.Level(job) <= graph.Level(dependency) {
						t.Errorf("level of %s: got %d, want more than that of its dependency %s, %d", job, graph.Level(job), dependency, graph.Level(dependency))
					}
				}
			}
		})
	}
}

// TestCycle checks that Add terminates for a cycle of two jobs. Only corrupt records can contain a
// cycle.
func TestCycle(*testing.T) {
	graph := New()
	graph.Add("a", []string{"b"})
	graph.Add("b", []string{"a"})
}

// TestNameSetKeepsOrder removes most names while a loop visits them. The loop visits all names, and
// the remaining ones stay in order.
func TestNameSetKeepsOrder(t *testing.T) {
	set := newNameSet()
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, name := range all {
		set.add(name)
	}
	var visited []string
	for _, name := range set.names {
		visited = append(visited, name)
		if name != "c" && name != "i" {
			set.remove(name)
		}
	}
	checkJobs(t, "visited", visited, all...)
	left := slices.DeleteFunc(slices.Clone(set.names), func(name string) bool { return name == tombstone })
	checkJobs(t, "left", left, "c", "i")
	if n := set.remove("c"); n != 1 {
		t.Errorf("names left after the removal of c: got %d, want 1", n)
	}
}

// TestWorklist checks the order of jobs: the highest level first, and in order of addition within a
// level. A job that is added twice is returned once.
func TestWorklist(t *testing.T) {
	var list Worklist
	for _, item := range []workItem{{id: "a", level: 0}, {id: "b", level: 2}, {id: "c", level: 1}, {id: "d", level: 2}, {id: "b", level: 2}} {
		list.Add(item.id, item.level)
	}
	var visited []string
	for id, ok := list.Next(); ok; id, ok = list.Next() {
		visited = append(visited, id)
	}
	checkJobs(t, "visited", visited, "b", "d", "c", "a")
}
