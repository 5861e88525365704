// Package depgraph implements the dependency graph (DAG) of unfinished jobs.
//
// A graph holds the edges between jobs, and a topological level for each job, by which callers can
// visit dependents before their dependencies. Jobs are only IDs here: the package uses no records
// and no state of package cluster, has no clock and does no I/O. The leader of package core has one
// graph. It adds a job when its open record is read, removes edges as jobs end, and propagates
// priorities and deadlines from dependents to dependencies (urgency_inheritance.go).
package depgraph

// Graph holds the unfinished dependencies of each job, and its dependents. The cost of an operation
// is proportional to the number of edges that it changes or visits.
type Graph struct {
	dependencies map[string]*nameSet // by dependent: its dependencies that are not done
	dependents   map[string]*nameSet // by dependency
	// levels has a higher level for a job than for any of its dependencies. Visiting jobs by level
	// computes each value that is propagated along the edges only once per job.
	levels       map[string]int
	edgesVisited int // number of edges visited since the graph was made
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{dependencies: map[string]*nameSet{}, dependents: map[string]*nameSet{}, levels: map[string]int{}}
}

// Add adds dependencies to a job.
func (g *Graph) Add(id string, dependencies []string) {
	if len(dependencies) == 0 {
		return
	}
	if g.dependencies[id] == nil {
		g.dependencies[id] = newNameSet()
	}
	level := g.levels[id]
	for _, dependency := range dependencies {
		g.edgesVisited++
		if g.dependents[dependency] == nil {
			g.dependents[dependency] = newNameSet()
		}
		g.dependencies[id].add(dependency)
		g.dependents[dependency].add(id)
		level = max(level, g.levels[dependency]+1)
	}
	g.raiseLevel(id, level)
}

// raiseLevel raises a job's level, and the levels of dependents that are no longer above it. Such
// dependents exist only if they were added before the job, which happens when a leader loads its
// records.
func (g *Graph) raiseLevel(id string, level int) {
	g.levels[id] = level
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		minLevel := g.levels[queue[0]] + 1
		g.EachDependent(queue[0], func(dependent string) {
			// Only corrupt records can contain a cycle, which has no valid levels. The job
			// itself is not raised again, so that the loop terminates for a cycle through the job.
			if g.levels[dependent] < minLevel && dependent != id {
				g.levels[dependent] = minLevel
				queue = append(queue, dependent)
			}
		})
	}
}

// HasDependencies reports whether a job has dependencies that are not done.
func (g *Graph) HasDependencies(id string) bool { return g.dependencies[id] != nil }

// HasDependents reports whether a job has dependents.
func (g *Graph) HasDependents(id string) bool { return g.dependents[id] != nil }

// EachDependent calls visit for each dependent of a job, in the order of their addition.
func (g *Graph) EachDependent(id string, visit func(dependent string)) {
	g.AnyDependent(id, func(dependent string) bool {
		visit(dependent)
		return false
	})
}

// Dependencies returns a job's dependencies that are not done, in the order of their addition.
func (g *Graph) Dependencies(id string) []string {
	var dependencies []string
	g.EachDependency(id, func(dependency string) { dependencies = append(dependencies, dependency) })
	return dependencies
}

// EachDependency calls visit for each of a job's dependencies that is not done, in the order of
// their addition.
func (g *Graph) EachDependency(id string, visit func(dependency string)) {
	g.AnyDependency(id, func(dependency string) bool {
		visit(dependency)
		return false
	})
}

// AnyDependency reports whether matches returns true for one of a job's dependencies that are not
// done. It stops at the first match.
func (g *Graph) AnyDependency(id string, matches func(dependency string) bool) bool {
	return g.anyMatch(g.dependencies[id], matches)
}

// AnyDependent reports whether matches returns true for a dependent of a job. It stops at the first
// match.
func (g *Graph) AnyDependent(id string, matches func(dependent string) bool) bool {
	return g.anyMatch(g.dependents[id], matches)
}

// anyMatch reports whether matches returns true for a name in a set. The set may be nil.
func (g *Graph) anyMatch(set *nameSet, matches func(name string) bool) bool {
	if set == nil {
		return false
	}
	for _, name := range set.names {
		if name == tombstone {
			continue
		}
		g.edgesVisited++
		if matches(name) {
			return true
		}
	}
	return false
}

// MarkDone removes the edges from a job that is done to its dependents. It returns the dependents
// that have no other dependency left, in the order of their addition.
func (g *Graph) MarkDone(id string) []string {
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

// DropDependencies removes the edges from a job to all its dependencies, when the job no longer
// waits for them, whether or not they are done. The edges to its dependents stay.
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

// Level returns a job's level, which is higher than the level of any of its dependencies. A job
// without edges has level 0.
func (g *Graph) Level(id string) int { return g.levels[id] }

// EdgesVisited returns the number of edges visited since the graph was made. Tests use it to bound
// the cost of operations without a clock.
func (g *Graph) EdgesVisited() int { return g.edgesVisited }

// Empty reports whether the graph has no edges and no levels.
func (g *Graph) Empty() bool { return len(g.dependencies)+len(g.dependents)+len(g.levels) == 0 }

// dropUnusedLevel deletes the level of a job that has no edges left.
func (g *Graph) dropUnusedLevel(id string) {
	if g.dependencies[id] == nil && g.dependents[id] == nil {
		delete(g.levels, id)
	}
}

// TransitiveDependents returns the direct and indirect dependents of a job in breadth-first order.
// If include is not nil, jobs for which it returns false are left out, and so are jobs that depend
// on the given one only through them.
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
