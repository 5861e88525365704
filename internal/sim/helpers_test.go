package sim

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
)

// testLog returns a logger that writes all records to standard error if SIM_LOG is set, otherwise
// none.
func testLog() *slog.Logger {
	if os.Getenv("SIM_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// skipKnownFailure skips a test that KNOWN-RED.txt lists, unless BROOKWALK_KNOWN_RED is set.
func skipKnownFailure(t *testing.T) {
	t.Helper()
	if os.Getenv("BROOKWALK_KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt; run with BROOKWALK_KNOWN_RED=1")
	}
}

// soakRunCount returns how many random scenarios a soak test runs: the number in BROOKWALK_SOAK, or
// a sample.
func soakRunCount(sample int) int {
	if count, err := strconv.Atoi(os.Getenv("BROOKWALK_SOAK")); err == nil {
		return count
	}
	return sample
}

// soakSeeds returns the seeds of a soak test's random scenarios: first those that failed earlier,
// as regression tests, then 1 up to the number of runs.
func soakSeeds(sample int, failedBefore ...uint64) []uint64 {
	seeds := failedBefore
	for seed := uint64(1); seed <= uint64(soakRunCount(sample)); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// runSeeds runs the random scenario of each seed in a subtest.
func runSeeds(t *testing.T, seeds []uint64, scenarioOf func(seed uint64) string) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomScenario(t, scenarioOf(seed))
		})
	}
}

func parseScenario(tb testing.TB, text string) *Scenario {
	tb.Helper()
	scenario, err := ParseScenario(text)
	if err != nil {
		tb.Fatal(err)
	}
	return scenario
}

// runScenario runs a scenario. It fails the test if a rule is violated or an expectation is not
// met.
func runScenario(tb testing.TB, text string) *World {
	tb.Helper()
	world, failures := parseScenario(tb, text).Run(testLog())
	for _, failure := range failures {
		tb.Error(failure)
	}
	return world
}

// runRandomScenario runs a random scenario. It fails the test if a rule is violated, or if work
// that can be done is unfinished at the end, when all faults are over.
func runRandomScenario(t *testing.T, text string) {
	t.Helper()
	world, failures := parseScenario(t, text).Run(nil)
	for _, failure := range append(failures, world.unfinishedWork()...) {
		t.Error(failure)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// unfinishedWork describes the work that is unfinished at the end of a random scenario.
func (w *World) unfinishedWork() (unfinished []string) {
	add := func(format string, args ...any) { unfinished = append(unfinished, fmt.Sprintf(format, args...)) }
	for _, id := range w.users.sortedIDs() {
		job, truth := w.users.jobs[id], w.jobs[id]
		running := w.runningTasks(id)
		switch {
		case !job.accepted && job.rejectionStatus == 0 && !job.excusedByOutage:
			add("%s: submission was never answered", id)
		case job.accepted && job.finalStatus == "" && truth.Shape != wire.ShapeService:
			add("%s: got last status %s, want a final status", id, job.lastStatus.Status)
		case job.accepted && job.finalStatus == "" && running != truth.Tasks:
			add("%s: got %d running replicas, want %d", id, running, truth.Tasks)
		}
		if len(truth.Dependencies) > 0 && job.rejectionStatus != 0 {
			add("%s: submission with dependencies got rejection status %d", id, job.rejectionStatus)
		}
	}
	for id, truth := range w.users.unsubmitted {
		if !w.users.neverSubmitted(truth) {
			add("%s: not submitted by the end: its submission still waits for dependencies", id)
		}
	}
	return unfinished
}
