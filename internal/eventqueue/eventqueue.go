// Package eventqueue is a priority queue of the events of a discrete-event simulation, ordered by
// time. It has no clock and uses no randomness, so that simulations are reproducible.
// Package sim and the simulation in the tests of package quota use it.
package eventqueue

import (
	"container/heap"
	"time"
)

// An Event is a function that runs at a simulated time.
type Event struct {
	At  time.Duration
	Run func()
	// sequence orders events of the same time by when they were added.
	sequence int
}

// A Queue holds pending events. Its zero value is an empty queue.
type Queue struct {
	events eventHeap
	added  int
}

// Add schedules a function.
func (q *Queue) Add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, Event{At: at, Run: run, sequence: q.added})
}

// NextTime returns the time of the earliest event; false if the queue is empty.
func (q *Queue) NextTime() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].At, true
}

// TakeUntil removes and returns the earliest event whose time is not after until; false if there is
// none.
func (q *Queue) TakeUntil(until time.Duration) (Event, bool) {
	if at, ok := q.NextTime(); !ok || at > until {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// eventHeap implements heap.Interface.
type eventHeap []Event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].sequence < h[j].sequence
}

func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
