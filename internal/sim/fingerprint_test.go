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

// A fingerprint is a hash over all that the controllers of a simulated day do: every answer,
// call and message with its time. Log lines do not count. Two builds whose fingerprints are
// equal behaved the same on that day, so refactoring is checked by them:
//
//	BROOKWALK_FINGERPRINTS=7 go test ./internal/sim -run TestFingerprints -v
//
// prints those of seven days of each kind, one a line.
type fingerprint struct{ hash.Hash }

func newFingerprint() fingerprint { return fingerprint{sha256.New()} }

// add hashes values. Structures are hashed by their fields' values alone.
func (f fingerprint) add(values ...any) { f.Write(fmt.Appendf(nil, "%v\n", values)) }

// addJSON hashes a message as JSON, in which maps are sorted.
func (f fingerprint) addJSON(message any) {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.Write(text)
}

func (f fingerprint) String() string { return hex.EncodeToString(f.Sum(nil)[:12]) }

// recordCores hashes all outputs of the world's cores.
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

// fingerprintKinds are the kinds of random days, each with a function that plays one.
var fingerprintKinds = []struct {
	name string
	play func(t *testing.T, seed uint64) string
}{
	{"soak", scenarioFingerprint(soakDay)},
	{"meetings", scenarioFingerprint(overlappingFaultsDay)},
	{"operations", scenarioFingerprint(operationsDay)},
	{"pairs", scenarioFingerprint(func(seed uint64) string { _, text := faultPairDay(seed * 13); return text })},
	{"pipelines", scenarioFingerprint(pipelinesDay)},
	{"one type", scenarioFingerprint(oneTypeDay)},
	{"grown", scenarioFingerprint(grownDay)},
	{"fleet", scenarioFingerprint(fleetDay)},
	{"regions", regionsFingerprint},
	{"wake", wakeFingerprint},
}

// grownDay writes a day of TestSoakGrown with at most 48 machines.
func grownDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 5))
	controllers := fmt.Sprint("controllers ", 3+2*rng.IntN(2))
	return grownFleetScenario([]int{24, 48}[seed%2], seed, 280, append([]string{controllers}, randomFleetFaults(rng, 200)...)...)
}

// fleetDay writes a day of TestSoakFleet at its smallest size.
func fleetDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 6))
	lines := []string{fmt.Sprint("seed ", seed), fmt.Sprint("controllers ", 3+2*rng.IntN(2))}
	lines = append(lines, randomFleetFaults(rng, 130)...)
	return startupWaveScenario(0.15, 200, append(lines, massMachineFaults(rng, 40, 130)...)...)
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
	playWakeDay(t, seed, f.add)
	return f.String()
}

// TestFingerprints plays days twice. What the controllers do may depend on the seed only. With
// BROOKWALK_FINGERPRINTS it prints the days' fingerprints instead.
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
					day := kind.play(t, seed+1)
					if !print && kind.play(t, seed+1) != day {
						t.Error("the same seed gives another day")
					}
					mu.Lock()
					defer mu.Unlock()
					found[name] = day
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
		t.Errorf("%d days have %d fingerprints", len(found), len(different))
	}
}
