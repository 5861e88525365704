package core

import "slices"

// dependencies is the graph of unfinished jobs that wait for others: which jobs
// each of them still awaits, and which jobs await it. It knows no more than
// names. Every operation costs in proportion to the edges it changes or
// returns.
type dependencies struct {
	awaited    map[string][]string // by dependent: what it awaits, not done yet
	dependents map[string][]string // by awaited job, as they were added
}

func newDependencies() *dependencies {
	return &dependencies{awaited: map[string][]string{}, dependents: map[string][]string{}}
}

// add notes that a job awaits others. It is called once for each job.
func (d *dependencies) add(id string, awaited []string) {
	for _, a := range awaited {
		d.awaited[id] = append(d.awaited[id], a)
		d.dependents[a] = append(d.dependents[a], id)
	}
}

// waits tells whether a job still awaits another.
func (d *dependencies) waits(id string) bool { return len(d.awaited[id]) > 0 }

// done takes a job that is done out, and returns the dependents that await
// nothing any more.
func (d *dependencies) done(id string) []string {
	var free []string
	for _, y := range d.dependents[id] {
		if left := without(d.awaited[y], id); len(left) > 0 {
			d.awaited[y] = left
		} else {
			delete(d.awaited, y)
			free = append(free, y)
		}
	}
	delete(d.dependents, id)
	return free
}

// drop takes a job that does not wait any more out, whatever it awaited. Its
// own dependents stay.
func (d *dependencies) drop(id string) {
	for _, a := range d.awaited[id] {
		if left := without(d.dependents[a], id); len(left) > 0 {
			d.dependents[a] = left
		} else {
			delete(d.dependents, a)
		}
	}
	delete(d.awaited, id)
}

// after returns all jobs that need a job, directly or through others, nearest
// first and each once.
func (d *dependencies) after(id string) []string {
	var out []string
	seen := map[string]bool{id: true}
	for at := []string{id}; len(at) > 0; at = at[1:] {
		for _, y := range d.dependents[at[0]] {
			if !seen[y] {
				seen[y] = true
				out = append(out, y)
				at = append(at, y)
			}
		}
	}
	return out
}

func without(list []string, v string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == v })
}
