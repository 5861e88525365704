package sim

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// repeatedCallDays are the random days on which copies of calls are carried out as well.
var repeatedCallDays = []struct {
	name     string
	scenario func(seed uint64) string
}{
	{"soak", soakScenario},
	{"overlapping faults", overlappingFaultsScenario},
	{"late commands", lateCommandsScenario},
	{"operations", operationsScenario},
	{"pipelines", pipelinesScenario},
}

// repeatedCallsScenario adds copies of calls, of all kinds or of those to one receiver, to a random day.
func repeatedCallsScenario(day func(seed uint64) string, seed uint64) string {
	scenario := &scenarioWriter{rng: rand.New(rand.NewPCG(seed, 29))}
	receiver := scenario.pick("", "", "to=workers", "to=state", "to=cloud", "to=nodes", "to=user")
	share := []float64{0.2, 0.6, 1}[scenario.rng.IntN(3)]
	scenario.event(10*scenario.rng.Float64(), "repeat_calls share=%g for=%d %s", share, scenario.between(60, 180), receiver)
	return day(seed) + "\n" + scenario.String()
}

// TestRepeatedCalls runs random days on which calls that were carried out and answered are carried out
// once more.
func TestRepeatedCalls(t *testing.T) {
	for _, day := range repeatedCallDays {
		t.Run(day.name, func(t *testing.T) {
			runSeeds(t, soakSeeds(8), func(seed uint64) string { return repeatedCallsScenario(day.scenario, seed) })
		})
	}
}

// TestEveryKindOfCallIsRepeated checks that copies reach each receiver.
func TestEveryKindOfCallIsRepeated(t *testing.T) {
	for _, receiver := range []string{"workers", "state", "cloud", "nodes", "user"} {
		t.Run(receiver, func(t *testing.T) {
			text := soakScenario(3) + fmt.Sprintf("\nat 5 repeat_calls share=1 to=%s for=100\n", receiver)
			if world := runScenario(t, text); world.repeatedCalls.count == 0 {
				t.Error("got no copies")
			}
		})
	}
}
