package scheduler

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// BestEffortTeams returns the names of the teams without a guarantee, if any other team has one.
// Their jobs get the capacity that the others leave.
func BestEffortTeams(teams []config.Team) map[string]bool {
	bestEffort := map[string]bool{}
	if !slices.ContainsFunc(teams, func(t config.Team) bool { return !guaranteeOf(&t).IsZero() }) {
		return bestEffort
	}
	for i := range teams {
		if guaranteeOf(&teams[i]).IsZero() {
			bestEffort[teams[i].Name] = true
		}
	}
	return bestEffort
}

// AnyGuaranteeFor reports whether any team has a guarantee of a resource that a job uses.
func AnyGuaranteeFor(teams []config.Team, job *wire.Job) bool {
	return slices.ContainsFunc(teams, func(t config.Team) bool {
		return t.CPUs > 0 && job.CPUs > 0 || t.GPUs > 0 && job.GPUs > 0
	})
}

// guaranteeOf returns a team's guarantee from the settings.
func guaranteeOf(t *config.Team) teamlimit.Guarantee {
	return teamlimit.Guarantee{CPUs: t.CPUs, GPUs: t.GPUs}
}

// guarantees returns each team's guarantee by name. If two teams have the same name, the first one
// counts.
func guarantees(teams []config.Team) map[string]teamlimit.Guarantee {
	byTeam := make(map[string]teamlimit.Guarantee, len(teams))
	for i := range teams {
		if _, known := byTeam[teams[i].Name]; !known {
			byTeam[teams[i].Name] = guaranteeOf(&teams[i])
		}
	}
	return byTeam
}

// markWithinQuota sets WithinQuota of the jobs that fit into their team's guarantee in addition to
// the team's earlier jobs. A job that is being cancelled or waits for dependencies is not within
// quota and claims no part of the guarantee.
func (s *Scheduler) markWithinQuota() {
	claims := teamlimit.NewClaims(guarantees(s.deployment.Teams))
	for _, job := range s.state.JobsBySubmission {
		if job.Cancellation.Requested() || job.AwaitingDependencies {
			job.WithinQuota = false
			continue
		}
		n := float64(len(job.TaskStates) - job.TasksDone)
		job.WithinQuota = claims.Claim(job.Team, topology.Resources{CPUs: job.CPUs * n, GPUs: job.GPUs * n})
	}
}
