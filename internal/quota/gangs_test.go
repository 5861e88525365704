package quota

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// simTeam is the first team of a simulation.
const simTeam = "team-0"

// settleTime is the time at which all regions of a simulation have verified their ledgers.
const settleTime = 8 * time.Second

// runGangs submits a gang to each region and returns how long each of them took to start.
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
			t.Errorf("gang in %s: not started, want a start within %v", region.name, within)
		}
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
	return started
}

// TestTwoGangsCompete submits a gang to each of two regions. Each gang needs more than half of the
// limit, so that one must start after the other instead of both waiting with a part of it.
func TestTwoGangsCompete(t *testing.T) {
	s := newSimulation(1, testPlan(2, 1, 16))
	t.Log(runGangs(t, s, 14, 60*time.Second))
}

// TestFiveGangsCompete submits a gang of 512 GPUs to each of five regions. Each gang needs the whole
// limit except for the guarantees of the other regions, so that they must start one after the other.
func TestFiveGangsCompete(t *testing.T) {
	s := newSimulation(2, testPlan(5, 1, 640))
	t.Log(runGangs(t, s, 512, 200*time.Second))
}

// TestGangThatCannotStartReservesNothing submits a gang that can never start, since a part of the
// limit is guaranteed elsewhere. Its region must grant what it can spare to the single tasks of
// another region.
func TestGangThatCannotStartReservesNothing(t *testing.T) {
	s := newSimulation(3, testPlan(2, 1, 16))
	s.run(settleTime)
	withGang, withTasks := s.regions[0], s.regions[1]
	withGang.demands[simTeam] = balance.Demand{Gang: amount.Of(0, 16), GangPriority: 3}
	withTasks.demands[simTeam] = balance.Demand{Shortfall: amount.Of(0, 14)}
	withTasks.leader.manager.DemandChanged()
	s.run(s.now + 3*time.Second)
	if used := withTasks.leader.used[simTeam]; used.GPUs < amount.Of(0, 13).GPUs {
		t.Errorf("in use in another region than that of a gang that cannot start: got %v, want at least 13 GPUs", used)
	}
}

// TestConcurrentDemandForLastGPU demands the last GPU of the limit in five regions at the same time:
// exactly one task starts.
func TestConcurrentDemandForLastGPU(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, testPlan(5, 1, 20))
		s.run(settleTime)
		for i, region := range s.regions { // long-running tasks use all but one GPU of the limit
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
			t.Errorf("seed %d: got %d grants of the last GPU and violations %v, want one grant and no violation", seed, s.grants, s.violations)
		}
	}
}

// TestEveryTeamAtItsLimit demands the limits of 82 teams in each of six regions, of which one was
// added to the regions file later and owned nothing: teams reach their limits, and the added region
// receives shares.
func TestEveryTeamAtItsLimit(t *testing.T) {
	const teams, gpus = 82, 10
	s := newSimulation(4, testPlan(5, teams, gpus))
	s.run(settleTime)
	joined := s.addRegion(t, "region-5")
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
		t.Errorf("got %d of %d teams that reached their limits, want at least 90%%", atLimit, teams)
	}
	if shared == 0 {
		t.Error("added region: owns no GPUs of any team, want a share of at least one")
	}
}

// addRegion adds a region that owns nothing to the regions file, and restarts all leaders with that
// file.
func (s *simulation) addRegion(t *testing.T, name string) *simRegion {
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
			t.Fatalf("ledger of %s: not verified 5 s after a region was added", region.name)
		}
	}
	return joined
}
