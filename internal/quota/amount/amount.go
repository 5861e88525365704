// Package amount holds amounts of CPUs and GPUs as whole thousandths, so that what regions transfer
// to each other adds up exactly. It is arithmetic without state; all packages of quota, and
// internal/core, use it.
package amount

import (
	"math"
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// PartsPerUnit is how many parts a CPU or GPU has.
const PartsPerUnit = 1000

// Unlimited is the amount of a resource without a limit. It is never transferred. Sums of several stay
// below the largest number.
const Unlimited = math.MaxInt64 / 8

// Amount is a number of CPUs and GPUs, each in thousandths.
type Amount struct {
	CPUs int64 `json:"c"`
	GPUs int64 `json:"g"`
}

// Of converts numbers of CPUs and GPUs, rounded to thousandths.
func Of(cpus, gpus float64) Amount { return Amount{round(cpus), round(gpus)} }

// OfResources converts what tasks use, rounded up: a use is never counted for less than it is.
func OfResources(r topology.Resources) Amount { return Amount{roundUp(r.CPUs), roundUp(r.GPUs)} }

func round(units float64) int64 { return int64(math.Round(units * PartsPerUnit)) }

// roundingError is how far sums of floating-point numbers may be off, in thousandths.
const roundingError = 1e-3

func roundUp(units float64) int64 { return int64(math.Ceil(units*PartsPerUnit - roundingError)) }

// Add returns a+b.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns a-b.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger amount of each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative returns the amount with 0 in place of negative numbers.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Divide returns one nth of the amount, rounded towards 0.
func (a Amount) Divide(n int64) Amount { return Amount{a.CPUs / n, a.GPUs / n} }

// WholeUnits returns the amount rounded towards 0 to whole CPUs and GPUs.
func (a Amount) WholeUnits() Amount {
	return Amount{a.CPUs - a.CPUs%PartsPerUnit, a.GPUs - a.GPUs%PartsPerUnit}
}

// Covers reports whether a is at least b in each resource.
func (a Amount) Covers(b Amount) bool { return a.CPUs >= b.CPUs && a.GPUs >= b.GPUs }

// IsZero reports whether the amount is 0 of each resource.
func (a Amount) IsZero() bool { return a == Amount{} }

// IsNegative reports whether the amount is below 0 in any resource.
func (a Amount) IsNegative() bool { return a.CPUs < 0 || a.GPUs < 0 }

// Units returns the amount in CPUs and GPUs, +Inf where it is unlimited.
func (a Amount) Units() (cpus, gpus float64) { return units(a.CPUs), units(a.GPUs) }

// units converts thousandths. What is left of an unlimited resource after any use counts as
// unlimited.
func units(parts int64) float64 {
	if parts >= Unlimited/2 {
		return math.Inf(1)
	}
	return float64(parts) / PartsPerUnit
}

// String returns the amount for operators. The reason of a fence in a stored record may have it,
// and fingerprints of regions files hash it, so its form never changes.
func (a Amount) String() string {
	cpus, gpus := a.Units()
	return strconv.FormatFloat(cpus, 'g', -1, 64) + " CPUs, " + strconv.FormatFloat(gpus, 'g', -1, 64) + " GPUs"
}
