package core

import "container/heap"

// dependencies is the graph of unfinished jobs that wait for others: which jobs
// each of them still awaits, and which jobs await it. It knows no more than
// names. Every operation costs in proportion to the edges it changes or
// returns.
type dependencies struct {
	awaited    map[string]*nameSet // by dependent: what it awaits, not done yet
	dependents map[string]*nameSet // by awaited job, as they were added
	// level is greater for a job than for any that it awaits, so that values
	// which go along the edges can be worked out once for each job.
	level map[string]int
	steps int // edges looked at so far: what the graph costs, without a clock
}

func newDependencies() *dependencies {
	return &dependencies{awaited: map[string]*nameSet{}, dependents: map[string]*nameSet{}, level: map[string]int{}}
}

// add notes that a job awaits others.
func (d *dependencies) add(id string, awaited []string) {
	if len(awaited) == 0 {
		return
	}
	if d.awaited[id] == nil {
		d.awaited[id] = newNameSet()
	}
	level := d.level[id]
	for _, a := range awaited {
		d.steps++
		if d.dependents[a] == nil {
			d.dependents[a] = newNameSet()
		}
		d.awaited[id].add(a)
		d.dependents[a].add(id)
		level = max(level, d.level[a]+1)
	}
	d.lift(id, level)
}

// lift raises a job's level, and with it those of its dependents that are not
// above it. There are such ones only where a job became known after them, as
// when a leader loads its records.
func (d *dependencies) lift(id string, level int) {
	d.level[id] = level
	for at := []string{id}; len(at) > 0; at = at[1:] {
		above := d.level[at[0]] + 1
		d.eachDependent(at[0], func(y string) {
			// A job that needs itself, as only a broken record can say, has no
			// level that is right.
			if d.level[y] < above && y != id {
				d.level[y] = above
				at = append(at, y)
			}
		})
	}
}

// waits tells whether a job still awaits another.
func (d *dependencies) waits(id string) bool { return d.awaited[id] != nil }

// needed tells whether a job has dependents.
func (d *dependencies) needed(id string) bool { return d.dependents[id] != nil }

// eachDependent calls a function for the jobs that await a job, in the order in
// which they were added, until it returns.
func (d *dependencies) eachDependent(id string, f func(y string)) {
	d.anyDependent(id, func(y string) bool {
		f(y)
		return false
	})
}

// eachAwaited calls a function for what a job still awaits.
func (d *dependencies) eachAwaited(id string, f func(a string)) {
	d.anyAwaited(id, func(a string) bool {
		f(a)
		return false
	})
}

// anyAwaited tells whether a function is true for a job that a job still awaits.
// It looks no further than the first.
func (d *dependencies) anyAwaited(id string, f func(a string) bool) bool {
	return d.any(d.awaited[id], f)
}

// anyDependent tells whether a function is true for a job that awaits a job. It
// looks no further than the first.
func (d *dependencies) anyDependent(id string, f func(y string) bool) bool {
	return d.any(d.dependents[id], f)
}

// any tells whether a function is true for a name of a set, which may be nil.
func (d *dependencies) any(s *nameSet, f func(name string) bool) bool {
	if s == nil {
		return false
	}
	for _, name := range s.names {
		if name == "" {
			continue
		}
		d.steps++
		if f(name) {
			return true
		}
	}
	return false
}

// done takes a job that is done out, and returns the dependents that await
// nothing any more.
func (d *dependencies) done(id string) []string {
	var free []string
	d.eachDependent(id, func(y string) {
		if d.awaited[y].remove(id) == 0 {
			delete(d.awaited, y)
			d.tidy(y)
			free = append(free, y)
		}
	})
	delete(d.dependents, id)
	d.tidy(id)
	return free
}

// drop takes a job that does not wait any more out, whatever it awaited. Its
// own dependents stay.
func (d *dependencies) drop(id string) {
	d.eachAwaited(id, func(a string) {
		if d.dependents[a].remove(id) == 0 {
			delete(d.dependents, a)
			d.tidy(a)
		}
	})
	delete(d.awaited, id)
	d.tidy(id)
}

// tidy forgets the level of a job without edges.
func (d *dependencies) tidy(id string) {
	if d.awaited[id] == nil && d.dependents[id] == nil {
		delete(d.level, id)
	}
}

// after returns the jobs that need a job, directly or through others, nearest
// first and each once. Where enter is given, those for which it is false are left
// out, and what needs a job only through them.
func (d *dependencies) after(id string, enter func(y string) bool) []string {
	var out []string
	seen := map[string]bool{id: true}
	for at := []string{id}; len(at) > 0; at = at[1:] {
		d.eachDependent(at[0], func(y string) {
			if !seen[y] && (enter == nil || enter(y)) {
				seen[y] = true
				out = append(out, y)
				at = append(at, y)
			}
		})
	}
	return out
}

// nameSet is a set of names in the order in which they were added. To add or
// remove one takes constant time on average: a removed name leaves a gap, and
// the gaps are closed when they are more than the names.
type nameSet struct {
	names []string
	at    map[string]int
}

func newNameSet() *nameSet { return &nameSet{at: map[string]int{}} }

func (s *nameSet) add(name string) {
	if _, ok := s.at[name]; !ok {
		s.at[name] = len(s.names)
		s.names = append(s.names, name)
	}
}

// remove takes a name out and returns how many are left.
func (s *nameSet) remove(name string) int {
	if i, ok := s.at[name]; ok {
		s.names[i] = ""
		delete(s.at, name)
		if len(s.names) > 2*len(s.at)+4 {
			s.close()
		}
	}
	return len(s.at)
}

// close closes the gaps. The list is replaced, for somebody may go through it.
func (s *nameSet) close() {
	names := make([]string, 0, len(s.at))
	for _, n := range s.names {
		if n != "" {
			s.at[n] = len(names)
			names = append(names, n)
		}
	}
	s.names = names
}

// worklist holds jobs that are still to be looked at, each once: dependents
// before what they await, or in other words the highest level first.
type worklist struct {
	items []workItem
	held  map[string]bool
	added int
}

type workItem struct {
	id    string
	level int
	seq   int // those of one level in the order in which they were added
}

func (w *worklist) add(id string, level int) {
	if w.held == nil {
		w.held = map[string]bool{}
	}
	if !w.held[id] {
		w.held[id] = true
		w.added++
		heap.Push(w, workItem{id, level, w.added})
	}
}

// next takes out the job to be looked at.
func (w *worklist) next() (id string, ok bool) {
	if len(w.items) == 0 {
		return "", false
	}
	id = heap.Pop(w).(workItem).id
	delete(w.held, id)
	return id, true
}

// Len, Less, Swap, Push and Pop are those of heap.Interface.
func (w *worklist) Len() int { return len(w.items) }

func (w *worklist) Less(i, k int) bool {
	if w.items[i].level != w.items[k].level {
		return w.items[i].level > w.items[k].level
	}
	return w.items[i].seq < w.items[k].seq
}

func (w *worklist) Swap(i, k int) { w.items[i], w.items[k] = w.items[k], w.items[i] }

func (w *worklist) Push(x any) { w.items = append(w.items, x.(workItem)) }

func (w *worklist) Pop() any {
	last := w.items[len(w.items)-1]
	w.items = w.items[:len(w.items)-1]
	return last
}
