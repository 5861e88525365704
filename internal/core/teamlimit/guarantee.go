package teamlimit

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Guarantee is what a team is guaranteed, in CPUs and GPUs; 0 for nothing.
type Guarantee struct{ CPUs, GPUs float64 }

// IsZero tells whether a team is guaranteed nothing: its work gets what the other teams leave.
func (g Guarantee) IsZero() bool { return g.CPUs <= 0 && g.GPUs <= 0 }

// Claims tell which jobs lie within their team's guarantee along with the team's jobs
// before them. A resource for which no team has a guarantee is not guaranteed to anybody
// and does not count; a team without any guarantee has none of the work that takes nothing
// else either: where only GPUs are guaranteed, such a team's work without GPUs passed for
// guaranteed and went ahead of the other teams'.
type Claims struct {
	guarantees map[string]Guarantee
	cpus, gpus bool // somebody is guaranteed some
	claimed    map[string]topology.Resources
}

// NewClaims begins with nothing claimed of the guarantees, by team.
func NewClaims(guarantees map[string]Guarantee) *Claims {
	c := &Claims{guarantees: guarantees, claimed: map[string]topology.Resources{}}
	for _, g := range guarantees {
		c.cpus = c.cpus || g.CPUs > 0
		c.gpus = c.gpus || g.GPUs > 0
	}
	return c
}

// Claim claims an amount for a team's next job and tells whether it still lies within the
// guarantee.
func (c *Claims) Claim(team string, amount topology.Resources) bool {
	g, known := c.guarantees[team]
	if !known || g.IsZero() {
		return false
	}
	sum := c.claimed[team].Add(amount)
	c.claimed[team] = sum
	return (!c.cpus || sum.CPUs <= g.CPUs+tolerance) && (!c.gpus || sum.GPUs <= g.GPUs+tolerance)
}
