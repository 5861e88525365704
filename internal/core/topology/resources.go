package topology

// Resources are amounts of CPUs, GPUs and memory.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// tolerance allows for rounding errors in sums.
const tolerance = 1e-6

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemGB + o.MemGB}
}

// Sub returns r-o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemGB - o.MemGB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	factor := float64(n)
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemGB * factor}
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.CPUs <= r.CPUs+tolerance && o.GPUs <= r.GPUs+tolerance && o.MemGB <= r.MemGB+tolerance
}

// Less compares amounts by GPUs, the scarcest resource, then by CPUs and memory.
func (r Resources) Less(o Resources) bool {
	if r.GPUs != o.GPUs {
		return r.GPUs < o.GPUs
	}
	if r.CPUs != o.CPUs {
		return r.CPUs < o.CPUs
	}
	return r.MemGB < o.MemGB
}

// Fit returns how many tasks of a size fit into r, up to limit.
func (r Resources) Fit(task Resources, limit int) int {
	n := min(fitCount(r.CPUs, task.CPUs, limit), fitCount(r.GPUs, task.GPUs, limit), fitCount(r.MemGB, task.MemGB, limit))
	return max(n, 0)
}

// fitCount returns how many times a requested amount of one resource fits into what is available,
// up to limit.
func fitCount(available, requested float64, limit int) int {
	if requested <= 0 {
		return limit
	}
	// The limit is compared before the conversion: for a tiny request the quotient overflows an
	// integer.
	if n := (available + tolerance) / requested; n < float64(limit) {
		return int(n)
	}
	return limit
}
