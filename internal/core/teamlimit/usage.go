package teamlimit

import (
	"maps"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Usage tracks what the tasks of each team use. It counts nothing before the first Reset.
type Usage struct{ byTeam map[string]topology.Resources }

// IsCounting reports whether Reset was called, so that the usage is counted.
func (u *Usage) IsCounting() bool { return u.byTeam != nil }

// Reset sets the usage to zero. Regular recounts keep rounding errors of sums from accumulating.
func (u *Usage) Reset() { u.byTeam = map[string]topology.Resources{} }

// Add adds n tasks of a size to a team's usage; n may be negative.
func (u *Usage) Add(team string, task topology.Resources, n int) {
	if u.byTeam == nil {
		return
	}
	u.byTeam[team] = u.byTeam[team].Add(task.Times(n))
}

// Snapshot returns a copy of the usage by team.
func (u *Usage) Snapshot() map[string]topology.Resources { return maps.Clone(u.byTeam) }

// ForTeam returns what a team uses.
func (u *Usage) ForTeam(team string) topology.Resources { return u.byTeam[team] }
