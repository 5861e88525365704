package provisioning

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

const requestInterval = 250 * time.Millisecond

// TestQueueNext checks that a shortfall that exceeds one request is split, that shortfalls of another
// offer follow and that requests keep the interval.
func TestQueueNext(t *testing.T) {
	queue := NewQueue(7, requestInterval)
	queue.Replace([]Shortfall{
		{Offer: Offer{"small", "a", true}, Count: MaxMachinesPerRequest + 1, Purpose: "job-1"},
		{Offer: Offer{"large", "b", false}, Count: 2, Purpose: "job-2"},
	})
	for i, want := range []wire.ProvisionRequest{
		{ID: "r-7-1", Type: "small", Zone: "a", Spot: true, Count: MaxMachinesPerRequest},
		{ID: "r-7-2", Type: "small", Zone: "a", Spot: true, Count: 1},
		{ID: "r-7-3", Type: "large", Zone: "b", Count: 2},
	} {
		now := time.Duration(i) * requestInterval
		if !queue.HasShortfalls() {
			t.Fatalf("no shortfall is waiting, want request %+v", want)
		}
		if got := queue.Next(now); got == nil || got.ProvisionRequest != want {
			t.Errorf("request: got %+v, want %+v", got, want)
		}
		if got := queue.Next(now + requestInterval - 1); got != nil {
			t.Errorf("request within the interval: got %+v, want none", got)
		}
	}
	if queue.HasShortfalls() || queue.Next(time.Hour) != nil {
		t.Error("shortfalls are left after the last request, want none")
	}
}

// TestQueueOpen checks that the number of open requests is limited, that their machines are counted
// by offer and that closing a request allows another one.
func TestQueueOpen(t *testing.T) {
	offer := Offer{Type: "small", Zone: "a"}
	queue := NewQueue(7, requestInterval)
	now := time.Duration(0)
	open := func() *Request {
		now += requestInterval
		queue.Replace([]Shortfall{{Offer: offer, Count: 2}})
		return queue.Next(now)
	}
	first := open()
	for range 2 * MaxOpenRequests {
		open()
	}
	if got := len(queue.OpenRequests()); got != MaxOpenRequests {
		t.Fatalf("open requests: got %d, want %d", got, MaxOpenRequests)
	}
	if got := queue.RequestedMachines(offer); got != 2*MaxOpenRequests {
		t.Errorf("machines requested: got %d, want %d", got, 2*MaxOpenRequests)
	}
	if got := queue.RequestedMachines(Offer{Type: "small", Zone: "b"}); got != 0 {
		t.Errorf("machines requested of another offer: got %d, want 0", got)
	}
	queue.Close(first)
	if got := queue.RequestedMachines(offer); got != 2*(MaxOpenRequests-1) {
		t.Errorf("machines requested after a request was closed: got %d, want those of one request less", got)
	}
	if open() == nil {
		t.Error("no request opened after another was closed, want one")
	}
}

// TestQueueDrop checks that the shortfalls of a dropped offer are not requested.
func TestQueueDrop(t *testing.T) {
	refused, other := Offer{Type: "small", Zone: "a"}, Offer{Type: "small", Zone: "b"}
	queue := NewQueue(7, requestInterval)
	queue.Replace([]Shortfall{{Offer: refused, Count: 1}, {Offer: other, Count: 1}})
	queue.DropOffer(refused)
	if got := queue.Next(0); got == nil || got.Offer() != other {
		t.Errorf("request: got %+v, want offer %+v", got, other)
	}
	if queue.HasShortfalls() {
		t.Error("the dropped shortfall is still waiting")
	}
}
