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
		t.Errorf("the next event is at %v, %v", at, ok)
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
		t.Errorf("the event left is at %v, %v", at, ok)
	}
}

func TestEmptyQueue(t *testing.T) {
	var q Queue
	if _, ok := q.NextTime(); ok {
		t.Error("an empty queue has a next event")
	}
	if _, ok := q.TakeUntil(time.Hour); ok {
		t.Error("an event was taken from an empty queue")
	}
}
