package sim

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// wakeCost holds measurements of one wake of a model.
type wakeCost struct {
	storeRequests           int           // of all activators, from the first client request to the last answer
	firstAnswer, lastAnswer time.Duration // latencies, since the requests were sent
	replicasStarted         int
	loadTime                time.Duration
}

// measureWake wakes a model by requests that are sent at once, spread evenly over the activators,
// and measures the cost.
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
			if request.status == wake.StatusServed { // requests beyond max_waiting are rejected at once
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

// TestWakeCost wakes a model by 10 to 10,000 requests. 10,000 requests may cause at most 1.5 times
// as many requests to the key-value store as 10, plus one per controller. The median latency of the
// first answer must be at most 1.2 load times.
func TestWakeCost(t *testing.T) {
	for _, controllers := range []int{1, 3, 5, 17} {
		var few, many wakeCost
		for _, requests := range []int{10, 100, 1000, 10000} {
			var latencies []float64
			for seed := range uint64(5) {
				many = measureWake(seed+1, controllers, requests)
				if many.replicasStarted != 1 {
					t.Errorf("%d controllers, %d requests: got %d replica starts, want 1", controllers, requests, many.replicasStarted)
				}
				latencies = append(latencies, float64(many.firstAnswer)/float64(many.loadTime))
			}
			slices.Sort(latencies)
			if requests == 10 {
				few = many
			}
			t.Logf("%d controllers, %d requests: %d requests to the key-value store, median latency of the first answer %.2f load times, last answer after %v",
				controllers, requests, many.storeRequests, latencies[2], many.lastAnswer)
			if latencies[2] > 1.2 {
				t.Errorf("%d controllers, %d requests: median latency of the first answer: got %.2f load times, want at most 1.2", controllers, requests, latencies[2])
			}
		}
		if many.storeRequests > few.storeRequests+few.storeRequests/2+controllers {
			t.Errorf("%d controllers: requests to the key-value store grow with waiting requests: %d for 10, %d for 10,000", controllers, few.storeRequests, many.storeRequests)
		}
	}
}

// TestOwnerFailoverTime crashes the replica's owner while the replica loads. Another controller
// takes the replica over within two leases, so answers are at most two leases later than without
// the crash.
func TestOwnerFailoverTime(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(40) {
		world := newWakeWorld(seed+1, 3, wakeRegistry)
		world.run(5 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		id := uint64(0)
		world.after(100*time.Millisecond, func() { id = world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		world.after(time.Duration(200+200*seed)*time.Millisecond, func() { world.activators[0].crash(50 * time.Second) })
		world.finish(t, 60*time.Second)
		if request := world.requests[id]; request.status == wake.StatusServed {
			longest = max(longest, request.latency)
		} else {
			t.Errorf("seed %d: got status %d, want served", seed, request.status)
		}
	}
	// The load takes at most 9.6 s. The owner crashes at most 8 s after the first request.
	lease := seconds(4)
	t.Logf("longest latency: %v", longest)
	if longest > 10*time.Second+2*lease {
		t.Errorf("longest latency: got %v, want at most 18 s", longest)
	}
}

// TestUncoordinatedWakesReported makes two activators each start a replica of the same model,
// without coordination. The checker has to report it.
func TestUncoordinatedWakesReported(t *testing.T) {
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
		t.Error("violations: got none, want one for two replicas of a model")
	}
}

// TestWaitingMemory checks that a waiting request takes at most 1 KiB of memory.
func TestWaitingMemory(t *testing.T) {
	const requests = 5000
	world := newWakeWorld(1, 1, wakeRegistry)
	world.store.beginOutage(time.Hour) // no model wakes, so all requests wait
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
		t.Errorf("memory of a waiting request: got %.0f bytes, want at most 1024", each)
	}
	runtime.KeepAlive(c)
}
