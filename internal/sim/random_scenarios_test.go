package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// soakSetup has two teams, and two machine types in all zones.
const soakSetup = `
team t gpus=8 gpus_max=24
team u gpus=8 gpus_max=16
type small cpus=8 gpus=0 mem=32 price=1 spot_price=0.3 boot=10 fetch=1 cap=4 spot=3
type big cpus=32 gpus=8 mem=256 price=10 spot_price=3 boot=15 fetch=4 cap=2 spot=2
wait web within=2
`

// soakScenario generates a scenario of random jobs and faults.
func soakScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 7))
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\n%suntil 330\n", seed, soakSetup)
	writeSoakJobs(&text, rng)
	writeSoakFaults(&text, rng)
	return text.String()
}

func writeSoakJobs(text *strings.Builder, rng *rand.Rand) {
	team := func() string { return []string{"t", "u"}[rng.IntN(2)] }
	for i := 1; i <= 24; i++ {
		at := rng.IntN(200)
		id := fmt.Sprintf("job-%06d", i)
		image := rng.IntN(4)
		switch rng.IntN(4) {
		case 0:
			fmt.Fprintf(text, "at %d submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 image=i%d image_gb=2 apart\n", at, id, team(), 1+rng.IntN(5), image)
		case 1:
			fmt.Fprintf(text, "at %d submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 image=i%d spot\n", at, id, team(), 1+rng.IntN(12), 10+rng.IntN(40), image)
		case 2:
			fmt.Fprintf(text, "at %d submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 image=i%d together\n", at, id, team(), 1+rng.IntN(3), 10+rng.IntN(40), image)
		case 3:
			fmt.Fprintf(text, "at %d submit %s team=%s tasks=%d cpus=2 run=%d image=i%d together\n", at, id, team(), 1+rng.IntN(6), 5+rng.IntN(30), image)
		}
		if rng.IntN(4) == 0 {
			fmt.Fprintf(text, "at %d cancel %s\n", at+5+rng.IntN(60), id)
		}
	}
}

func writeSoakFaults(text *strings.Builder, rng *rand.Rand) {
	controllers := func() string { return []string{"leader", "follower", "all", "leader"}[rng.IntN(4)] }
	endpoint := func() string {
		return []string{"state", "workers", "nodes", "cloud", "zone:east", "zone:north", "busy"}[rng.IntN(7)]
	}
	mode := func() string { return []string{"hold", "", "oneway", "hold oneway"}[rng.IntN(4)] }
	for i := 0; i < 8; i++ {
		at := 20 + rng.IntN(200)
		duration := 1 + rng.IntN(40)
		switch rng.IntN(10) {
		case 0, 1:
			fmt.Fprintf(text, "at %d crash %s for=%g\n", at, controllers(), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 2, 3:
			fmt.Fprintf(text, "at %d cut %s %s for=%d %s\n", at, []string{"leader", "follower"}[rng.IntN(2)], endpoint(), duration, mode())
		case 4:
			fmt.Fprintf(text, "at %d outage %s for=%d\n", at, []string{"state", "cloud"}[rng.IntN(2)], duration)
		case 5:
			fmt.Fprintf(text, "at %d refuse leader for=%d\n", at, duration)
		case 6:
			fmt.Fprintf(text, "at %d copies for=%d delay=%d\n", at, duration, 1+rng.IntN(30))
		case 7:
			fmt.Fprintf(text, "at %d hang busy for=%d\n", at, duration)
		case 8:
			fmt.Fprintf(text, "at %d take busy for=%d\n", at, duration)
		case 9:
			fmt.Fprintf(text, "at %d cut zone:east zone:west for=%d %s\n", at, duration, mode())
		}
	}
}

// overlappingFaultsScenario generates a scenario in which faults of all kinds overlap, with three
// or five controllers, jobs of all shapes and cancellations.
func overlappingFaultsScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\ncontrollers %d\n%s", seed, []int{3, 5}[rng.IntN(2)], soakSetup)
	writeMixedJobs(&text, rng)
	writeOverlappingFaults(&text, rng)
	text.WriteString("until 480\n")
	return text.String()
}

// writeMixedJobs writes submissions of jobs of all shapes, and cancellations of some.
func writeMixedJobs(text *strings.Builder, rng *rand.Rand) {
	for i := 1; i <= 36; i++ {
		at := rng.IntN(200)
		id := fmt.Sprintf("job-%06d", i)
		team := []string{"t", "u"}[rng.IntN(2)]
		image := fmt.Sprintf("image=i%d image_gb=%d", rng.IntN(4), []int{0, 2, 10}[rng.IntN(3)])
		switch rng.IntN(6) {
		case 0:
			fmt.Fprintf(text, "at %d submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 %s apart\n", at, id, team, 1+rng.IntN(5), image)
		case 1:
			fmt.Fprintf(text, "at %d submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 %s spot\n", at, id, team, 1+rng.IntN(12), 10+rng.IntN(40), image)
		case 2:
			fmt.Fprintf(text, "at %d submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 %s together\n", at, id, team, 1+rng.IntN(3), 10+rng.IntN(60), image)
		case 3:
			fmt.Fprintf(text, "at %d submit %s team=%s tasks=%d cpus=2 run=%d %s together\n", at, id, team, 1+rng.IntN(6), 5+rng.IntN(90), image)
		case 4: // two or three tasks that do not all fit at once, so that they end at different times
			fmt.Fprintf(text, "at %d submit %s team=%s tasks=%d cpus=8 run=%d %s zone=%s\n", at, id, team, 2+rng.IntN(2), 20+rng.IntN(60), image, []string{"east", "west"}[rng.IntN(2)])
		case 5:
			fmt.Fprintf(text, "at %d submit %s shape=gang team=%s tasks=%d cpus=3 run=%d %s apart\n", at, id, team, 2+rng.IntN(4), 10+rng.IntN(60), image)
		}
		if rng.IntN(5) == 0 {
			fmt.Fprintf(text, "at %d cancel %s\n", at+5+rng.IntN(60), id)
		}
	}
}

// writeOverlappingFaults writes ten random faults of all kinds, which overlap.
func writeOverlappingFaults(text *strings.Builder, rng *rand.Rand) {
	pick := func(values ...string) string { return values[rng.IntN(len(values))] }
	for range 10 {
		at := 20 + 200*rng.Float64()
		duration := 1 + rng.IntN(45)
		target := pick("leader", "leader", "follower", "node-0", "node-1", "node-2")
		machines := pick("busy", "some share=0.3", "some count=2", "zone:east", "zone:north")
		mode := pick("hold", "", "oneway", "hold oneway")
		event := func(format string, args ...any) { fmt.Fprintf(text, "at %.2f %s\n", at, fmt.Sprintf(format, args...)) }
		switch rng.IntN(18) {
		case 0, 1:
			event("crash %s for=%g", pick("all", target), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 2:
			for range 10 { // repeated failovers
				at += 5 + 6*rng.Float64()
				event("crash leader for=%g", []float64{0.3, 4, 12}[rng.IntN(3)])
			}
		case 3, 4:
			event("cut %s %s for=%d %s", target, pick("state", "workers", "nodes", "cloud", "zone:east", "busy"), duration, mode)
		case 5:
			event("cut zone:%s zone:%s for=%d %s", pick("east", "north"), pick("west", "north"), duration, mode)
		case 6:
			event("outage %s for=%d", pick("state", "state", "cloud"), duration)
		case 7:
			event("refuse leader for=%d", duration)
			if rng.IntN(2) == 0 {
				event("cancel_now count=%d", 1+rng.IntN(4))
				at++
				event("outage state for=%d", duration)
			}
		case 8:
			event("%s busy for=%d", pick("take", "hang", "kill"), duration)
		case 9:
			event("late_writes share=%g for=%d", []float64{0.1, 0.3, 0.6}[rng.IntN(3)], duration)
		case 10, 11:
			event("late_reports share=%g for=%d", []float64{0.1, 0.5, 1}[rng.IntN(3)], duration)
		case 12:
			event("deaf %s for=%d", machines, duration)
		case 13:
			event("mute %s for=%d", machines, duration)
		case 14:
			event("isolate %s for=%d", target, duration)
			at += float64(duration) * rng.Float64()
			event("cancel_now count=%d", 1+rng.IntN(4))
		case 15:
			event("cancel_now count=%d hang=%d", 1+rng.IntN(6), []int{0, 5, 9, 20}[rng.IntN(4)])
		case 16:
			event("cancel_at_end share=%g for=%d", []float64{0.3, 1}[rng.IntN(2)], 2*duration)
		case 17:
			event("odd_requests for=%d", 2*duration)
		}
	}
}

// TestSoak runs random scenarios. No rule may be violated, and all work that can be done must be
// done once the faults are over.
func TestSoak(t *testing.T) {
	// Seed 174 ran a task twice: the leader had learned of a worker's new incarnation from a
	// direct answer, and considered it expired because it used the clock of the previous
	// incarnation. With seed 65 there was no machine to inject a fault into.
	runSeeds(t, soakSeeds(40, 65, 174), soakScenario)
}

// TestOverlappingFaults runs random scenarios in which faults overlap.
func TestOverlappingFaults(t *testing.T) {
	runSeeds(t, soakSeeds(25), overlappingFaultsScenario)
}

// operationsScenario generates an overlappingFaultsScenario with the faults that occurred in
// production added: machines boot late or never, controllers are paused, users poll many times as
// often, a best-effort team submits work, and jobs are submitted whose tasks fail.
func operationsScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 13))
	var text strings.Builder
	text.WriteString("team g\n")
	text.WriteString(overlappingFaultsScenario(seed))
	writeOperationsJobs(&text, rng)
	writeOperationsFaults(&text, rng)
	return text.String()
}

func writeOperationsJobs(text *strings.Builder, rng *rand.Rand) {
	for i := 101; i <= 112; i++ {
		at, id := rng.IntN(200), fmt.Sprintf("job-%06d", i)
		switch rng.IntN(3) {
		case 0:
			fmt.Fprintf(text, "at %d submit %s team=g priority=idle tasks=%d cpus=2 run=%d checkpoint=5 save=2 image=g\n", at, id, 1+rng.IntN(30), 5+rng.IntN(30))
		case 1:
			fmt.Fprintf(text, "at %d submit %s team=g priority=idle tasks=1 cpus=1 run=%d image=h\n", at, id, 2+rng.IntN(10))
		case 2:
			shape := []string{"array", "service", "gang"}[rng.IntN(3)]
			fmt.Fprintf(text, "at %d submit %s shape=%s team=t priority=%s tasks=%d cpus=2 image=f fail\nat %d cancel %s\n", at, id, shape,
				[]string{"critical", "urgent", "idle"}[rng.IntN(3)], 1+rng.IntN(8), at+20+rng.IntN(150), id)
		}
	}
}

func writeOperationsFaults(text *strings.Builder, rng *rand.Rand) {
	for range 6 {
		at, duration := 10+rng.IntN(200), 5+rng.IntN(90)
		switch rng.IntN(4) {
		case 0:
			target := []string{"leader", "follower", "all", "leader"}[rng.IntN(4)]
			if target == "all" {
				duration = min(duration, 25) // users give up a submission after a minute
			}
			fmt.Fprintf(text, "at %d pause %s for=%d\n", at, target, duration)
		case 1:
			fmt.Fprintf(text, "at %d lateboot share=%g factor=%d for=%d\n", at, []float64{0.3, 1}[rng.IntN(2)], 2+rng.IntN(4), duration)
		case 2:
			fmt.Fprintf(text, "at %d noboot share=%g for=%d\n", at, []float64{0.2, 0.6}[rng.IntN(2)], duration)
		case 3:
			fmt.Fprintf(text, "at %d poll_storm factor=%d for=%d\n", at, 4+rng.IntN(12), duration)
		}
	}
}

// TestOperations runs random scenarios with the faults that occurred in production.
func TestOperations(t *testing.T) {
	runSeeds(t, soakSeeds(25), operationsScenario)
}
