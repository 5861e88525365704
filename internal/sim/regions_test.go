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
	now    time.Duration
	rng    *rand.Rand
	plan   *plan.Plan
	names  []string
	worlds []*World
	cuts   map[string]time.Duration // "from>to": until when no message passes
	held   float64                  // share of messages that come seconds late, and again
	faults []string
	most   map[string]float64 // GPUs used at a time, by team
	jobs   int
}

// regionText is a region's world. The ceiling, not the machines, is what is short.
const regionText = `
seed 1
until 1
controllers 3
workers report=1.5 lease=8 cancel=25
state rps=400 write_rps=200 txn_ops=16
type gpu cpus=32 gpus=8 mem=256 boot=2 cap=12
`

// regionPlan divides the ceilings evenly among regions; a part of each share is guaranteed.
func regionPlan(regions, teams int, gpus, guaranteed float64) *plan.Plan {
	p := &plan.Plan{}
	for i := range regions {
		p.Regions = append(p.Regions, plan.Region{Name: fmt.Sprint("region-", i), Controllers: []string{fmt.Sprint("127.0.0.1:", 9000+i)}})
	}
	for i := range teams {
		t := plan.Team{Name: fmt.Sprint("team-", i), GPUsMax: gpus}
		for _, r := range p.Regions {
			t.Shares = append(t.Shares, plan.Share{Region: r.Name, GPUs: guaranteed, GPUsOwned: gpus / float64(regions)})
		}
		p.Teams = append(p.Teams, t)
	}
	return p
}

func newRegionWorlds(t *testing.T, seed uint64, p *plan.Plan, log *slog.Logger) *regionWorlds {
	t.Helper()
	g := &regionWorlds{rng: rand.New(rand.NewPCG(seed, 3)), plan: p, cuts: map[string]time.Duration{}, most: map[string]float64{}}
	for i, r := range p.Regions {
		var text strings.Builder
		text.WriteString(regionText)
		for _, team := range p.Teams {
			fmt.Fprintf(&text, "team %s gpus_max=%v\n", team.Name, team.GPUsMax)
		}
		s, err := ParseScenario(text.String())
		if err != nil {
			t.Fatal(err)
		}
		s.seed = seed*16 + uint64(i)
		w := s.world(log.With("region", r.Name))
		w.newCore = func(n *node, boot uint64) stepper {
			c := core.New(n.settings(), nil, boot, w.log.With("node", n.name))
			c.JoinRegions(p, r.Name)
			return c
		}
		w.regionSend = func(n *node, m core.RegionSend) { g.deliver(w, r.Name, m) }
		w.onUse = g.checkUse
		w.heldElsewhere = func(team string) float64 { return g.heldElsewhere(r.Name, team) }
		g.names, g.worlds = append(g.names, r.Name), append(g.worlds, w)
	}
	return g
}

// run plays all worlds in the order of their events.
func (g *regionWorlds) run(until time.Duration) {
	for {
		var next *World
		for _, w := range g.worlds {
			if len(w.queue) > 0 && (next == nil || w.queue[0].at < next.queue[0].at) {
				next = w
			}
		}
		if next == nil || next.queue[0].at > until {
			break
		}
		g.now = next.queue[0].at
		next.run(g.now)
	}
	g.now = until
	for _, w := range g.worlds {
		w.now = until
	}
}

// at has something happen at a time.
func (g *regionWorlds) at(t time.Duration, f func()) {
	g.worlds[0].now = max(g.worlds[0].now, g.now)
	g.worlds[0].after(t-g.worlds[0].now, f)
}

// world is that of a region, brought up to the present.
func (g *regionWorlds) world(name string) *World {
	w := g.worlds[slices.Index(g.names, name)]
	w.now = max(w.now, g.now)
	return w
}

// deliver carries a message to any controller of another region.
func (g *regionWorlds) deliver(from *World, name string, m core.RegionSend) {
	if g.cuts[name+">"+m.To] > g.now {
		return
	}
	w := g.world(m.To)
	give := func() {
		if n := w.nodes[g.rng.IntN(len(w.nodes))]; n.alive {
			n.feed(core.RegionInput{Message: m.Message})
		}
	}
	delay := 20*time.Millisecond + time.Duration(g.rng.Int64N(int64(60*time.Millisecond)))
	if g.rng.Float64() < g.held {
		w.after(delay+time.Duration(g.rng.Int64N(int64(30*time.Second))), give)
		if g.rng.IntN(2) == 0 {
			return
		}
	}
	w.after(delay, give)
}

// heldElsewhere is how many GPUs of a team other regions use or have guaranteed.
func (g *regionWorlds) heldElsewhere(region, team string) float64 {
	sum := 0.0
	for i, w := range g.worlds {
		if g.names[i] == region {
			continue
		}
		used, _ := w.teamUse(team)
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

// checkUse holds what a team uses on the workers of all regions against its ceiling.
func (g *regionWorlds) checkUse(team string) {
	sum := 0.0
	for _, w := range g.worlds {
		gpus, _ := w.teamUse(team)
		sum += gpus
	}
	g.most[team] = max(g.most[team], sum)
	for _, t := range g.plan.Teams {
		if t.Name == team && sum > t.GPUsMax+amountTolerance {
			g.faults = append(g.faults, fmt.Sprintf("%.3f s: %s uses %v GPUs of %v", g.now.Seconds(), team, sum, t.GPUsMax))
		}
	}
}

// submit submits a job to a region and returns its id.
func (g *regionWorlds) submit(region string, j wire.Job, runS float64) string {
	g.jobs++
	j.ID = fmt.Sprintf("job-%06d", g.jobs)
	j.Class, j.Image, j.ImageGB, j.CPUs, j.MemGB, j.EstimateS = "web", "img", 0.1, 1, 1, runS
	w := g.world(region)
	w.users.submit(&jobTruth{Job: j, runS: runS, done: map[int]bool{}, progress: map[int]float64{}}, whenever)
	return j.ID
}

// burst has work of every team come to every region in the same millisecond, again and again.
func (g *regionWorlds) burst(until time.Duration) {
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
	g.at(g.now+2*time.Second+time.Duration(g.rng.Int64N(int64(8*time.Second))), func() { g.burst(until) })
}

// failAtRandom has things fail until a time, one after the other.
func (g *regionWorlds) failAtRandom(until time.Duration) {
	if g.now >= until {
		return
	}
	name := g.names[g.rng.IntN(len(g.names))]
	w, other := g.world(name), g.names[g.rng.IntN(len(g.names))]
	spell := func(most time.Duration) time.Duration {
		return 200*time.Millisecond + time.Duration(g.rng.Int64N(int64(most)))
	}
	switch g.rng.IntN(9) {
	case 0:
		w.nodesOf("leader")[0].crash(spell(4 * time.Second))
	case 1:
		w.nodesOf("leader")[0].pause(spell(12 * time.Second))
	case 2:
		for _, n := range w.nodes {
			n.crash(spell(3 * time.Second))
		}
	case 3, 4:
		g.cuts[name+">"+other] = g.now + spell(20*time.Second)
		if g.rng.IntN(2) == 0 {
			g.cuts[other+">"+name] = g.now + spell(20*time.Second)
		}
	case 5:
		w.store.beginOutage(spell(5 * time.Second))
	case 6:
		w.store.late = late{share: 0.3, until: w.now + spell(8*time.Second)}
	case 7: // workers out of their leader's reach, whose tasks go on
		zone := w.cfg.Deployment.Zones[g.rng.IntN(3)]
		d := spell(15 * time.Second)
		w.cuts = append(w.cuts, &cut{"nodes", "zone:" + zone, w.now + d, false}, &cut{"zone:" + zone, "nodes", w.now + d, false})
	case 8: // a leader ends in the second in which its workers are out of reach
		w.cuts = append(w.cuts, &cut{"workers", "nodes", w.now + spell(10*time.Second), true})
		w.nodesOf("leader")[0].crash(spell(time.Second))
	}
	g.at(g.now+spell(5*time.Second), func() { g.failAtRandom(until) })
}

// report lists what went wrong: over all regions, and by the rules within each.
func (g *regionWorlds) report(t *testing.T, seed uint64) {
	t.Helper()
	for _, f := range g.faults[:min(3, len(g.faults))] {
		t.Errorf("seed %d: %s", seed, f)
	}
	for i, w := range g.worlds {
		for _, f := range w.check.faults[:min(3, len(w.check.faults))] {
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
			g := newRegionWorlds(t, seed, regionPlan(3+int(seed%3), 2, 24, 2), slog.New(slog.DiscardHandler))
			g.held = 0.05
			g.at(6*time.Second, func() { g.burst(80 * time.Second) })
			g.at(10*time.Second, func() { g.failAtRandom(80 * time.Second) })
			g.run(130 * time.Second)
			g.report(t, seed)
			for _, w := range g.worlds {
				started[seed] += w.started
			}
			if started[seed] == 0 {
				t.Errorf("nothing was started")
			}
			t.Logf("%d starts, most used %v", started[seed], g.most)
		})
	}
}

// TestShareMoves has all of a team's work come to one region: it gets what the others do not
// need, and all of it runs at once.
func TestShareMoves(t *testing.T) {
	t.Parallel()
	g := newRegionWorlds(t, 1, regionPlan(3, 1, 24, 2), slog.New(slog.DiscardHandler))
	var id string
	g.at(15*time.Second, func() {
		id = g.submit("region-1", wire.Job{Team: "team-0", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 20, GPUs: 1}, 15)
	})
	g.run(30 * time.Second)
	g.report(t, 1)
	if running := g.world("region-1").running(id); running != 20 {
		t.Errorf("%d of 20 tasks of the gang run", running)
	}
}

// TestGuaranteeWhileCutOff has guaranteed work come to a region whose machines another team's
// long tasks fill, while the region is cut off from the others and its leader ends. The
// guaranteed part of its share is at hand there: the work runs within twice a worker's lease.
func TestGuaranteeWhileCutOff(t *testing.T) {
	t.Parallel()
	p := regionPlan(3, 2, 36, 2)
	p.Teams[1].Shares[0].GPUs = 8 // of team-1 in region-0
	for seed := range uint64(soakDays(3)) {
		g := newRegionWorlds(t, seed, p, slog.New(slog.DiscardHandler))
		w := g.world("region-0")
		for _, z := range w.cfg.Deployment.Zones {
			w.cloud.capacity[offer("gpu", z, false)] = 1 // 24 GPUs in all
		}
		g.at(10*time.Second, func() {
			g.submit("region-0", wire.Job{Team: "team-0", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 24, GPUs: 1}, 600)
		})
		g.at(30*time.Second, func() {
			for _, other := range g.names {
				g.cuts["region-0>"+other], g.cuts[other+">region-0"] = time.Hour, time.Hour
			}
			if gpus, _ := w.teamUse("team-0"); gpus != 24 {
				t.Errorf("seed %d: team-0 uses %v of 24 GPUs", seed, gpus)
			}
		})
		var id string
		g.at(32*time.Second, func() {
			g.world("region-0").nodesOf("leader")[0].crash(5 * time.Second)
			id = g.submit("region-0", wire.Job{Team: "team-1", Shape: wire.ShapeService, Priority: wire.PriorityNormal, Tasks: 8, GPUs: 1}, 0)
		})
		g.run(32*time.Second + 2*seconds(w.cfg.Deployment.Workers.LeaseS))
		if running := w.running(id); running != 8 {
			t.Errorf("seed %d: %d of 8 guaranteed tasks run", seed, running)
		}
		g.report(t, seed)
	}
}
