package teamlimit

import (
	"maps"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Usage is what the tasks of each team use. Until the first Reset it counts nothing.
type Usage struct{ byTeam map[string]topology.Resources }

// Started reports whether the usage is counted.
func (u *Usage) Started() bool { return u.byTeam != nil }

// Reset begins to count from zero, so that rounding errors of sums do not add up.
func (u *Usage) Reset() { u.byTeam = map[string]topology.Resources{} }

// Add adds n tasks of a size to what a team uses; n may be negative.
func (u *Usage) Add(team string, task topology.Resources, n int) {
	if u.byTeam == nil {
		return
	}
	u.byTeam[team] = u.byTeam[team].Add(task.Times(n))
}

// Snapshot is a copy of what each team uses, by team.
func (u *Usage) Snapshot() map[string]topology.Resources { return maps.Clone(u.byTeam) }

// ForTeam is what a team uses.
func (u *Usage) ForTeam(team string) topology.Resources { return u.byTeam[team] }
