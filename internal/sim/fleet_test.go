package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core"
)

// grownFleetScenario writes a scenario of a fleet of the given number of machines: services,
// arrays and wide gangs of several teams, in proportion to the fleet.
func grownFleetScenario(machines int, seed uint64, until int, troubles ...string) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var text strings.Builder
	per := (machines + 11) / 12 // of a type, zone and kind
	gpus := float64(machines)
	fmt.Fprintf(&text, "seed %d\nuntil %d\n", seed, until)
	fmt.Fprintf(&text, "team t gpus=%g gpus_max=%g\nteam u gpus=%g gpus_max=%g\n", 1.5*gpus, 4*gpus, 1.5*gpus, 4*gpus)
	fmt.Fprintf(&text, "type small cpus=48 gpus=4 mem=192 price=14 spot_price=6 boot=20 fetch=9 cache=300 cap=%d spot=%d\n", per, per)
	fmt.Fprintf(&text, "type big cpus=96 gpus=8 mem=384 price=20 spot_price=8 boot=15 fetch=5 cache=600 cap=%d spot=%d\n", per, per)
	text.WriteString("wait web within=20\nwait train within=10\nfinished sweep within=300\n")
	team := func() string { return []string{"t", "u"}[rng.IntN(2)] }
	n := 0
	submit := func(at int, format string, a ...any) {
		n++
		fmt.Fprintf(&text, "at %d submit job-%06d team=%s %s\n", at, n, team(), fmt.Sprintf(format, a...))
	}
	add := func(at int) {
		switch rng.IntN(6) {
		case 0:
			submit(at, "shape=service class=big priority=critical tasks=%d cpus=33 gpus=4 mem=100 image=b%d image_gb=70 apart", 1+rng.IntN(3), rng.IntN(6))
		case 1, 2:
			submit(at, "shape=service class=web priority=critical tasks=%d cpus=8 gpus=1 mem=25 image=w%d image_gb=16 apart", 2+rng.IntN(7), rng.IntN(10))
		case 3, 4:
			submit(at, "shape=gang class=train priority=urgent tasks=%d cpus=43 gpus=4 mem=150 run=%d checkpoint=15 save=3 image=t%d image_gb=16 together spot", 1<<rng.IntN(3), 60+rng.IntN(120), rng.IntN(8))
		case 5:
			submit(at, "class=sweep priority=idle tasks=%d cpus=8 gpus=1 mem=25 run=%d checkpoint=10 save=4 image=s%d image_gb=34 spot", 8+rng.IntN(60), 30+rng.IntN(60), rng.IntN(4))
		}
	}
	for i := 0; i < machines/3; i++ {
		add(1 + i%5)
	}
	for at := 10; at < until*3/4; at++ {
		for k := 0; k < machines/50; k++ {
			if rng.IntN(10) == 0 {
				add(at)
			}
		}
	}
	for _, t := range troubles {
		text.WriteString(t + "\n")
	}
	return text.String()
}

// randomFleetFaults writes random troubles that overlap, at the size of a fleet.
func randomFleetFaults(rng *rand.Rand, from, to int) []string {
	var out []string
	who := func() string { return []string{"leader", "follower", "all", "leader"}[rng.IntN(4)] }
	zone := func() string { return "zone:" + []string{"east", "north", "west"}[rng.IntN(3)] }
	for range 7 {
		at, d := from+rng.IntN(to-from), 5+rng.IntN(45)
		mode := []string{"hold", ""}[rng.IntN(2)]
		add := func(format string, a ...any) {
			out = append(out, fmt.Sprintf("at %d ", at)+fmt.Sprintf(format, a...))
		}
		switch rng.IntN(8) {
		case 0:
			add("crash %s for=%g", who(), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 1, 2:
			z := zone()
			for _, o := range []string{"zone:east", "zone:north", "zone:west", "state", "cloud"} {
				if o != z {
					add("cut %s %s for=%d %s", z, o, d, mode)
				}
			}
		case 3:
			add("cut zone:east zone:west for=%d %s", d, mode)
		case 4:
			add("cut %s %s for=%d %s", []string{"leader", "follower"}[rng.IntN(2)], []string{"state", "workers", "nodes"}[rng.IntN(3)], d, mode)
		case 5:
			add("cut follower state for=%d", d)
			add("cut follower nodes for=%d", d)
		case 6:
			add("copies for=%d delay=%d", d, 1+rng.IntN(30))
		case 7:
			for range 4 {
				add("%s busy for=%d", []string{"kill", "hang", "take", "faulty"}[rng.IntN(4)], d)
			}
		}
	}
	return out
}

// massMachineFaults writes troubles that befall hundreds of machines at once.
func massMachineFaults(r *rand.Rand, from, to int) []string {
	var out []string
	for range 3 {
		out = append(out, fmt.Sprintf("at %d %s some share=%.2f for=%d", from+r.IntN(to-from),
			[]string{"kill", "hang", "take", "faulty", "deaf", "hang"}[r.IntN(6)], 0.1+0.4*r.Float64(), 5+r.IntN(40)))
	}
	return out
}

// TestSoakFleet plays random days of a large fleet on which hundreds of
// machines fail at once, beside cuts, crashes and late copies.
func TestSoakFleet(t *testing.T) {
	for seed := 1; seed <= soakDays(3); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(seed), 6))
			scale := []float64{1.5, 0.15, 0.3, 0.8}[seed%4]
			acts := append([]string{fmt.Sprint("seed ", seed), fmt.Sprint("controllers ", 3+2*r.IntN(2))}, randomFleetFaults(r, 30, 130)...)
			s, err := ParseScenario(startupWaveScenario(scale, 200, append(acts, massMachineFaults(r, 40, 130)...)...))
			if err != nil {
				t.Fatal(err)
			}
			world, faults := s.Run(testLog())
			for _, f := range faults {
				t.Error(f)
			}
			begun, all := 0, 0
			for _, id := range world.users.sortedIDs() {
				if j := world.users.jobs[id]; j.accepted {
					all++
					if j.finalStatus != "" || world.runningTasks(id) > 0 {
						begun++
					}
				}
			}
			if begun*2 < all {
				t.Errorf("%d of %d jobs have begun", begun, all)
			}
		})
	}
}

// TestSoakGrown plays random days of a larger fleet with five controllers and
// wide gangs.
func TestSoakGrown(t *testing.T) {
	// Seed 91 once ran a task twice: a worker that a deposed leader kept heard
	// the new term from a direct command, while the new leader counted its lease
	// from a late copy of a report.
	seeds := []int{91}
	for seed := 1; seed <= soakDays(4); seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(seed), 5))
			machines := []int{24, 48, 100, 240}[seed%4]
			text := grownFleetScenario(machines, uint64(seed), 280, append([]string{fmt.Sprint("controllers ", 3+2*r.IntN(2))}, randomFleetFaults(r, 30, 200)...)...)
			s, err := ParseScenario(text)
			if err != nil {
				t.Fatal(err)
			}
			world, faults := s.Run(testLog())
			for _, f := range faults {
				t.Error(f)
			}
			begun := 0
			for _, id := range world.users.sortedIDs() {
				if j := world.users.jobs[id]; j.accepted && (j.finalStatus != "" || world.runningTasks(id) > 0) {
					begun++
				}
			}
			if all := len(world.users.sortedIDs()); begun*2 < all {
				t.Errorf("%d of %d jobs have begun", begun, all)
			}
		})
	}
}

// startupWaveScenario writes a scenario of the wave at the start of a large fleet: hundreds of
// small services spread over zones, and everything rented at once. At scale 1
// it is some 1,000 machines at the most.
func startupWaveScenario(scale float64, until int, troubles ...string) string {
	rng := rand.New(rand.NewPCG(1, 11))
	var text strings.Builder
	n := func(k float64) int { return int(k * scale) }
	fmt.Fprintf(&text, "seed 1\nuntil %d\nworkers report=4 lease=22 cancel=42\n", until)
	for _, team := range []string{"t", "u"} {
		fmt.Fprintf(&text, "team %s gpus=%d gpus_max=%d\n", team, n(1200), n(4000))
	}
	fmt.Fprintf(&text, "type small cpus=16 mem=32 price=1 spot_price=0.3 boot=40 fetch=1 cap=%d spot=%d\n", n(145), n(56))
	fmt.Fprintf(&text, "type big cpus=64 gpus=8 mem=512 price=25 spot_price=7 boot=30 fetch=2.3 cap=%d spot=%d\n", n(79), n(56))
	text.WriteString("wait gate within=1\nwait chat within=30\nwait wide within=100\n")
	k := 0
	submit := func(at float64, format string, a ...any) {
		k++
		fmt.Fprintf(&text, "at %.2f submit job-%06d team=%s %s\n", at, k, []string{"t", "u"}[rng.IntN(2)], fmt.Sprintf(format, a...))
		if rng.IntN(8) == 0 {
			fmt.Fprintf(&text, "at %.2f cancel job-%06d\n", at+float64(until)*(0.2+0.8*rng.Float64()), k)
		}
	}
	first := func() float64 { return 1 + 3*rng.Float64() }
	gate := func(at float64) {
		submit(at, "shape=service class=gate priority=critical tasks=%d cpus=1 mem=1.8 image=g%d image_gb=1.8 apart", []int{3, 4, 9}[rng.IntN(3)], rng.IntN(16))
	}
	sweep := func(at float64) {
		submit(at, "class=sweep tasks=%d cpus=5 gpus=1 mem=35 run=80 checkpoint=10 save=4 image=s%d image_gb=42 spot", 5+rng.IntN(20), rng.IntN(10))
	}
	for range n(650) {
		gate(first())
	}
	for range n(60) {
		submit(first(), "shape=service class=chat priority=critical tasks=%d cpus=22 gpus=4 mem=150 image=c%d image_gb=68 apart", 1+rng.IntN(3), rng.IntN(6))
	}
	for range n(33) {
		sweep(first())
	}
	for range n(10) {
		submit(first(), "shape=gang class=wide priority=urgent tasks=2 cpus=57 gpus=8 mem=410 run=250 checkpoint=15 save=2 image=w%d image_gb=118 together types=big", rng.IntN(6))
	}
	for at := 5; at < until-10; at++ {
		if rng.Float64() < 0.68*scale {
			gate(float64(at))
		}
		if rng.Float64() < 0.25*scale {
			sweep(float64(at))
		}
	}
	for _, t := range troubles {
		text.WriteString(t + "\n")
	}
	return text.String()
}

// TestWaveCost plays the wave at several sizes. The decisions may look at the
// machines in proportion to machines and jobs, not more: a pass for every job
// over every task of every machine once took more than the tick at 1,500.
func TestWaveCost(t *testing.T) {
	cost := func(machines int) float64 {
		s, err := ParseScenario(startupWaveScenario(float64(machines)/1000, 60))
		if err != nil {
			t.Fatal(err)
		}
		world, faults := s.Run(testLog())
		for _, f := range faults {
			t.Error(f)
		}
		lead := world.leader()
		if lead == nil || lead.core.(*core.Core).Evaluations() == 0 {
			t.Fatal("nobody leads")
		}
		want, run := 0, 0
		for _, id := range world.users.sortedIDs() {
			if truth := world.jobs[id]; truth.Class == "gate" && world.users.jobs[id].cancelRequestedAt == 0 {
				want, run = want+truth.Tasks, run+world.runningTasks(id)
			}
		}
		if run*20 < want*19 {
			t.Errorf("%d machines: %d of %d replicas run", machines, run, want)
		}
		return float64(lead.core.(*core.Core).Evaluations()) / float64(len(world.cloud.machines)*len(world.users.jobs))
	}
	if small, large := cost(300), cost(1500); large > 2*small {
		t.Errorf("%.0f evaluations for each machine and job at 1,500, %.0f at 300", large, small)
	}
}

func benchmarkScenario(b *testing.B, text string) {
	for range b.N {
		s, err := ParseScenario(text)
		if err != nil {
			b.Fatal(err)
		}
		_, faults := s.Run(nil)
		for _, f := range faults {
			b.Error(f)
		}
	}
}

// BenchmarkGrown plays 200 s of fleets of several sizes.
func BenchmarkGrown(b *testing.B) {
	for _, machines := range []int{50, 300, 800, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, grownFleetScenario(machines, 1, 200)) })
	}
}

// BenchmarkWave plays the first 90 s of a large fleet.
func BenchmarkWave(b *testing.B) {
	for _, machines := range []int{300, 1000, 1500, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchmarkScenario(b, startupWaveScenario(float64(machines)/1000, 90)) })
	}
}
