package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// scenarioWriter generates the text of a random scenario.
type scenarioWriter struct {
	strings.Builder
	rng     *rand.Rand
	lastJob int
}

func (w *scenarioWriter) printf(format string, args ...any) { fmt.Fprintf(&w.Builder, format, args...) }

// event writes a line with an action and its time in seconds.
func (w *scenarioWriter) event(at float64, format string, args ...any) {
	w.printf("at %.2f %s\n", at, fmt.Sprintf(format, args...))
}

// newJobID returns the next unused job ID.
func (w *scenarioWriter) newJobID() string {
	w.lastJob++
	return fmt.Sprintf("job-%06d", w.lastJob)
}

// pick returns one of several words at random.
func (w *scenarioWriter) pick(words ...string) string { return words[w.rng.IntN(len(words))] }

// between returns a random number from least to most, both included.
func (w *scenarioWriter) between(least, most int) int { return least + w.rng.IntN(most-least+1) }
