package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// dayWriter generates the text of a random scenario.
type dayWriter struct {
	strings.Builder
	rng     *rand.Rand
	lastJob int
}

func (d *dayWriter) printf(format string, args ...any) { fmt.Fprintf(&d.Builder, format, args...) }

// event writes a line with an action and its time in seconds.
func (d *dayWriter) event(at float64, format string, args ...any) {
	d.printf("at %.2f %s\n", at, fmt.Sprintf(format, args...))
}

// newJobID returns the next unused job ID.
func (d *dayWriter) newJobID() string {
	d.lastJob++
	return fmt.Sprintf("job-%06d", d.lastJob)
}

// pick returns one of several words at random.
func (d *dayWriter) pick(words ...string) string { return words[d.rng.IntN(len(words))] }

// between returns a random number from least to most, both included.
func (d *dayWriter) between(least, most int) int { return least + d.rng.IntN(most-least+1) }
