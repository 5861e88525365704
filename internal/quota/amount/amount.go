// Package amount holds sums of CPUs and GPUs as whole thousandths, so that what regions
// hand to each other adds up exactly.
package amount

import (
	"math"
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// partsPerUnit is how many parts a CPU or GPU has.
const partsPerUnit = 1000

// Unlimited stands for a resource that a team's ceiling does not bound. It never moves.
const Unlimited = math.MaxInt64 / 8

// Amount is a number of CPUs and GPUs, each in thousandths.
type Amount struct {
	CPUs int64 `json:"c"`
	GPUs int64 `json:"g"`
}

// Of is the amount of so many CPUs and GPUs, rounded to thousandths.
func Of(cpus, gpus float64) Amount { return Amount{round(cpus), round(gpus)} }

// OfResources is what resources take, rounded up: a use is never counted for less than it is.
func OfResources(r topology.Resources) Amount { return Amount{roundUp(r.CPUs), roundUp(r.GPUs)} }

func round(v float64) int64 { return int64(math.Round(v * partsPerUnit)) }

// roundingError is what sums of floating-point numbers may be off by, in thousandths.
const roundingError = 1e-3

func roundUp(v float64) int64 { return int64(math.Ceil(v*partsPerUnit - roundingError)) }

// Add returns a+b.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns a-b.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Min is the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max is the larger amount of each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative is the amount with 0 in place of what is below.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Divide is one nth of the amount.
func (a Amount) Divide(n int64) Amount { return Amount{a.CPUs / n, a.GPUs / n} }

// WholeUnits is the amount without parts of a CPU or GPU.
func (a Amount) WholeUnits() Amount {
	return Amount{a.CPUs - a.CPUs%partsPerUnit, a.GPUs - a.GPUs%partsPerUnit}
}

// Covers tells whether a is at least b in each resource.
func (a Amount) Covers(b Amount) bool { return a.CPUs >= b.CPUs && a.GPUs >= b.GPUs }

// IsZero tells whether it is nothing.
func (a Amount) IsZero() bool { return a == Amount{} }

// IsNegative tells whether it is below 0 in any resource.
func (a Amount) IsNegative() bool { return a.CPUs < 0 || a.GPUs < 0 }

// Units is the amount as numbers of CPUs and GPUs, +Inf where it is unlimited.
func (a Amount) Units() (cpus, gpus float64) { return units(a.CPUs), units(a.GPUs) }

func units(v int64) float64 {
	if v >= Unlimited/2 {
		return math.Inf(1)
	}
	return float64(v) / partsPerUnit
}

// String writes it for operators.
func (a Amount) String() string {
	cpus, gpus := a.Units()
	return strconv.FormatFloat(cpus, 'g', -1, 64) + " CPUs, " + strconv.FormatFloat(gpus, 'g', -1, 64) + " GPUs"
}
