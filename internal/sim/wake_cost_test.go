package sim

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// wakeCost is what one wake costs.
type wakeCost struct {
	storeRequests           int           // of all activators, from the first request to the last answer
	firstAnswer, lastAnswer time.Duration // since the requests
	replicasStarted         int
	loadTime                time.Duration
}

// measureWake wakes a model once for some requests, spread evenly over the activators.
func measureWake(seed uint64, controllers, requests int) wakeCost {
	world := newWakeWorld(seed, controllers, wakeRegistry)
	var cost wakeCost
	for _, server := range world.servers {
		draw := server.Load
		server.Load = func() (loadTime time.Duration, fails bool) {
			cost.loadTime, fails = draw()
			return cost.loadTime, fails
		}
	}
	world.run(5 * time.Second)
	before := world.storeCalls
	for i := range requests {
		world.sendRequest(world.activators[i%controllers], "c", fmt.Sprint("k", i), 60*time.Second)
	}
	cost.firstAnswer = never
	var countAnswers func()
	countAnswers = func() {
		answered := 0
		for _, request := range world.requests {
			if request.answers == 0 {
				continue
			}
			answered++
			if request.status == wake.StatusServed { // those beyond max_waiting are refused at once
				cost.firstAnswer, cost.lastAnswer = min(cost.firstAnswer, request.latency), max(cost.lastAnswer, request.latency)
			}
		}
		if answered < requests {
			world.after(100*time.Millisecond, countAnswers)
			return
		}
		cost.storeRequests = world.storeCalls - before
	}
	countAnswers()
	world.run(40 * time.Second)
	cost.replicasStarted = world.replicasStarted()
	return cost
}

// TestWakeCost wakes a model for 10 to 10,000 requests. The load on the key-value store does not
// grow with them, and the first answer comes soon after the replica is ready.
func TestWakeCost(t *testing.T) {
	for _, controllers := range []int{1, 3, 5, 17} {
		var few, many wakeCost
		for _, requests := range []int{10, 100, 1000, 10000} {
			var overheads []float64
			for seed := range uint64(5) {
				many = measureWake(seed+1, controllers, requests)
				if many.replicasStarted != 1 {
					t.Errorf("%d controllers, %d requests: %d starts", controllers, requests, many.replicasStarted)
				}
				overheads = append(overheads, float64(many.firstAnswer)/float64(many.loadTime))
			}
			slices.Sort(overheads)
			if requests == 10 {
				few = many
			}
			t.Logf("%d controllers, %d requests: %d requests to the key-value store, first answer after %.2f load times at the median, the last after %v",
				controllers, requests, many.storeRequests, overheads[2], many.lastAnswer)
			if overheads[2] > 1.2 {
				t.Errorf("%d controllers, %d requests: the first answer came after %.2f load times", controllers, requests, overheads[2])
			}
		}
		if many.storeRequests > few.storeRequests+few.storeRequests/2+controllers {
			t.Errorf("%d controllers: %d requests to the key-value store for 10 that wait, %d for 10,000", controllers, few.storeRequests, many.storeRequests)
		}
	}
}

// TestDriverFailoverTime crashes the driver while the replica loads. Another one drives it within
// two leases, so the answers come no later than that after the load.
func TestDriverFailoverTime(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		world := newWakeWorld(seed+1, 3, wakeRegistry)
		world.run(5 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		id := uint64(0)
		world.after(100*time.Millisecond, func() { id = world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		world.after(time.Duration(200+200*seed)*time.Millisecond, func() { world.activators[0].crash(50 * time.Second) })
		world.finish(t, 60*time.Second)
		if request := world.requests[id]; request.status == wake.StatusServed {
			worst = max(worst, request.latency)
		} else {
			t.Errorf("seed %d: answered %d", seed, request.status)
		}
	}
	// The load takes 9.6 s at the most, the driver crashes 8.2 s after the request at the latest.
	lease := seconds(4)
	t.Logf("the last answer came after %v", worst)
	if worst > 10*time.Second+2*lease {
		t.Errorf("an answer came after %v", worst)
	}
}

// TestBaselineWakesTwice lets each activator wake a replica of its own, without consensus. The
// checker reports it.
func TestBaselineWakesTwice(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	world.run(3 * time.Second)
	for i, server := range []string{"gpu-0", "gpu-1"} {
		activator := world.activators[i]
		activator.Command(server, wake.Command{Verb: wake.VerbProbe, Model: "a", Epoch: 1}, func(r wake.ReplicaStatus) {
			activator.Command(server, wake.Command{Verb: wake.VerbStart, Model: "a", Epoch: 1, StartToken: r.StartToken}, func(wake.ReplicaStatus) {})
		})
	}
	world.run(5 * time.Second)
	if len(world.violations) == 0 {
		t.Error("two replicas at a time were not reported")
	}
}

// TestWaitingMemory bounds the memory of a waiting request.
func TestWaitingMemory(t *testing.T) {
	const requests = 5000
	world := newWakeWorld(1, 1, wakeRegistry)
	world.store.beginOutage(time.Hour) // nothing wakes
	world.run(time.Second)
	c := wake.New("node-9", 1, world.registry, world.activators[0], world.activators[0], world.activators[0], world.log)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range requests {
		c.Handle(&wake.Request{ID: uint64(1e6 + i), Model: "a", IdempotencyKey: "k", Deadline: time.Hour})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / requests
	t.Logf("%.0f bytes for each waiting request", each)
	if each > 1024 {
		t.Errorf("%.0f bytes for each waiting request", each)
	}
	runtime.KeepAlive(c)
}
