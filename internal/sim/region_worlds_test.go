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

// regionWorlds simulates several regions together. Each region is a World with real cores, and the
// cores' messages to other regions are delivered between the worlds. It checks that each team's
// tasks on the workers of all regions together stay within the team's limit.
type regionWorlds struct {
	now        time.Duration
	rng        *rand.Rand
	plan       *plan.Plan
	names      []string
	worlds     []*World
	partitions map[regionLink]time.Duration // end of the partition
	// delayedShare is the share of messages that are delayed by up to maxRegionFaultDelay. Half of
	// these also arrive on time.
	delayedShare float64
	violations   []string
	peakGPUs     map[string]float64 // most GPUs in use at a time, by team
	jobCount     int
}

// regionLink is the connection from one region to another.
type regionLink struct{ from, to string }

// regionSetup is the scenario of each region. The teams' limits are scarce, not the machines.
const regionSetup = `
seed 1
until 1
controllers 3
workers report=1.5 lease=8 cancel=25
state rps=400 write_rps=200 txn_ops=16
type gpu cpus=32 gpus=8 mem=256 boot=2 cap=12
`

// regionGuarantee is how many GPUs each team is guaranteed in each region.
const regionGuarantee = 2

// newRegionPlan divides each team's limit evenly among regions and guarantees a part of each share.
func newRegionPlan(regions, teams int, gpus float64) *plan.Plan {
	quotaPlan := &plan.Plan{}
	for i := range regions {
		quotaPlan.Regions = append(quotaPlan.Regions, plan.Region{Name: fmt.Sprint("region-", i), Controllers: []string{fmt.Sprint("127.0.0.1:", 9000+i)}})
	}
	for i := range teams {
		team := plan.Team{Name: fmt.Sprint("team-", i), GPUsMax: gpus}
		for _, region := range quotaPlan.Regions {
			team.Shares = append(team.Shares, plan.Share{Region: region.Name, GPUs: regionGuarantee, GPUsOwned: gpus / float64(regions)})
		}
		quotaPlan.Teams = append(quotaPlan.Teams, team)
	}
	return quotaPlan
}

func newRegionWorlds(t *testing.T, seed uint64, quotaPlan *plan.Plan, log *slog.Logger) *regionWorlds {
	t.Helper()
	regions := &regionWorlds{rng: rand.New(rand.NewPCG(seed, 3)), plan: quotaPlan, partitions: map[regionLink]time.Duration{}, peakGPUs: map[string]float64{}}
	for i, region := range quotaPlan.Regions {
		var text strings.Builder
		text.WriteString(regionSetup)
		for _, team := range quotaPlan.Teams {
			fmt.Fprintf(&text, "team %s gpus_max=%v\n", team.Name, team.GPUsMax)
		}
		scenario := parseScenario(t, text.String())
		scenario.seed = seed*16 + uint64(i)
		world := scenario.newWorld(log.With("region", region.Name))
		world.newCore = func(c *controller, incarnation uint64) stepper {
			regionCore := core.New(c.settings(), nil, incarnation, world.log.With("controller", c.name))
			regionCore.JoinRegions(quotaPlan, region.Name)
			return regionCore
		}
		world.sendToRegion = func(_ *controller, send core.RegionSend) { regions.deliver(region.Name, send) }
		world.usageIncreased = regions.checkUsage
		world.reservedElsewhere = func(team string) float64 { return regions.reservedElsewhere(region.Name, team) }
		regions.names, regions.worlds = append(regions.names, region.Name), append(regions.worlds, world)
	}
	return regions
}

// nextEvent returns the world with the earliest event, and the event's time; nil if there is none.
func (g *regionWorlds) nextEvent() (next *World, first time.Duration) {
	for _, world := range g.worlds {
		if at, ok := world.events.NextTime(); ok && (next == nil || at < first) {
			next, first = world, at
		}
	}
	return next, first
}

// run runs the events of all worlds in order of time, until a time.
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

// schedule runs a function at a point in time.
func (g *regionWorlds) schedule(at time.Duration, run func()) {
	g.worlds[0].now = max(g.worlds[0].now, g.now)
	g.worlds[0].after(at-g.worlds[0].now, run)
}

// world returns the world of a region, with its time advanced to the present.
func (g *regionWorlds) world(name string) *World {
	world := g.worlds[slices.Index(g.names, name)]
	world.now = max(world.now, g.now)
	return world
}

// Bounds of the latency of messages to other regions.
const (
	minRegionDelay   = 20 * time.Millisecond
	regionDelayRange = 60 * time.Millisecond
	// maxRegionFaultDelay bounds the additional delay of a delayed message, see delayedShare.
	maxRegionFaultDelay = 30 * time.Second
)

// randomDuration returns a random duration below a bound.
func (g *regionWorlds) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(bound)))
}

// deliver delivers a message to a random controller of another region.
func (g *regionWorlds) deliver(from string, send core.RegionSend) {
	if g.partitions[regionLink{from, send.To}] > g.now {
		return
	}
	world := g.world(send.To)
	receive := func() {
		if c := world.controllers[g.rng.IntN(len(world.controllers))]; c.alive {
			c.step(core.RegionInput{Message: send.Message})
		}
	}
	delay := minRegionDelay + g.randomDuration(regionDelayRange)
	if g.rng.Float64() < g.delayedShare {
		world.after(delay+g.randomDuration(maxRegionFaultDelay), receive)
		if g.rng.IntN(2) == 0 {
			return
		}
	}
	world.after(delay, receive)
}

// reservedElsewhere returns how many GPUs of a team's limit the other regions reserve: each region
// the larger of the team's usage and its guarantee there.
func (g *regionWorlds) reservedElsewhere(region, team string) float64 {
	sum := 0.0
	for i, world := range g.worlds {
		if g.names[i] == region {
			continue
		}
		used, _ := world.teamUsage(team)
		sum += max(used, g.guaranteedGPUs(g.names[i], team))
	}
	return sum
}

// guaranteedGPUs returns how many GPUs a team is guaranteed in a region.
func (g *regionWorlds) guaranteedGPUs(region, team string) float64 {
	for _, t := range g.plan.Teams {
		for _, share := range t.Shares {
			if t.Name == team && share.Region == region {
				return share.GPUs
			}
		}
	}
	return 0
}

// checkUsage checks that a team's usage on the workers of all regions is within its limit.
func (g *regionWorlds) checkUsage(team string) {
	sum := 0.0
	for _, world := range g.worlds {
		gpus, _ := world.teamUsage(team)
		sum += gpus
	}
	g.peakGPUs[team] = max(g.peakGPUs[team], sum)
	for _, t := range g.plan.Teams {
		if t.Name == team && sum > t.GPUsMax+amountTolerance {
			g.violations = append(g.violations, fmt.Sprintf("%.3f s: team %s uses %v GPUs in all regions, limit %v", g.now.Seconds(), team, sum, t.GPUsMax))
		}
	}
}

// submit submits a job to a region and returns the job's ID. Each of its tasks runs for runS
// seconds.
func (g *regionWorlds) submit(region string, job wire.Job, runS float64) string {
	g.jobCount++
	job.ID = fmt.Sprintf("job-%06d", g.jobCount)
	job.Class, job.Image, job.ImageGB, job.CPUs, job.MemGB, job.EstimatedRunS = "web", "img", 0.1, 1, 1, runS
	world := g.world(region)
	truth := newGroundTruth(job)
	truth.runS = runS
	world.users.submit(truth, submitImmediately)
	return job.ID
}

// submitBursts submits jobs of every team to every region at the same time, and repeats this every
// 2 to 10 s until a time.
func (g *regionWorlds) submitBursts(until time.Duration) {
	if g.now >= until {
		return
	}
	priorities := []wire.Priority{wire.PriorityCritical, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}
	for _, team := range g.plan.Teams {
		for _, region := range g.names {
			job := wire.Job{Team: team.Name, Shape: wire.ShapeArray, Priority: priorities[g.rng.IntN(4)], Tasks: 1 + g.rng.IntN(int(team.GPUsMax)/2), GPUs: 1}
			if g.rng.IntN(5) == 0 {
				job.Shape = wire.ShapeGang
			}
			g.submit(region, job, 2+8*g.rng.Float64())
		}
	}
	g.schedule(g.now+2*time.Second+g.randomDuration(8*time.Second), func() { g.submitBursts(until) })
}

// injectRandomFaults injects a random fault, and another one every 0.2 to 5.2 s until a time.
// Faults may overlap.
func (g *regionWorlds) injectRandomFaults(until time.Duration) {
	if g.now >= until {
		return
	}
	name := g.names[g.rng.IntN(len(g.names))]
	world, other := g.world(name), g.names[g.rng.IntN(len(g.names))]
	duration := func(bound time.Duration) time.Duration {
		return 200*time.Millisecond + g.randomDuration(bound)
	}
	switch g.rng.IntN(9) {
	case 0:
		world.controllersNamed("leader")[0].crash(duration(4 * time.Second))
	case 1:
		world.controllersNamed("leader")[0].pause(duration(12 * time.Second))
	case 2:
		for _, c := range world.controllers {
			c.crash(duration(3 * time.Second))
		}
	case 3, 4:
		g.partitions[regionLink{name, other}] = g.now + duration(20*time.Second)
		if g.rng.IntN(2) == 0 {
			g.partitions[regionLink{other, name}] = g.now + duration(20*time.Second)
		}
	case 5:
		world.store.beginOutage(duration(5 * time.Second))
	case 6:
		world.store.delayedCommits = randomFault{probability: 0.3, until: world.now + duration(8*time.Second)}
	case 7: // controllers cannot reach the workers of a zone, whose tasks continue to run
		zone := zonePattern + world.settings.Deployment.Zones[g.rng.IntN(3)]
		world.partitionBothWays(controllersPattern, zone, duration(15*time.Second), false)
	case 8: // the leader crashes while the workers' heartbeats are held back
		world.partition(workersPattern, controllersPattern, duration(10*time.Second), true)
		world.controllersNamed("leader")[0].crash(duration(time.Second))
	}
	g.schedule(g.now+duration(5*time.Second), func() { g.injectRandomFaults(until) })
}

// maxRegionReports limits the violations that are reported for each region, and for all regions
// together.
const maxRegionReports = 3

// reportViolations reports the violations of limits over all regions, and those of rules in each
// region.
func (g *regionWorlds) reportViolations(t *testing.T, seed uint64) {
	t.Helper()
	for _, violation := range g.violations[:min(maxRegionReports, len(g.violations))] {
		t.Errorf("seed %d: %s", seed, violation)
	}
	for i, world := range g.worlds {
		found := world.checker.violations
		for _, violation := range found[:min(maxRegionReports, len(found))] {
			t.Errorf("seed %d: %s: %s", seed, g.names[i], violation)
		}
	}
}
