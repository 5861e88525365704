package sim

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// TestRegions runs scenarios in which three to five regions of three controllers each compete for
// the teams' limits while faults of every kind occur. No limit may be exceeded, and no rule
// violated in any region.
func TestRegions(t *testing.T) { runRegions(t, repeatedCalls{}) }

// TestRegionsRepeatedCalls runs the scenarios of TestRegions while calls that were answered are carried out
// once more.
func TestRegionsRepeatedCalls(t *testing.T) {
	runRegions(t, repeatedCalls{randomFault: randomFault{0.3, 90 * time.Second}})
}

// runRegions runs scenarios of several regions in which some calls are carried out once more.
func runRegions(t *testing.T, repeated repeatedCalls) {
	t.Helper()
	t.Parallel()
	count := soakRunCount(4)
	started := make([]int, count)
	for seed := range uint64(count) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			regions := newRegionWorlds(t, seed, newRegionPlan(3+int(seed%3), 2, 24), slog.New(slog.DiscardHandler))
			regions.delayedShare = 0.05
			for _, world := range regions.worlds {
				world.repeatedCalls = repeated
			}
			regions.schedule(6*time.Second, func() { regions.submitBursts(80 * time.Second) })
			regions.schedule(10*time.Second, func() { regions.injectRandomFaults(80 * time.Second) })
			regions.run(130 * time.Second)
			regions.reportViolations(t, seed)
			for _, world := range regions.worlds {
				started[seed] += world.taskStarts
			}
			if started[seed] == 0 {
				t.Errorf("started tasks: got none, want some")
			}
			t.Logf("%d task starts, most GPUs in use by team: %v", started[seed], regions.peakGPUs)
		})
	}
}

// TestUnusedSharesAreTransferred submits all of a team's work to one region. The other regions must
// transfer the shares that they do not need, so that all of the work runs at once.
func TestUnusedSharesAreTransferred(t *testing.T) {
	t.Parallel()
	regions := newRegionWorlds(t, 1, newRegionPlan(3, 1, 24), slog.New(slog.DiscardHandler))
	var id string
	regions.schedule(15*time.Second, func() {
		id = regions.submit("region-1", wire.Job{Team: "team-0", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 20, GPUs: 1}, 15)
	})
	regions.run(30 * time.Second)
	regions.reportViolations(t, 1)
	if running := regions.world("region-1").runningTasks(id); running != 20 {
		t.Errorf("running tasks of the gang: got %d, want 20", running)
	}
}

// TestGuaranteeWhilePartitioned submits guaranteed work to a region whose machines are full of long
// tasks of another team, while the region is partitioned from the others and its leader crashes.
// The region owns the guaranteed part of the share, so the work has to run within two worker
// leases.
func TestGuaranteeWhilePartitioned(t *testing.T) {
	t.Parallel()
	quotaPlan := newRegionPlan(3, 2, 36)
	quotaPlan.Teams[1].Shares[0].GPUs = 8 // guarantee of team-1 in region-0
	for seed := range uint64(soakRunCount(3)) {
		regions := newRegionWorlds(t, seed, quotaPlan, slog.New(slog.DiscardHandler))
		world := regions.world("region-0")
		for _, zone := range world.settings.Deployment.Zones {
			world.cloud.capacity[offer{"gpu", zone, false}] = 1 // 24 GPUs in all
		}
		regions.schedule(10*time.Second, func() {
			regions.submit("region-0", wire.Job{Team: "team-0", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 24, GPUs: 1}, 600)
		})
		regions.schedule(30*time.Second, func() {
			for _, other := range regions.names {
				regions.partitions[regionLink{"region-0", other}] = time.Hour
				regions.partitions[regionLink{other, "region-0"}] = time.Hour
			}
			if gpus, _ := world.teamUsage("team-0"); gpus != 24 {
				t.Errorf("seed %d: GPUs used by team-0: got %v, want 24", seed, gpus)
			}
		})
		var id string
		regions.schedule(32*time.Second, func() {
			regions.world("region-0").controllersNamed("leader")[0].crash(5 * time.Second)
			id = regions.submit("region-0", wire.Job{Team: "team-1", Shape: wire.ShapeService, Priority: wire.PriorityNormal, Tasks: 8, GPUs: 1}, 0)
		})
		regions.run(32*time.Second + 2*seconds(world.settings.Deployment.Workers.LeaseS))
		if running := world.runningTasks(id); running != 8 {
			t.Errorf("seed %d: running guaranteed tasks: got %d, want 8", seed, running)
		}
		regions.reportViolations(t, seed)
	}
}
