package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// oneTypeScenario generates a random scenario of a deployment with a single machine type: gangs
// that need whole machines in one zone, small services that are spread over zones, teams whose
// guarantees exceed the on-demand machines, and more images than a machine's cache holds. The
// settings are random too, which reveals code that depends on particular values.
func oneTypeScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 13))
	var text strings.Builder
	pick := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	report := pick(0.5, 1, 2, 3)
	lease := max(report*pick(4, 8, 16), 5)
	fmt.Fprintf(&text, "seed %d\nuntil 540\ncontrollers %d\n", seed, []int{3, 5}[rng.IntN(2)])
	fmt.Fprintf(&text, "workers report=%g lease=%g cancel=%g\n", report, lease, 1.5*lease+pick(8, 20))
	fmt.Fprintf(&text, "state rps=%g write_rps=%g value_kb=%g txn_ops=%g\n", pick(100, 200), pick(30, 80), pick(2, 16, 32), pick(2, 5, 12, 40))
	fmt.Fprintf(&text, "cloud rps=%g lag=%g\n", pick(2, 3, 8), pick(1, 3, 10))
	zones := []string{"east", "east,north", "east,north,west"}[rng.IntN(3)]
	fmt.Fprintf(&text, "type press cpus=96 gpus=8 mem=768 price=21 spot_price=7 boot=%g fetch=%g cache=60 cap=%d spot=%d zones=%s\n",
		pick(5, 20), pick(1, 5), 12/(1+strings.Count(zones, ",")), 4, zones)
	text.WriteString("wait desk within=10\nwait plan within=70\nfinished sweep within=250\n")
	teams := 2 + rng.IntN(5)
	for i := range teams {
		fmt.Fprintf(&text, "team t%d gpus=%d gpus_max=%d\n", i, 200/teams, 40+rng.IntN(200))
	}
	for i := 1; i <= 30; i++ {
		at := rng.IntN(200)
		id := fmt.Sprintf("job-%06d", i)
		image := fmt.Sprintf("image=i%d image_gb=%g", rng.IntN(8), pick(2, 10, 20))
		submit := func(format string, a ...any) {
			fmt.Fprintf(&text, "at %d submit %s team=t%d %s %s\n", at, id, rng.IntN(teams), fmt.Sprintf(format, a...), image)
		}
		spread := ""
		if zones != "east" {
			spread = "apart"
		}
		switch rng.IntN(6) {
		case 0, 1:
			submit("shape=service class=desk priority=critical tasks=%d cpus=8 gpus=1 mem=50 %s", 1+rng.IntN(4), spread)
		case 2:
			submit("shape=service class=read priority=critical tasks=%d cpus=16 gpus=2 mem=100 %s", 1+rng.IntN(2), spread)
		case 3, 4:
			submit("class=sweep priority=idle tasks=%d cpus=8 gpus=1 mem=50 run=%d checkpoint=20 save=4 spot", 1+rng.IntN(20), 10+rng.IntN(60))
		case 5:
			submit("shape=gang class=plan priority=urgent tasks=2 cpus=86 gpus=8 mem=610 run=%d checkpoint=30 save=4 together", 10+rng.IntN(40))
		}
		if rng.IntN(5) == 0 {
			fmt.Fprintf(&text, "at %d cancel %s\n", at+5+rng.IntN(60), id)
		}
	}
	writeOverlappingFaults(&text, rng)
	fmt.Fprintf(&text, "at %d outage cloud for=30\nat %d take some share=0.4 for=%d\n", 100+rng.IntN(60), 110+rng.IntN(60), 1+rng.IntN(20))
	return text.String()
}

// TestOneType runs random scenarios of a deployment with a single machine type.
func TestOneType(t *testing.T) {
	// With seed 474 a gang that needs whole machines never started: replicas were scattered over
	// all machines that the cloud had.
	runSeeds(t, soakSeeds(25, 474), oneTypeScenario)
}
