package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// dayWriter writes the scenario of a random day.
type dayWriter struct {
	strings.Builder
	rng     *rand.Rand
	lastJob int
}

// printf writes text.
func (d *dayWriter) printf(format string, args ...any) { fmt.Fprintf(&d.Builder, format, args...) }

// event writes the line of an action at a time in seconds.
func (d *dayWriter) event(at float64, format string, args ...any) {
	d.printf("at %.2f %s\n", at, fmt.Sprintf(format, args...))
}

// newJobID is the ID of the next job.
func (d *dayWriter) newJobID() string {
	d.lastJob++
	return fmt.Sprintf("job-%06d", d.lastJob)
}

// pick chooses one of several words.
func (d *dayWriter) pick(words ...string) string { return words[d.rng.IntN(len(words))] }

// between draws a number between two, including both.
func (d *dayWriter) between(least, most int) int { return least + d.rng.IntN(most-least+1) }
