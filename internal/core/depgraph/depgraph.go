// Package depgraph is the dependency graph (DAG) of unfinished jobs.
//
// It owns the edges between jobs and a level for each job, by which a caller visits dependents
// ahead of their dependencies. It knows jobs by their IDs only: it sees no records and no state of
// package cluster, and it has no clock and does no I/O. The leader of package core owns one graph:
// it adds a job when its open record is read, removes edges as jobs end, and passes priorities and
// deadlines on from dependents to dependencies (urgency_inheritance.go).
package depgraph

// Graph holds which jobs each job still depends on, and which jobs depend on it. Every operation
// costs in proportion to the edges that it changes or returns.
type Graph struct {
	dependencies map[string]*nameSet // by dependent: its dependencies that are not done yet
	dependents   map[string]*nameSet // by dependency, in the order in which they were added
	// levels has a greater level for a job than for any of its dependencies, so that values which
	// are passed on along the edges are computed once for each job.
	levels map[string]int
	steps  int // edges visited so far
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{dependencies: map[string]*nameSet{}, dependents: map[string]*nameSet{}, levels: map[string]int{}}
}

// Add adds dependencies of a job.
func (g *Graph) Add(id string, dependencies []string) {
	if len(dependencies) == 0 {
		return
	}
	if g.dependencies[id] == nil {
		g.dependencies[id] = newNameSet()
	}
	level := g.levels[id]
	for _, dependency := range dependencies {
		g.steps++
		if g.dependents[dependency] == nil {
			g.dependents[dependency] = newNameSet()
		}
		g.dependencies[id].add(dependency)
		g.dependents[dependency].add(id)
		level = max(level, g.levels[dependency]+1)
	}
	g.raiseLevel(id, level)
}

// raiseLevel raises a job's level, and with it the levels of its dependents that are not above it.
// There are such dependents only where a job is added after them, as when a leader loads its
// records.
func (g *Graph) raiseLevel(id string, level int) {
	g.levels[id] = level
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		above := g.levels[queue[0]] + 1
		g.EachDependent(queue[0], func(dependent string) {
			// A job that depends on itself, as only a corrupt record can make it, has no valid
			// level. It is not raised again, so that a cycle through it ends.
			if g.levels[dependent] < above && dependent != id {
				g.levels[dependent] = above
				queue = append(queue, dependent)
			}
		})
	}
}

// HasDependencies reports whether a job has dependencies that are not done.
func (g *Graph) HasDependencies(id string) bool { return g.dependencies[id] != nil }

// HasDependents reports whether a job has dependents.
func (g *Graph) HasDependents(id string) bool { return g.dependents[id] != nil }

// EachDependent calls visit for each dependent of a job, in the order in which they were added.
func (g *Graph) EachDependent(id string, visit func(dependent string)) {
	g.AnyDependent(id, func(dependent string) bool {
		visit(dependent)
		return false
	})
}

// Dependencies lists the open dependencies of a job, in the order in which they were added.
func (g *Graph) Dependencies(id string) []string {
	var dependencies []string
	g.EachDependency(id, func(dependency string) { dependencies = append(dependencies, dependency) })
	return dependencies
}

// EachDependency calls visit for each dependency of a job that is not done, in the order in which
// they were added.
func (g *Graph) EachDependency(id string, visit func(dependency string)) {
	g.AnyDependency(id, func(dependency string) bool {
		visit(dependency)
		return false
	})
}

// AnyDependency reports whether matches is true for a dependency of a job that is not done. It
// stops at the first one.
func (g *Graph) AnyDependency(id string, matches func(dependency string) bool) bool {
	return g.anyIn(g.dependencies[id], matches)
}

// AnyDependent reports whether matches is true for a dependent of a job. It stops at the first one.
func (g *Graph) AnyDependent(id string, matches func(dependent string) bool) bool {
	return g.anyIn(g.dependents[id], matches)
}

// anyIn reports whether matches is true for a name of a set, which may be nil.
func (g *Graph) anyIn(set *nameSet, matches func(name string) bool) bool {
	if set == nil {
		return false
	}
	for _, name := range set.names {
		if name == removed {
			continue
		}
		g.steps++
		if matches(name) {
			return true
		}
	}
	return false
}

// Done removes a job that is done, and returns its dependents that have no other dependency left,
// in the order in which they were added.
func (g *Graph) Done(id string) []string {
	var ready []string
	g.EachDependent(id, func(dependent string) {
		if g.dependencies[dependent].remove(id) == 0 {
			delete(g.dependencies, dependent)
			g.dropUnusedLevel(dependent)
			ready = append(ready, dependent)
		}
	})
	delete(g.dependents, id)
	g.dropUnusedLevel(id)
	return ready
}

// DropDependencies removes all dependencies of a job that no longer waits for them, done or not.
// Its own dependents stay.
func (g *Graph) DropDependencies(id string) {
	g.EachDependency(id, func(dependency string) {
		if g.dependents[dependency].remove(id) == 0 {
			delete(g.dependents, dependency)
			g.dropUnusedLevel(dependency)
		}
	})
	delete(g.dependencies, id)
	g.dropUnusedLevel(id)
}

// Level is greater for a job than for any of its dependencies; 0 for a job without edges.
func (g *Graph) Level(id string) int { return g.levels[id] }

// Steps counts the edges visited so far: a measure of the graph's cost that needs no clock.
func (g *Graph) Steps() int { return g.steps }

// Empty reports whether the graph holds nothing of any job.
func (g *Graph) Empty() bool { return len(g.dependencies)+len(g.dependents)+len(g.levels) == 0 }

// dropUnusedLevel forgets the level of a job without edges.
func (g *Graph) dropUnusedLevel(id string) {
	if g.dependencies[id] == nil && g.dependents[id] == nil {
		delete(g.levels, id)
	}
}

// TransitiveDependents returns the jobs that depend on a job, directly or through others, nearest
// first and each once. If include is not nil, it leaves out the jobs for which include is false,
// and those that depend on the job only through them.
func (g *Graph) TransitiveDependents(id string, include func(dependent string) bool) []string {
	var found []string
	seen := map[string]bool{id: true}
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		g.EachDependent(queue[0], func(dependent string) {
			if !seen[dependent] && (include == nil || include(dependent)) {
				seen[dependent] = true
				found = append(found, dependent)
				queue = append(queue, dependent)
			}
		})
	}
	return found
}
