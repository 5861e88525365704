package teamlimit

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Guarantee is the capacity that a team is guaranteed, in CPUs and GPUs; 0 for none.
type Guarantee struct{ CPUs, GPUs float64 }

// IsZero reports whether a team has no guarantee.
func (g Guarantee) IsZero() bool { return g.CPUs <= 0 && g.GPUs <= 0 }

// Claims determines which jobs are within quota: those that fit into their team's guarantee in
// addition to the team's earlier jobs. A resource of which no team has a guarantee is ignored. A
// team without any guarantee never has a job within quota: otherwise, where only GPUs are
// guaranteed, its jobs without GPUs would count as guaranteed and come before those of other teams.
type Claims struct {
	guarantees map[string]Guarantee
	anyCPUs    bool // some team has a guarantee of CPUs
	anyGPUs    bool // some team has a guarantee of GPUs
	claimed    map[string]topology.Resources
}

// NewClaims returns Claims with nothing claimed yet. guarantees is by team.
func NewClaims(guarantees map[string]Guarantee) *Claims {
	c := &Claims{guarantees: guarantees, claimed: map[string]topology.Resources{}}
	for _, g := range guarantees {
		c.anyCPUs = c.anyCPUs || g.CPUs > 0
		c.anyGPUs = c.anyGPUs || g.GPUs > 0
	}
	return c
}

// Claim adds an amount for a team's next job and reports whether the job is within quota. A job
// beyond quota counts towards the sum as well.
func (c *Claims) Claim(team string, amount topology.Resources) bool {
	g, known := c.guarantees[team]
	if !known || g.IsZero() {
		return false
	}
	sum := c.claimed[team].Add(amount)
	c.claimed[team] = sum
	return (!c.anyCPUs || sum.CPUs <= g.CPUs+tolerance) && (!c.anyGPUs || sum.GPUs <= g.GPUs+tolerance)
}
