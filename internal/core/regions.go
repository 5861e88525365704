package core

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// regions is a controller's state of the limits that are shared by several regions, see package
// quota. quota_host.go connects the quota manager to the leader.
type regions struct {
	plan            *plan.Plan      // nil if limits are not shared
	self            string          // name of this region
	sharedTeams     map[string]bool // teams in the regions file
	managersCreated uint64          // number of quota managers that this process has created
}

// JoinRegions makes the teams of a regions file share their limits with other regions. It must be
// called before the first step. The file's limits and its guarantees in this region replace those
// of the settings. Teams that are not in the file keep theirs.
func (c *Core) JoinRegions(regionPlan *plan.Plan, self string) {
	c.regions = regions{plan: regionPlan, self: self, sharedTeams: map[string]bool{}}
	settings := *c.settings
	settings.Deployment.Teams = append([]config.Team(nil), settings.Deployment.Teams...)
	c.settings = &settings
	for i := range regionPlan.Teams {
		team := &regionPlan.Teams[i]
		c.regions.sharedTeams[team.Name] = true
		planned := regionalTeam(team, self)
		if configured := c.team(team.Name); configured != nil {
			*configured = planned
		} else {
			settings.Deployment.Teams = append(settings.Deployment.Teams, planned)
		}
	}
}

// regionalTeam returns a team's settings in one region: its limit over all regions and its
// guarantee in that region.
func regionalTeam(team *plan.Team, region string) config.Team {
	share := team.Share(region)
	return config.Team{
		Name:    team.Name,
		CPUs:    share.CPUs,
		CPUsMax: team.CPUsMax,
		GPUs:    share.GPUs,
		GPUsMax: team.GPUsMax,
	}
}

// RegionInput is a message from another region.
type RegionInput struct {
	Message *wire.RegionMessage
}

// apply passes the message to the leader, forwarding it if the leader is a peer.
func (r RegionInput) apply(c *Core) {
	leader := c.election.Leader()
	switch {
	case c.regions.plan == nil:
	case c.leader != nil:
		c.leader.onRegionMessage(r.Message)
	case leader != "" && leader != c.settings.Name:
		c.send(leader, &wire.PeerMessage{Region: r.Message})
	}
}

// onRegionMessage handles a message from another region. It is dropped until the records are
// loaded.
func (l *leader) onRegionMessage(message *wire.RegionMessage) {
	if l.quota != nil && message != nil {
		l.quota.Receive(message)
	}
}
