// Package amount represents quantities of CPUs and GPUs in whole thousandths, so that transfers
// between regions add up exactly. It is stateless arithmetic, used by all packages of quota and by
// internal/core.
package amount

import (
	"math"
	"strconv"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// ThousandthsPerUnit is the number of thousandths in one CPU or GPU.
const ThousandthsPerUnit = 1000

// Unlimited is the amount of a resource without a limit. It is never transferred. It is far enough
// below the maximum of int64 that sums of several unlimited amounts do not overflow.
const Unlimited = math.MaxInt64 / 8

// Amount is a quantity of CPUs and GPUs, in thousandths of each.
type Amount struct {
	CPUs int64 `json:"c"`
	GPUs int64 `json:"g"`
}

// Of converts numbers of CPUs and GPUs to an Amount, rounded to the nearest thousandth.
func Of(cpus, gpus float64) Amount { return Amount{round(cpus), round(gpus)} }

// OfResources converts the resources that tasks use, rounded up so that usage is never
// undercounted.
func OfResources(r topology.Resources) Amount { return Amount{roundUp(r.CPUs), roundUp(r.GPUs)} }

func round(units float64) int64 { return int64(math.Round(units * ThousandthsPerUnit)) }

// roundingError is the floating-point error of sums, in thousandths, that does not cause rounding up.
const roundingError = 1e-3

func roundUp(units float64) int64 { return int64(math.Ceil(units*ThousandthsPerUnit - roundingError)) }

// Add returns a+b.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns a-b.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max returns the larger amount of each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// NonNegative returns the amount with negative values replaced by 0.
func (a Amount) NonNegative() Amount { return a.Max(Amount{}) }

// Divide returns the amount divided by n, rounded towards 0.
func (a Amount) Divide(n int64) Amount { return Amount{a.CPUs / n, a.GPUs / n} }

// WholeUnits returns the amount rounded towards 0 to whole CPUs and GPUs.
func (a Amount) WholeUnits() Amount {
	return Amount{a.CPUs - a.CPUs%ThousandthsPerUnit, a.GPUs - a.GPUs%ThousandthsPerUnit}
}

// Covers reports whether a is at least b in each resource.
func (a Amount) Covers(b Amount) bool { return a.CPUs >= b.CPUs && a.GPUs >= b.GPUs }

// IsZero reports whether the amount is 0 for both resources.
func (a Amount) IsZero() bool { return a == Amount{} }

// IsNegative reports whether the amount is below 0 for any resource.
func (a Amount) IsNegative() bool { return a.CPUs < 0 || a.GPUs < 0 }

// Units returns the amount in CPUs and GPUs, +Inf where it is unlimited.
func (a Amount) Units() (cpus, gpus float64) { return units(a.CPUs), units(a.GPUs) }

// units converts thousandths to CPUs or GPUs. Anything from half of Unlimited counts as unlimited,
// since an unlimited resource remains unlimited after usage has been subtracted from it.
func units(thousandths int64) float64 {
	if thousandths >= Unlimited/2 {
		return math.Inf(1)
	}
	return float64(thousandths) / ThousandthsPerUnit
}

// String formats the amount for operators. The format never changes: stored records contain it in
// the reason of a fence, and fingerprints of regions files hash it.
func (a Amount) String() string {
	cpus, gpus := a.Units()
	return strconv.FormatFloat(cpus, 'g', -1, 64) + " CPUs, " + strconv.FormatFloat(gpus, 'g', -1, 64) + " GPUs"
}
