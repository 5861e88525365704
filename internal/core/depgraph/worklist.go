package depgraph

import "container/heap"

// Worklist is a priority queue of jobs to be visited, each at most once: the highest level first,
// so dependents ahead of their dependencies. The zero value is empty.
type Worklist struct {
	items  itemHeap
	queued map[string]bool
	added  int // jobs that were added so far
}

// Add adds a job of a level, unless it is queued already.
func (w *Worklist) Add(id string, level int) {
	if w.queued == nil {
		w.queued = map[string]bool{}
	}
	if w.queued[id] {
		return
	}
	w.queued[id] = true
	w.added++
	heap.Push(&w.items, workItem{id, level, w.added})
}

// Next removes and returns the next job; ok is false if there is none.
func (w *Worklist) Next() (id string, ok bool) {
	if len(w.items) == 0 {
		return "", false
	}
	id = heap.Pop(&w.items).(workItem).id
	delete(w.queued, id)
	return id, true
}

// workItem is a queued job.
type workItem struct {
	id       string
	level    int
	sequence int // order within a level: that in which the jobs were added
}

// itemHeap is a heap.Interface of items, the highest level first.
type itemHeap []workItem

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].level != h[j].level {
		return h[i].level > h[j].level
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap) Push(item any) { *h = append(*h, item.(workItem)) }

func (h *itemHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
