package depgraph

import "container/heap"

// Worklist is a priority queue of jobs to visit. It returns the highest level first, and so
// dependents before their dependencies. A job is queued at most once at a time. The zero value is
// an empty queue.
type Worklist struct {
	items    itemHeap
	queued   map[string]bool
	sequence int // sequence number of the last item
}

// Add adds a job with its level, unless the job is already queued.
func (w *Worklist) Add(id string, level int) {
	if w.queued == nil {
		w.queued = map[string]bool{}
	}
	if w.queued[id] {
		return
	}
	w.queued[id] = true
	w.sequence++
	heap.Push(&w.items, workItem{id, level, w.sequence})
}

// Next removes and returns the next job. ok is false if the queue is empty.
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
	sequence int // orders jobs of the same level by their addition
}

// itemHeap implements heap.Interface, with the highest level first.
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
