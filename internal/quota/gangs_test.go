package quota

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// simTeam is the team of the simulations with one team.
const simTeam = "team-0"

// settleTime is when all regions of a simulation have verified their ledgers.
const settleTime = 8 * time.Second

// runGangs submits a gang to each region and returns when each of them started.
func runGangs(t *testing.T, s *simulation, gpus float64, within time.Duration) []time.Duration {
	t.Helper()
	s.run(settleTime)
	for _, region := range s.regions {
		region.demands[simTeam] = balance.Demand{Gang: amount.Of(0, gpus), GangPriority: 1}
		region.leader.manager.DemandChanged()
	}
	started := make([]time.Duration, len(s.regions))
	from := s.now
	for s.now < from+within {
		s.run(s.now + testTickInterval)
		for i, region := range s.regions {
			if started[i] == 0 && region.demands[simTeam].Gang.IsZero() {
				started[i] = s.now - from
			}
		}
	}
	for i, region := range s.regions {
		if started[i] == 0 {
			t.Errorf("the gang in %s did not start within %v", region.name, within)
		}
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
	return started
}

// TestGangsWithHalves submits gangs to two regions, each of which owns half of what either gang
// needs: one starts, then the other.
func TestGangsWithHalves(t *testing.T) {
	s := newSimulation(1, testPlan(2, 1, 16))
	t.Log(runGangs(t, s, 14, 60*time.Second))
}

// TestGangsOf512 submits gangs of 512 to five regions, each of which needs all that is not
// guaranteed elsewhere.
func TestGangsOf512(t *testing.T) {
	s := newSimulation(2, testPlan(5, 1, 640))
	t.Log(runGangs(t, s, 512, 200*time.Second))
}

// TestBlockedGangHoldsNothing submits a gang that can never start: what its region could spare goes
// to another region's single tasks.
func TestBlockedGangHoldsNothing(t *testing.T) {
	s := newSimulation(3, testPlan(2, 1, 16))
	s.run(settleTime)
	withGang, withTasks := s.regions[0], s.regions[1]
	withGang.demands[simTeam] = balance.Demand{Gang: amount.Of(0, 16), GangPriority: 3}
	withTasks.demands[simTeam] = balance.Demand{Shortfall: amount.Of(0, 14)}
	withTasks.leader.manager.DemandChanged()
	s.run(s.now + 3*time.Second)
	if used := withTasks.leader.used[simTeam]; used.GPUs < amount.Of(0, 13).GPUs {
		t.Errorf("%v are in use beside a gang that cannot start, want 14 GPUs", used)
	}
}

// TestLastShare demands the last GPU in five regions at the same moment: one gets it.
func TestLastShare(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, testPlan(5, 1, 20))
		s.run(settleTime)
		for i, region := range s.regions { // all but one GPU of the limit is in use for long
			used := amount.Of(0, 4)
			if i == 0 {
				used = amount.Of(0, 3)
			}
			region.used[simTeam], region.leader.used[simTeam] = used, used
		}
		for _, region := range s.regions {
			region.demands[simTeam] = balance.Demand{Shortfall: taskSize}
			region.leader.manager.DemandChanged()
			region.leader.grantAll()
		}
		s.run(s.now + 900*time.Millisecond)
		if s.grants != 1 || len(s.violations) > 0 {
			t.Errorf("seed %d: %d grants of the last GPU, %v", seed, s.grants, s.violations)
		}
	}
}

// TestEveryTeamAtItsLimit demands more than the limits of 82 teams in five regions, and in one that
// joined the file and owned nothing: it gets shares like the others.
func TestEveryTeamAtItsLimit(t *testing.T) {
	const teams, gpus = 82, 10
	s := newSimulation(4, testPlan(5, teams, gpus))
	s.run(settleTime)
	joined := s.joinRegion(t, "region-5")
	for _, region := range s.regions {
		for _, team := range s.plan.Teams {
			region.demands[team.Name] = balance.Demand{Shortfall: amount.Of(0, gpus), Priority: 1}
		}
	}
	s.run(s.now + 30*time.Second)
	for _, violation := range s.violations {
		t.Error(violation)
	}
	atLimit, shared := 0, 0
	for _, team := range s.plan.Teams {
		if s.peakUse[team.Name].GPUs == amount.Of(0, gpus).GPUs {
			atLimit++
		}
		if share, _ := joined.leader.manager.ledger.Share(team.Name); share.Owned.GPUs > 0 {
			shared++
		}
	}
	if atLimit < teams*9/10 {
		t.Errorf("%d of %d teams reached their limits", atLimit, teams)
	}
	if shared == 0 {
		t.Error("the region that joined owns nothing")
	}
}

// joinRegion adds a region that owns nothing to the file, and restarts all leaders with that file.
func (s *simulation) joinRegion(t *testing.T, name string) *simRegion {
	t.Helper()
	extended := *s.plan
	extended.Regions = append(append([]plan.Region{}, extended.Regions...), plan.Region{Name: name, Controllers: []string{"127.0.0.1:9999"}})
	s.plan = &extended
	joined := newSimRegion(s, name)
	s.regions = append(s.regions, joined)
	for _, region := range s.regions {
		region.crash(0)
	}
	joined.elect()
	s.run(s.now + 5*time.Second)
	for _, region := range s.regions {
		if !region.leader.manager.ledgerVerified() {
			t.Fatalf("the ledger of %s is not verified after a region has joined", region.name)
		}
	}
	return joined
}
