package topology

// Resources are amounts of a machine's resources.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// tolerance makes up for the rounding of sums.
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

// Less orders amounts by the scarcest resource first.
func (r Resources) Less(o Resources) bool {
	if r.GPUs != o.GPUs {
		return r.GPUs < o.GPUs
	}
	if r.CPUs != o.CPUs {
		return r.CPUs < o.CPUs
	}
	return r.MemGB < o.MemGB
}

// Fit returns how many tasks of a size fit into r, at most limit.
func (r Resources) Fit(task Resources, limit int) int {
	n := min(fitOne(r.CPUs, task.CPUs, limit), fitOne(r.GPUs, task.GPUs, limit), fitOne(r.MemGB, task.MemGB, limit))
	return max(n, 0)
}

// fitOne returns how many times an amount of one resource fits into another, at most limit.
func fitOne(have, want float64, limit int) int {
	if want <= 0 {
		return limit
	}
	// Compared before the conversion to an integer: of a tiny amount more fit than an integer
	// holds.
	if n := (have + tolerance) / want; n < float64(limit) {
		return int(n)
	}
	return limit
}
