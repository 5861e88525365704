// Package depgraph is the graph of unfinished jobs that wait for others. It knows no
// more than their names.
package depgraph

// Graph tells which jobs each job still awaits, and which jobs await it. Every
// operation costs in proportion to the edges it changes or returns.
type Graph struct {
	dependencies map[string]*nameSet // by dependent: what it awaits, not done yet
	dependents   map[string]*nameSet // by awaited job, as they were added
	// level is greater for a job than for any that it awaits, so that values
	// which go along the edges can be worked out once for each job.
	level map[string]int
	steps int // edges looked at so far: what the graph costs, without a clock
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{dependencies: map[string]*nameSet{}, dependents: map[string]*nameSet{}, level: map[string]int{}}
}

// Add notes that a job awaits others.
func (g *Graph) Add(id string, awaited []string) {
	if len(awaited) == 0 {
		return
	}
	if g.dependencies[id] == nil {
		g.dependencies[id] = newNameSet()
	}
	level := g.level[id]
	for _, a := range awaited {
		g.steps++
		if g.dependents[a] == nil {
			g.dependents[a] = newNameSet()
		}
		g.dependencies[id].add(a)
		g.dependents[a].add(id)
		level = max(level, g.level[a]+1)
	}
	g.raiseLevel(id, level)
}

// raiseLevel raises a job's level, and with it those of its dependents that are not
// above it. There are such ones only where a job became known after them, as
// when a leader loads its records.
func (g *Graph) raiseLevel(id string, level int) {
	g.level[id] = level
	for at := []string{id}; len(at) > 0; at = at[1:] {
		above := g.level[at[0]] + 1
		g.EachDependent(at[0], func(y string) {
			// A job that needs itself, as only a broken record can say, has no
			// level that is right.
			if g.level[y] < above && y != id {
				g.level[y] = above
				at = append(at, y)
			}
		})
	}
}

// HasDependencies tells whether a job still awaits another.
func (g *Graph) HasDependencies(id string) bool { return g.dependencies[id] != nil }

// HasDependents tells whether a job has dependents.
func (g *Graph) HasDependents(id string) bool { return g.dependents[id] != nil }

// EachDependent calls a function for the jobs that await a job, in the order in
// which they were added, until it returns.
func (g *Graph) EachDependent(id string, f func(y string)) {
	g.AnyDependent(id, func(y string) bool {
		f(y)
		return false
	})
}

// EachDependency calls a function for what a job still awaits.
func (g *Graph) EachDependency(id string, f func(a string)) {
	g.AnyDependency(id, func(a string) bool {
		f(a)
		return false
	})
}

// AnyDependency tells whether a function is true for a job that a job still awaits.
// It looks no further than the first.
func (g *Graph) AnyDependency(id string, f func(a string) bool) bool {
	return g.any(g.dependencies[id], f)
}

// AnyDependent tells whether a function is true for a job that awaits a job. It
// looks no further than the first.
func (g *Graph) AnyDependent(id string, f func(y string) bool) bool {
	return g.any(g.dependents[id], f)
}

// any tells whether a function is true for a name of a set, which may be nil.
func (g *Graph) any(s *nameSet, f func(name string) bool) bool {
	if s == nil {
		return false
	}
	for _, name := range s.names {
		if name == "" {
			continue
		}
		g.steps++
		if f(name) {
			return true
		}
	}
	return false
}

// Done takes a job that is done out, and returns the dependents that await
// nothing any more.
func (g *Graph) Done(id string) []string {
	var free []string
	g.EachDependent(id, func(y string) {
		if g.dependencies[y].remove(id) == 0 {
			delete(g.dependencies, y)
			g.dropUnusedLevel(y)
			free = append(free, y)
		}
	})
	delete(g.dependents, id)
	g.dropUnusedLevel(id)
	return free
}

// DropDependencies takes a job that does not wait any more out, whatever it awaited. Its
// own dependents stay.
func (g *Graph) DropDependencies(id string) {
	g.EachDependency(id, func(a string) {
		if g.dependents[a].remove(id) == 0 {
			delete(g.dependents, a)
			g.dropUnusedLevel(a)
		}
	})
	delete(g.dependencies, id)
	g.dropUnusedLevel(id)
}

// Level is greater for a job than for any that it awaits.
func (g *Graph) Level(id string) int { return g.level[id] }

// Steps is how many edges were looked at so far: what the graph costs, without a
// clock.
func (g *Graph) Steps() int { return g.steps }

// Empty tells whether nothing is left of any job.
func (g *Graph) Empty() bool { return len(g.dependencies)+len(g.dependents)+len(g.level) == 0 }

// dropUnusedLevel forgets the level of a job without edges.
func (g *Graph) dropUnusedLevel(id string) {
	if g.dependencies[id] == nil && g.dependents[id] == nil {
		delete(g.level, id)
	}
}

// TransitiveDependents returns the jobs that need a job, directly or through others, nearest
// first and each once. Where enter is given, those for which it is false are left
// out, and what needs a job only through them.
func (g *Graph) TransitiveDependents(id string, enter func(y string) bool) []string {
	var out []string
	seen := map[string]bool{id: true}
	for at := []string{id}; len(at) > 0; at = at[1:] {
		g.EachDependent(at[0], func(y string) {
			if !seen[y] && (enter == nil || enter(y)) {
				seen[y] = true
				out = append(out, y)
				at = append(at, y)
			}
		})
	}
	return out
}
