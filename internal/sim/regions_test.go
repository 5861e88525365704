package sim

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// regionWorlds plays several regions side by side: each is a world of its own with real cores,
// and the cores' messages to other regions pass between the worlds. One checker adds up what
// tasks use on the workers of all regions.
type regionWorlds struct {
	now          time.Duration
	rng          *rand.Rand
	plan         *plan.Plan
	names        []string
	worlds       []*World
	partitions   map[string]time.Duration // "from>to": until when no message passes
	delayedShare float64                  // share of messages that come seconds late, and again
	violations   []string
	peakGPUs     map[string]float64 // GPUs used at a time, by team
	jobCount     int
}

// regionSetup is a region's world. The ceiling, not the machines, is what is short.
const regionSetup = `
seed 1
until 1
controllers 3
workers report=1.5 lease=8 cancel=25
state rps=400 write_rps=200 txn_ops=16
type gpu cpus=32 gpus=8 mem=256 boot=2 cap=12
`

// newRegionPlan divides the ceilings evenly among regions; a part of each share is guaranteed.
func newRegionPlan(regions, teams int, gpus, guaranteed float64) *plan.Plan {
	quotaPlan := &plan.Plan{}
	for i := range regions {
		quotaPlan.Regions = append(quotaPlan.Regions, plan.Region{Name: fmt.Sprint("region-", i), Controllers: []string{fmt.Sprint("127.0.0.1:", 9000+i)}})
	}
	for i := range teams {
		t := plan.Team{Name: fmt.Sprint("team-", i), GPUsMax: gpus}
		for _, r := range quotaPlan.Regions {
			t.Shares = append(t.Shares, plan.Share{Region: r.Name, GPUs: guaranteed, GPUsOwned: gpus / float64(regions)})
		}
		quotaPlan.Teams = append(quotaPlan.Teams, t)
	}
	return quotaPlan
}

func newRegionWorlds(t *testing.T, seed uint64, quotaPlan *plan.Plan, log *slog.Logger) *regionWorlds {
	t.Helper()
	regions := &regionWorlds{rng: rand.New(rand.NewPCG(seed, 3)), plan: quotaPlan, partitions: map[string]time.Duration{}, peakGPUs: map[string]float64{}}
	for i, region := range quotaPlan.Regions {
		var text strings.Builder
		text.WriteString(regionSetup)
		for _, team := range quotaPlan.Teams {
			fmt.Fprintf(&text, "team %s gpus_max=%v\n", team.Name, team.GPUsMax)
		}
		s, err := ParseScenario(text.String())
		if err != nil {
			t.Fatal(err)
		}
		s.seed = seed*16 + uint64(i)
		world := s.newWorld(log.With("region", region.Name))
		world.newCore = func(controller *controller, boot uint64) stepper {
			c := core.New(controller.settings(), nil, boot, world.log.With("node", controller.name))
			c.JoinRegions(quotaPlan, region.Name)
			return c
		}
		world.sendToRegion = func(controller *controller, m core.RegionSend) { regions.deliver(world, region.Name, m) }
		world.usageIncreased = regions.checkUsage
		world.reservedElsewhere = func(team string) float64 { return regions.reservedElsewhere(region.Name, team) }
		regions.names, regions.worlds = append(regions.names, region.Name), append(regions.worlds, world)
	}
	return regions
}

// nextEvent returns the world with the first event, and the event's time; nil if there is none.
func (g *regionWorlds) nextEvent() (next *World, first time.Duration) {
	for _, world := range g.worlds {
		if at, ok := world.events.NextTime(); ok && (next == nil || at < first) {
			next, first = world, at
		}
	}
	return next, first
}

// run plays all worlds in the order of their events.
func (g *regionWorlds) run(until time.Duration) {
	for {
		next, at := g.nextEvent()
		if next == nil || at > until {
			break
		}
		g.now = at
		next.run(at)
	}
	g.now = until
	for _, world := range g.worlds {
		world.now = until
	}
}

// schedule has something happen at a time.
func (g *regionWorlds) schedule(t time.Duration, f func()) {
	g.worlds[0].now = max(g.worlds[0].now, g.now)
	g.worlds[0].after(t-g.worlds[0].now, f)
}

// world is that of a region, brought up to the present.
func (g *regionWorlds) world(name string) *World {
	world := g.worlds[slices.Index(g.names, name)]
	world.now = max(world.now, g.now)
	return world
}

// deliver carries a message to any controller of another region.
func (g *regionWorlds) deliver(from *World, name string, m core.RegionSend) {
	if g.partitions[name+">"+m.To] > g.now {
		return
	}
	world := g.world(m.To)
	give := func() {
		if controller := world.controllers[g.rng.IntN(len(world.controllers))]; controller.alive {
			controller.step(core.RegionInput{Message: m.Message})
		}
	}
	delay := 20*time.Millisecond + time.Duration(g.rng.Int64N(int64(60*time.Millisecond)))
	if g.rng.Float64() < g.delayedShare {
		world.after(delay+time.Duration(g.rng.Int64N(int64(30*time.Second))), give)
		if g.rng.IntN(2) == 0 {
			return
		}
	}
	world.after(delay, give)
}

// reservedElsewhere is how many GPUs of a team other regions use or have guaranteed.
func (g *regionWorlds) reservedElsewhere(region, team string) float64 {
	sum := 0.0
	for i, world := range g.worlds {
		if g.names[i] == region {
			continue
		}
		used, _ := world.teamUsage(team)
		for _, t := range g.plan.Teams {
			for _, s := range t.Shares {
				if t.Name == team && s.Region == g.names[i] {
					used = max(used, s.GPUs)
				}
			}
		}
		sum += used
	}
	return sum
}

// checkUsage holds what a team uses on the workers of all regions against its ceiling.
func (g *regionWorlds) checkUsage(team string) {
	sum := 0.0
	for _, world := range g.worlds {
		gpus, _ := world.teamUsage(team)
		sum += gpus
	}
	g.peakGPUs[team] = max(g.peakGPUs[team], sum)
	for _, t := range g.plan.Teams {
		if t.Name == team && sum > t.GPUsMax+amountTolerance {
			g.violations = append(g.violations, fmt.Sprintf("%.3f s: %s uses %v GPUs of %v", g.now.Seconds(), team, sum, t.GPUsMax))
		}
	}
}

// submit submits a job to a region and returns its id.
func (g *regionWorlds) submit(region string, j wire.Job, runS float64) string {
	g.jobCount++
	j.ID = fmt.Sprintf("job-%06d", g.jobCount)
	j.Class, j.Image, j.ImageGB, j.CPUs, j.MemGB, j.EstimatedRunS = "web", "img", 0.1, 1, 1, runS
	world := g.world(region)
	truth := newGroundTruth(j)
	truth.runS = runS
	world.users.submit(truth, submitAtOnce)
	return j.ID
}

// submitBursts has work of every team come to every region in the same millisecond, again and again.
func (g *regionWorlds) submitBursts(until time.Duration) {
	if g.now >= until {
		return
	}
	priorities := []wire.Priority{wire.PriorityCritical, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}
	for _, t := range g.plan.Teams {
		for _, region := range g.names {
			j := wire.Job{Team: t.Name, Shape: wire.ShapeArray, Priority: priorities[g.rng.IntN(4)], Tasks: 1 + g.rng.IntN(int(t.GPUsMax)/2), GPUs: 1}
			if g.rng.IntN(5) == 0 {
				j.Shape = wire.ShapeGang
			}
			g.submit(region, j, 2+8*g.rng.Float64())
		}
	}
	g.schedule(g.now+2*time.Second+time.Duration(g.rng.Int64N(int64(8*time.Second))), func() { g.submitBursts(until) })
}

// injectRandomFaults has things fail until a time, one after the other.
func (g *regionWorlds) injectRandomFaults(until time.Duration) {
	if g.now >= until {
		return
	}
	name := g.names[g.rng.IntN(len(g.names))]
	world, other := g.world(name), g.names[g.rng.IntN(len(g.names))]
	spell := func(most time.Duration) time.Duration {
		return 200*time.Millisecond + time.Duration(g.rng.Int64N(int64(most)))
	}
	switch g.rng.IntN(9) {
	case 0:
		world.controllersNamed("leader")[0].crash(spell(4 * time.Second))
	case 1:
		world.controllersNamed("leader")[0].pause(spell(12 * time.Second))
	case 2:
		for _, controller := range world.controllers {
			controller.crash(spell(3 * time.Second))
		}
	case 3, 4:
		g.partitions[name+">"+other] = g.now + spell(20*time.Second)
		if g.rng.IntN(2) == 0 {
			g.partitions[other+">"+name] = g.now + spell(20*time.Second)
		}
	case 5:
		world.store.beginOutage(spell(5 * time.Second))
	case 6:
		world.store.delayedCommits = randomFault{probability: 0.3, until: world.now + spell(8*time.Second)}
	case 7: // workers out of their leader's reach, whose tasks go on
		zone := world.settings.Deployment.Zones[g.rng.IntN(3)]
		d := spell(15 * time.Second)
		world.partitions = append(world.partitions, &partition{"nodes", "zone:" + zone, world.now + d, false}, &partition{"zone:" + zone, "nodes", world.now + d, false})
	case 8: // a leader ends in the second in which its workers are out of reach
		world.partitions = append(world.partitions, &partition{"workers", "nodes", world.now + spell(10*time.Second), true})
		world.controllersNamed("leader")[0].crash(spell(time.Second))
	}
	g.schedule(g.now+spell(5*time.Second), func() { g.injectRandomFaults(until) })
}

// reportViolations lists what went wrong: over all regions, and by the rules within each.
func (g *regionWorlds) reportViolations(t *testing.T, seed uint64) {
	t.Helper()
	for _, f := range g.violations[:min(3, len(g.violations))] {
		t.Errorf("seed %d: %s", seed, f)
	}
	for i, world := range g.worlds {
		for _, f := range world.checker.violations[:min(3, len(world.checker.violations))] {
			t.Errorf("seed %d: %s: %s", seed, g.names[i], f)
		}
	}
}

// TestRegions plays days of collisions in three to five regions of three controllers each,
// with failures of every kind. No ceiling is exceeded and no rule broken in any region.
func TestRegions(t *testing.T) {
	t.Parallel()
	days := soakDays(4)
	started := make([]int, days)
	for seed := range uint64(days) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			regions := newRegionWorlds(t, seed, newRegionPlan(3+int(seed%3), 2, 24, 2), slog.New(slog.DiscardHandler))
			regions.delayedShare = 0.05
			regions.schedule(6*time.Second, func() { regions.submitBursts(80 * time.Second) })
			regions.schedule(10*time.Second, func() { regions.injectRandomFaults(80 * time.Second) })
			regions.run(130 * time.Second)
			regions.reportViolations(t, seed)
			for _, world := range regions.worlds {
				started[seed] += world.taskStarts
			}
			if started[seed] == 0 {
				t.Errorf("nothing was started")
			}
			t.Logf("%d starts, most used %v", started[seed], regions.peakGPUs)
		})
	}
}

// TestShareMoves has all of a team's work come to one region: it gets what the others do not
// need, and all of it runs at once.
func TestShareMoves(t *testing.T) {
	t.Parallel()
	regions := newRegionWorlds(t, 1, newRegionPlan(3, 1, 24, 2), slog.New(slog.DiscardHandler))
	var id string
	regions.schedule(15*time.Second, func() {
		id = regions.submit("region-1", wire.Job{Team: "team-0", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 20, GPUs: 1}, 15)
	})
	regions.run(30 * time.Second)
	regions.reportViolations(t, 1)
	if running := regions.world("region-1").runningTasks(id); running != 20 {
		t.Errorf("%d of 20 tasks of the gang run", running)
	}
}

// TestGuaranteeWhilePartitioned has guaranteed work come to a region whose machines another team's
// long tasks fill, while the region is cut off from the others and its leader ends. The
// guaranteed part of its share is at hand there: the work runs within twice a worker's lease.
func TestGuaranteeWhilePartitioned(t *testing.T) {
	t.Parallel()
	p := newRegionPlan(3, 2, 36, 2)
	p.Teams[1].Shares[0].GPUs = 8 // of team-1 in region-0
	for seed := range uint64(soakDays(3)) {
		regions := newRegionWorlds(t, seed, p, slog.New(slog.DiscardHandler))
		world := regions.world("region-0")
		for _, z := range world.settings.Deployment.Zones {
			world.cloud.capacity[offer{"gpu", z, false}] = 1 // 24 GPUs in all
		}
		regions.schedule(10*time.Second, func() {
			regions.submit("region-0", wire.Job{Team: "team-0", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 24, GPUs: 1}, 600)
		})
		regions.schedule(30*time.Second, func() {
			for _, other := range regions.names {
				regions.partitions["region-0>"+other], regions.partitions[other+">region-0"] = time.Hour, time.Hour
			}
			if gpus, _ := world.teamUsage("team-0"); gpus != 24 {
				t.Errorf("seed %d: team-0 uses %v of 24 GPUs", seed, gpus)
			}
		})
		var id string
		regions.schedule(32*time.Second, func() {
			regions.world("region-0").controllersNamed("leader")[0].crash(5 * time.Second)
			id = regions.submit("region-0", wire.Job{Team: "team-1", Shape: wire.ShapeService, Priority: wire.PriorityNormal, Tasks: 8, GPUs: 1}, 0)
		})
		regions.run(32*time.Second + 2*seconds(world.settings.Deployment.Workers.LeaseS))
		if running := world.runningTasks(id); running != 8 {
			t.Errorf("seed %d: %d of 8 guaranteed tasks run", seed, running)
		}
		regions.reportViolations(t, seed)
	}
}
