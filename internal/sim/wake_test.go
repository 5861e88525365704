package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// TestWakeOnce sends 2,000 requests for a sleeping model to all controllers at the same time.
// Exactly one replica must be started.
func TestWakeOnce(t *testing.T) {
	for _, controllers := range []int{1, 3, 5, 17} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			world := newWakeWorld(uint64(controllers), controllers, wakeRegistry)
			world.run(3 * time.Second)
			for i := range 2000 {
				world.sendRequest(world.activators[i%controllers], "a", fmt.Sprint("k", i), 60*time.Second)
			}
			world.finish(t, 20*time.Second)
			if world.replicasStarted() != 1 || world.servedRequests() != 2000 {
				t.Errorf("got %d replicas started and %d requests served, want 1 and 2000", world.replicasStarted(), world.servedRequests())
			}
		})
	}
}

// TestWakeAfterSleep lets an idle model go to sleep and sends a request at about that moment. The
// model must wake again to serve it.
func TestWakeAfterSleep(t *testing.T) {
	for offset := range 40 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "b", "first", 30*time.Second)
		// The first answer comes after about 8 s. The model goes to sleep 15 s later.
		world.after(seconds(21.5)+time.Duration(offset)*100*time.Millisecond, func() { world.sendRequest(world.activators[1], "b", "second", 40*time.Second) })
		world.finish(t, 90*time.Second)
		if n := world.replicasStarted(); n > 2 || world.servedRequests() != 2 {
			t.Errorf("offset %d: got %d replicas started and %d requests served, want at most 2 and 2", offset, n, world.servedRequests())
		}
		if world.servers["gpu-1"].HasReplica("b", world.now) {
			t.Errorf("offset %d: model b has a replica at the end, want none", offset)
		}
	}
}

// TestOwnerCrashDuringWake crashes the replica's owner at many moments of a wake. The replica that
// it started must be used, and no other one be started.
func TestOwnerCrashDuringWake(t *testing.T) {
	for offset := range 140 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 20*time.Second)
		world.after(5*time.Millisecond, func() { world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		at := time.Duration(offset) * 4 * time.Millisecond
		if offset >= 70 {
			at = time.Duration(offset-70) * 150 * time.Millisecond
		}
		world.after(at, func() { world.activators[0].crash(30 * time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.replicasStarted(); n != 1 || world.servedRequests() < 1 {
			t.Errorf("owner crashes after %v: got %d replicas started and %d requests served, want 1 and at least 1", at, n, world.servedRequests())
		}
	}
}

// TestOwnerPause pauses the replica's owner until another controller has taken the replica over. The
// previous owner must not interfere when it resumes.
func TestOwnerPause(t *testing.T) {
	for offset := range 40 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		world.after(time.Duration(offset)*25*time.Millisecond, func() { world.activators[0].pause(25 * time.Second) })
		world.after(time.Second, func() { world.sendRequest(world.activators[2], "c", "y", 60*time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.replicasStarted(); n != 1 || world.servedRequests() != 2 {
			t.Errorf("offset %d: got %d replicas started and %d requests served, want 1 and 2", offset, n, world.servedRequests())
		}
	}
}

// TestWakeAcrossPartition partitions a controller from the key-value store but not from the model
// servers, which both sides reach. Exactly one replica must be started.
func TestWakeAcrossPartition(t *testing.T) {
	for seed := range uint64(30) {
		world := newWakeWorld(seed+1, 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		world.after(time.Duration(seed)*20*time.Millisecond, func() {
			world.partitionBothWays("node-0", storeEndpoint, 40*time.Second, seed%2 == 0)
		})
		world.after(100*time.Millisecond, func() { world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.replicasStarted(); n != 1 || world.servedRequests() != 2 {
			t.Errorf("seed %d: got %d replicas started and %d requests served, want 1 and 2", seed, n, world.servedRequests())
		}
	}
}

// TestServerUnreachable partitions the model server that runs the replica from the controllers. The
// model must wake on the next server, once the first replica's lease has certainly expired.
func TestServerUnreachable(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	world.run(3 * time.Second)
	world.sendRequest(world.activators[0], "a", "x", 60*time.Second)
	world.after(5*time.Second, func() {
		world.partitionBothWays(controllersPattern, "gpu-0", 60*time.Second, true)
	})
	world.after(20*time.Second, func() { world.sendRequest(world.activators[1], "a", "y", 60*time.Second) })
	world.finish(t, 140*time.Second)
	if world.replicasStarted() != 2 || world.servedRequests() != 2 {
		t.Errorf("got %d replicas started and %d requests served, want 2 and 2", world.replicasStarted(), world.servedRequests())
	}
}

// TestWakeWithFailingLoads makes every load fail. Starts must be retried with backoff, and every
// request must be answered by its deadline.
func TestWakeWithFailingLoads(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	for _, s := range world.servers {
		s.Load = RandomLoad(rand.New(rand.NewPCG(1, 1)), 2*time.Second, 1)
	}
	world.run(3 * time.Second)
	for i := range 30 {
		world.after(time.Duration(i)*10*time.Second, func() { world.sendRequest(world.activators[i%3], "c", fmt.Sprint("k", i), 20*time.Second) })
	}
	world.finish(t, 360*time.Second)
	if n := world.replicasStarted(); n < 3 || n > 8 {
		t.Errorf("replica starts: got %d, want 3 to 8", n)
	}
}

// TestConcurrentWakes sets max_waking to 1 and requests three models. They must load one after the
// other.
func TestConcurrentWakes(t *testing.T) {
	world := newWakeWorld(1, 3, strings.Replace(wakeRegistry, "max_waking = 2", "max_waking = 1", 1))
	world.run(3 * time.Second)
	for i, model := range []string{"a", "b", "c"} {
		world.sendRequest(world.activators[i], model, model, 100*time.Second)
	}
	maxLoading := 0
	var watch func()
	watch = func() {
		maxLoading = max(maxLoading, world.loadingReplicas())
		world.after(50*time.Millisecond, watch)
	}
	watch()
	world.finish(t, 120*time.Second)
	if maxLoading != 1 || world.servedRequests() != 3 {
		t.Errorf("got %d replicas loading at once and %d requests served, want 1 and 3", maxLoading, world.servedRequests())
	}
}

// TestRepeatedRequest sends a request twice with the same idempotency key. It must be executed
// once, and both get the answer.
func TestRepeatedRequest(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	world.run(3 * time.Second)
	world.sendRequest(world.activators[0], "a", "x", 60*time.Second)
	world.after(14*time.Second, func() { world.sendRequest(world.activators[1], "a", "x", 60*time.Second) })
	world.finish(t, 60*time.Second)
	if len(world.executions) != 1 || world.servedRequests() != 2 {
		t.Errorf("got executions %v and %d requests served, want one execution and 2", world.executions, world.servedRequests())
	}
}

// TestWakeDays runs random scenarios with several faults at a time.
func TestWakeDays(t *testing.T) {
	// Each of these seeds fails if one safeguard is removed: the check of the owner's own lease,
	// the conditions of a claim, the order of the records when a model goes to sleep, keeping the
	// server when a replica is taken over.
	seeds := []uint64{156, 167, 177, 184}
	for seed := uint64(1); seed <= uint64(soakRunCount(60)); seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomWakeScenario(t, seed, nil)
		})
	}
}

// runRandomWakeScenario runs a random scenario with several faults at a time. record, if set, is
// called for every action of the activators.
func runRandomWakeScenario(t *testing.T, seed uint64, record func(values ...any)) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 23))
	world := newWakeWorld(seed, []int{1, 3, 5, 5}[rng.IntN(4)], wakeRegistry)
	world.record = record
	// In a fixed order, because each server draws its share of failing loads.
	for _, name := range slices.Sorted(maps.Keys(world.servers)) {
		world.servers[name].Load = RandomLoad(world.rng, meanLoadTime, []float64{0, 0, 0.3}[rng.IntN(3)])
	}
	world.run(3 * time.Second)
	for i := range 150 {
		at, model, timeout := seconds(200*rng.Float64()), wakeModels[rng.IntN(len(wakeModels))], seconds(2+60*rng.Float64())
		to := world.randomActivator(rng)
		world.after(at, func() { world.sendRequest(to, model, fmt.Sprint("k", i), timeout) })
	}
	for range 8 {
		at := seconds(180 * rng.Float64())
		world.after(at, world.randomFault(rng))
	}
	// Once all faults are over and loads succeed again, every model must wake, at the latest after
	// the maximum backoff: 16 load times of up to 10 s.
	world.after(320*time.Second, func() {
		for _, server := range world.servers {
			server.Load = RandomLoad(world.rng, meanLoadTime, 0)
		}
		for _, model := range wakeModels {
			world.sendRequest(world.activators[0], model, "last "+model, 180*time.Second)
		}
	})
	world.finish(t, 530*time.Second)
	for _, request := range world.requests {
		if strings.HasPrefix(request.key, "last") && request.status != wake.StatusServed {
			t.Errorf("request %s after the end of all faults: got status %d, want served", request.key, request.status)
		}
	}
}

func (w *wakeWorld) randomActivator(rng *rand.Rand) *activator {
	return w.activators[rng.IntN(len(w.activators))]
}

// randomFault chooses a fault and returns a function that injects it.
func (w *wakeWorld) randomFault(rng *rand.Rand) func() {
	duration := seconds(1 + 30*rng.Float64())
	target, holdsMessages := w.randomActivator(rng), rng.IntN(2) == 0
	server := wakeServers[rng.IntN(len(wakeServers))]
	switch rng.IntN(8) {
	case 0, 1:
		return func() { target.crash(duration / 5) }
	case 2:
		return func() { target.pause(duration) }
	case 3:
		return func() { w.store.beginOutage(duration) }
	case 4:
		return func() { w.store.delayedCommits = randomFault{0.5, w.now + duration} }
	case 5:
		return func() { w.partitionBothWays(target.name, storeEndpoint, duration, holdsMessages) }
	case 6:
		return func() { w.partitionBothWays(target.name, server, duration, holdsMessages) }
	default:
		return func() {
			w.serverIncarnations[server]++
			w.servers[server].Crash()
		}
	}
}
