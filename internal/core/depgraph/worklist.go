package depgraph

import "container/heap"

// Worklist holds jobs that are still to be looked at, each once: dependents
// before what they await, or in other words the highest level first.
type Worklist struct {
	items itemHeap
	held  map[string]bool
	added int
}

// Add has a job looked at, if it is not to be already.
func (w *Worklist) Add(id string, level int) {
	if w.held == nil {
		w.held = map[string]bool{}
	}
	if !w.held[id] {
		w.held[id] = true
		w.added++
		heap.Push(&w.items, workItem{id, level, w.added})
	}
}

// Next takes out the job to be looked at.
func (w *Worklist) Next() (id string, ok bool) {
	if len(w.items) == 0 {
		return "", false
	}
	id = heap.Pop(&w.items).(workItem).id
	delete(w.held, id)
	return id, true
}

type workItem struct {
	id       string
	level    int
	sequence int // those of one level in the order in which they were added
}

// itemHeap is a heap.Interface of items, the highest level first.
type itemHeap []workItem

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, k int) bool {
	if h[i].level != h[k].level {
		return h[i].level > h[k].level
	}
	return h[i].sequence < h[k].sequence
}

func (h itemHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *itemHeap) Push(x any) { *h = append(*h, x.(workItem)) }

func (h *itemHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
