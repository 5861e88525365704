package eventqueue

import (
	"slices"
	"testing"
	"time"
)

func TestQueueOrder(t *testing.T) {
	var q Queue
	var ran []string
	add := func(at time.Duration, name string) {
		q.Add(at, func() { ran = append(ran, name) })
	}
	add(2*time.Second, "later")
	add(time.Second, "first added")
	add(time.Second, "second added")
	add(0, "earliest")
	if at, ok := q.NextTime(); !ok || at != 0 {
		t.Errorf("time of the next event: got %v, %v, want 0s, true", at, ok)
	}
	for {
		event, ok := q.TakeUntil(time.Second)
		if !ok {
			break
		}
		event.Run()
	}
	if want := []string{"earliest", "first added", "second added"}; !slices.Equal(ran, want) {
		t.Errorf("ran %q, want %q", ran, want)
	}
	if at, ok := q.NextTime(); !ok || at != 2*time.Second {
		t.Errorf("time of the remaining event: got %v, %v, want 2s, true", at, ok)
	}
}

func TestEmptyQueue(t *testing.T) {
	var q Queue
	if _, ok := q.NextTime(); ok {
		t.Error("NextTime of an empty queue: got an event, want none")
	}
	if _, ok := q.TakeUntil(time.Hour); ok {
		t.Error("TakeUntil of an empty queue: got an event, want none")
	}
}
