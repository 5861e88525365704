package sim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
)

// A fingerprint is a hash over the outputs of all controllers in a simulated scenario: every answer,
// call and message with its time, but no log lines. Two builds with equal fingerprints behaved the
// same in that scenario, which verifies that a refactoring changed no behavior:
//
//	BROOKWALK_FINGERPRINTS=7 go test ./internal/sim -run TestFingerprints -v
//
// prints the fingerprints of seven scenarios of each kind, one per line.
type fingerprint struct{ hash.Hash }

func newFingerprint() fingerprint { return fingerprint{sha256.New()} }

// add hashes values. Of a struct, only the values of the fields are hashed, not their names.
func (f fingerprint) add(values ...any) { f.Write(fmt.Appendf(nil, "%v\n", values)) }

// addJSON hashes a message as JSON, which sorts the keys of maps.
func (f fingerprint) addJSON(message any) {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.Write(text)
}

func (f fingerprint) String() string { return hex.EncodeToString(f.Sum(nil)[:12]) }

// recordCores makes f hash all outputs of the world's cores from now on.
func (f fingerprint) recordCores(world *World) {
	world.mutate = func(controller *controller, out *core.Output) {
		for _, a := range out.Answers {
			f.add(world.now, controller.name, a.ID, a.Status, string(a.Body), a.RetryAfterS)
		}
		for _, c := range out.Calls {
			f.add(world.now, controller.name, c.ID, int(c.Destination), c.Address, c.Method, c.Path, string(c.Body), c.Timeout, c.Writes, c.Urgent, c.Watch)
		}
		for _, s := range out.PeerSends {
			f.add(world.now, controller.name, s.To)
			f.addJSON(s.Message)
		}
		for _, s := range out.RegionSends {
			f.add(world.now, controller.name, s.To)
			f.addJSON(s.Message)
		}
	}
}

// fingerprintKinds are the kinds of random scenarios. run runs the one with a seed and returns its
// fingerprint.
var fingerprintKinds = []struct {
	name string
	run  func(t *testing.T, seed uint64) string
}{
	{"soak", scenarioFingerprint(soakScenario)},
	{"meetings", scenarioFingerprint(overlappingFaultsScenario)},
	{"operations", scenarioFingerprint(operationsScenario)},
	{"pairs", scenarioFingerprint(func(seed uint64) string { _, text := faultPairScenario(seed * 13); return text })},
	{"pipelines", scenarioFingerprint(pipelinesScenario)},
	{"one type", scenarioFingerprint(oneTypeScenario)},
	{"grown", scenarioFingerprint(smallMixedFleetScenario)},
	{"fleet", scenarioFingerprint(smallFleetStartupScenario)},
	{"regions", regionsFingerprint},
	{"wake", wakeFingerprint},
}

// smallMixedFleetScenario generates a scenario as in TestSoakGrown, with at most 48 machines.
func smallMixedFleetScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 5))
	controllers := fmt.Sprint("controllers ", 3+2*rng.IntN(2))
	return mixedFleetScenario([]int{24, 48}[seed%2], seed, 280, append([]string{controllers}, randomFleetFaults(rng, 200)...)...)
}

// smallFleetStartupScenario generates a scenario as in TestSoakFleet, at its smallest size.
func smallFleetStartupScenario(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 6))
	lines := []string{fmt.Sprint("seed ", seed), fmt.Sprint("controllers ", 3+2*rng.IntN(2))}
	lines = append(lines, randomFleetFaults(rng, 130)...)
	return fleetStartupScenario(0.15, 200, append(lines, massMachineFaults(rng, 40, 130)...)...)
}

func scenarioFingerprint(write func(seed uint64) string) func(*testing.T, uint64) string {
	return func(t *testing.T, seed uint64) string {
		t.Helper()
		scenario := parseScenario(t, write(seed))
		world, f := scenario.newWorld(slog.New(slog.DiscardHandler)), newFingerprint()
		f.recordCores(world)
		scenario.finish(world)
		return f.String()
	}
}

func regionsFingerprint(t *testing.T, seed uint64) string {
	t.Helper()
	regions := newRegionWorlds(t, seed, newRegionPlan(3+int(seed%3), 2, 24), slog.New(slog.DiscardHandler))
	f := newFingerprint()
	for _, world := range regions.worlds {
		f.recordCores(world)
	}
	regions.delayedShare = 0.05
	regions.schedule(6*time.Second, func() { regions.submitBursts(50 * time.Second) })
	regions.schedule(10*time.Second, func() { regions.injectRandomFaults(50 * time.Second) })
	regions.run(80 * time.Second)
	return f.String()
}

func wakeFingerprint(t *testing.T, seed uint64) string {
	t.Helper()
	f := newFingerprint()
	runRandomWakeScenario(t, seed, f.add)
	return f.String()
}

// TestFingerprints runs each scenario twice: the behavior of the controllers may depend on the seed
// only. With BROOKWALK_FINGERPRINTS it runs each once and prints the fingerprints.
func TestFingerprints(t *testing.T) {
	seeds, print := 1, false
	if v, err := strconv.Atoi(os.Getenv("BROOKWALK_FINGERPRINTS")); err == nil {
		seeds, print = v, true
	}
	var mu sync.Mutex
	found := map[string]string{}
	t.Run("days", func(t *testing.T) {
		for _, kind := range fingerprintKinds {
			for seed := range uint64(seeds) {
				name := fmt.Sprint(kind.name, " ", seed+1)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					first := kind.run(t, seed+1)
					if !print && kind.run(t, seed+1) != first {
						t.Error("fingerprints of two runs with the same seed differ")
					}
					mu.Lock()
					defer mu.Unlock()
					found[name] = first
				})
			}
		}
	})
	different := map[string]bool{}
	for _, kind := range fingerprintKinds {
		for seed := range seeds {
			name := fmt.Sprint(kind.name, " ", seed+1)
			different[found[name]] = true
			if print {
				fmt.Println("fingerprint", name, found[name])
			}
		}
	}
	if len(different) != len(found) {
		t.Errorf("different fingerprints of %d scenarios: got %d, want one per scenario", len(found), len(different))
	}
}
