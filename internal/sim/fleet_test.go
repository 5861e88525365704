package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core"
)

// startedJobs is how many accepted jobs are finished or run, and how many are accepted.
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

// TestSoakFleet plays random days of a large fleet on which hundreds of machines fail at once,
// beside partitions, crashes and duplicate heartbeats.
func TestSoakFleet(t *testing.T) {
	for _, seed := range soakSeeds(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 6))
			scale := []float64{1.5, 0.15, 0.3, 0.8}[seed%4]
			lines := []string{fmt.Sprint("seed ", seed), fmt.Sprint("controllers ", 3+2*rng.IntN(2))}
			lines = append(lines, randomFleetFaults(rng, 130)...)
			lines = append(lines, massMachineFaults(rng, 40, 130)...)
			world := runScenario(t, startupWaveScenario(scale, 200, lines...))
			if started, accepted := world.startedJobs(); started*2 < accepted {
				t.Errorf("%d of %d jobs have started", started, accepted)
			}
		})
	}
}

// TestSoakGrown plays random days of a larger fleet with five controllers and wide gangs.
func TestSoakGrown(t *testing.T) {
	// Seed 91 once ran a task twice: a worker whose lease a leader that had stepped down
	// extended heard of the new term from a direct command, while the new leader counted its
	// lease from a delayed copy of a heartbeat.
	for _, seed := range soakSeeds(4, 91) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			machines := []int{24, 48, 100, 240}[seed%4]
			lines := append([]string{fmt.Sprint("controllers ", 3+2*rng.IntN(2))}, randomFleetFaults(rng, 200)...)
			world := runScenario(t, grownFleetScenario(machines, seed, 280, lines...))
			started, _ := world.startedJobs()
			if all := len(world.users.jobs); started*2 < all {
				t.Errorf("%d of %d jobs have started", started, all)
			}
		})
	}
}

// TestWaveCost plays the start of a large fleet at two sizes. The decisions may look at machines in
// proportion to machines and jobs, not more: a pass for every job over every task of every machine
// once took more than a tick at 1,500 machines.
func TestWaveCost(t *testing.T) {
	if small, large := evaluationsPerPair(t, 300), evaluationsPerPair(t, 1500); large > 2*small {
		t.Errorf("%.0f evaluations for each machine and job at 1,500, %.0f at 300", large, small)
	}
}

// evaluationsPerPair plays the start of a fleet of some machines and returns how often the leader
// looked at a machine for a decision, divided by the product of machines and jobs.
func evaluationsPerPair(t *testing.T, machines int) float64 {
	t.Helper()
	world := runScenario(t, startupWaveScenario(float64(machines)/1000, 60))
	leader := world.leader()
	if leader == nil || leader.core.(*core.Core).Evaluations() == 0 {
		t.Fatal("there is no leader")
	}
	wanted, running := 0, 0
	for _, id := range world.users.sortedIDs() {
		if truth := world.jobs[id]; truth.Class == "gate" && world.users.jobs[id].cancelRequestedAt == 0 {
			wanted, running = wanted+truth.Tasks, running+world.runningTasks(id)
		}
	}
	if running*20 < wanted*19 {
		t.Errorf("%d machines: %d of %d replicas run", machines, running, wanted)
	}
	return float64(leader.core.(*core.Core).Evaluations()) / float64(len(world.cloud.machines)*len(world.users.jobs))
}

func benchmarkScenario(b *testing.B, text string) {
	b.Helper()
	for b.Loop() {
		runScenario(b, text)
	}
}

// BenchmarkGrown plays 200 s of fleets of several sizes.
func BenchmarkGrown(b *testing.B) {
	for _, machines := range []int{50, 300, 800, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, grownFleetScenario(machines, 1, 200)) })
	}
}

// BenchmarkWave plays the first 90 s of large fleets.
func BenchmarkWave(b *testing.B) {
	for _, machines := range []int{300, 1000, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, startupWaveScenario(float64(machines)/1000, 90)) })
	}
}
