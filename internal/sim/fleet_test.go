package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core"
)

// startedJobs returns how many accepted jobs are running or finished, and how many jobs are
// accepted.
func (w *World) startedJobs() (started, accepted int) {
	for _, id := range w.users.sortedIDs() {
		job := w.users.jobs[id]
		if !job.accepted {
			continue
		}
		accepted++
		if job.finalStatus != "" || w.runningTasks(id) > 0 {
			started++
		}
	}
	return started, accepted
}

// TestSoakFleet runs random scenarios of a large fleet in which up to hundreds of machines fail at
// once, together with partitions, crashes and duplicate heartbeats.
func TestSoakFleet(t *testing.T) {
	for _, seed := range soakSeeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 6))
			scale := []float64{1.5, 0.15, 0.3, 0.8}[seed%4]
			lines := []string{fmt.Sprint("seed ", seed), fmt.Sprint("controllers ", 3+2*rng.IntN(2))}
			lines = append(lines, randomFleetFaults(rng, 130)...)
			lines = append(lines, massMachineFaults(rng, 40, 130)...)
			world := runScenario(t, fleetStartupScenario(scale, 200, lines...))
			if started, accepted := world.startedJobs(); started*2 < accepted {
				t.Errorf("started jobs: got %d of %d accepted, want at least half", started, accepted)
			}
		})
	}
}

// TestSoakGrown runs random scenarios of fleets of several sizes with three or five controllers and
// wide gangs.
func TestSoakGrown(t *testing.T) {
	// Seed 91 ran a task twice: a leader that had already stepped down extended a worker's lease,
	// the worker learned the new term from a direct command, and the new leader computed the
	// worker's lease from a delayed duplicate of a heartbeat.
	for _, seed := range soakSeeds(4, 91) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			machines := []int{24, 48, 100, 240}[seed%4]
			lines := append([]string{fmt.Sprint("controllers ", 3+2*rng.IntN(2))}, randomFleetFaults(rng, 200)...)
			world := runScenario(t, mixedFleetScenario(machines, seed, 280, lines...))
			started, _ := world.startedJobs()
			if all := len(world.users.jobs); started*2 < all {
				t.Errorf("started jobs: got %d of %d submitted, want at least half", started, all)
			}
		})
	}
}

// TestStartupEvaluations starts up a large fleet at two sizes. The number of machine evaluations
// may grow in proportion to machines times jobs, but not faster: a loop over every task of every
// machine for every job took more than a tick at 1,500 machines.
func TestStartupEvaluations(t *testing.T) {
	if small, large := evaluationsPerMachineAndJob(t, 300), evaluationsPerMachineAndJob(t, 1500); large > 2*small {
		t.Errorf("evaluations per machine and job with 1,500 machines: got %.0f, want at most twice the %.0f with 300", large, small)
	}
}

// evaluationsPerMachineAndJob starts up a fleet with about the given number of machines. It returns
// how often the leader evaluated a machine for a placement, divided by the product of machines and
// jobs.
func evaluationsPerMachineAndJob(t *testing.T, machines int) float64 {
	t.Helper()
	world := runScenario(t, fleetStartupScenario(float64(machines)/1000, 60))
	leader := world.leader()
	if leader == nil || leader.core.(*core.Core).Evaluations() == 0 {
		t.Fatal("no leader, or a leader without evaluations, at the end")
	}
	wanted, running := 0, 0
	for _, id := range world.users.sortedIDs() {
		if truth := world.jobs[id]; truth.Class == "gate" && world.users.jobs[id].cancelRequestedAt == 0 {
			wanted, running = wanted+truth.Tasks, running+world.runningTasks(id)
		}
	}
	if running*20 < wanted*19 {
		t.Errorf("%d machines: got %d of %d replicas running, want at least 95%%", machines, running, wanted)
	}
	return float64(leader.core.(*core.Core).Evaluations()) / float64(len(world.cloud.machines)*len(world.users.jobs))
}

func benchmarkScenario(b *testing.B, text string) {
	b.Helper()
	for b.Loop() {
		runScenario(b, text)
	}
}

// BenchmarkGrown simulates 200 s of fleets of several sizes.
func BenchmarkGrown(b *testing.B) {
	for _, machines := range []int{50, 300, 800, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, mixedFleetScenario(machines, 1, 200)) })
	}
}

// BenchmarkWave simulates the first 90 s of the startup of large fleets.
func BenchmarkWave(b *testing.B) {
	for _, machines := range []int{300, 1000, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, fleetStartupScenario(float64(machines)/1000, 90)) })
	}
}
