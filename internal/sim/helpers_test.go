package sim

import (
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
)

// testLog writes everything to standard error if SIM_LOG is set, otherwise nothing.
func testLog() *slog.Logger {
	if os.Getenv("SIM_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// soakDays is how many random days a soak plays: a sample, or the number in BROOKWALK_SOAK.
func soakDays(sample int) int {
	if days, err := strconv.Atoi(os.Getenv("BROOKWALK_SOAK")); err == nil {
		return days
	}
	return sample
}

// soakSeeds are the seeds of a soak's random days, after those of days that once failed.
func soakSeeds(sample int, failedBefore ...uint64) []uint64 {
	seeds := failedBefore
	for seed := uint64(1); seed <= uint64(soakDays(sample)); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// playSeeds plays the day of each seed in a test of its own.
func playSeeds(t *testing.T, seeds []uint64, day func(seed uint64) string) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, day(seed))
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

// playScenario plays a scenario. No rule may be violated, and every expectation has to be met.
func playScenario(tb testing.TB, text string) *World {
	tb.Helper()
	world, faults := parseScenario(tb, text).Run(testLog())
	for _, fault := range faults {
		tb.Error(fault)
	}
	return world
}

// playDay plays a random day. No rule may be violated, and all work that can be done has to be
// done once the faults are over.
func playDay(t *testing.T, text string) {
	t.Helper()
	world, faults := parseScenario(t, text).Run(nil)
	for _, fault := range append(faults, world.unfinishedWork()...) {
		t.Error(fault)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// unfinishedWork lists what a random day has left undone.
func (w *World) unfinishedWork() (unfinished []string) {
	add := func(format string, args ...any) { unfinished = append(unfinished, fmt.Sprintf(format, args...)) }
	for _, id := range w.users.sortedIDs() {
		job, truth := w.users.jobs[id], w.jobs[id]
		running := w.runningTasks(id)
		switch {
		case !job.accepted && job.rejectionStatus == 0 && !job.excused:
			add("%s was never answered", id)
		case job.accepted && job.finalStatus == "" && truth.Shape != wire.ShapeService:
			add("%s is still %s", id, job.lastStatus.Status)
		case job.accepted && job.finalStatus == "" && running != truth.Tasks:
			add("%s: %d of %d replicas run", id, running, truth.Tasks)
		}
		if len(truth.Dependencies) > 0 && job.rejectionStatus != 0 {
			add("%s was refused with %d", id, job.rejectionStatus)
		}
	}
	for id, truth := range w.users.unsubmitted {
		if !w.users.neverSubmitted(truth) {
			add("%s still waits to be submitted", id)
		}
	}
	return unfinished
}
