package quota

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// soakRuns is the number of random days to simulate: the default, or BROOKWALK_SOAK if it is set.
func soakRuns(defaultRuns int) int {
	if n, err := strconv.Atoi(os.Getenv("BROOKWALK_SOAK")); err == nil {
		return n
	}
	return defaultRuns
}

// testPlan divides the limits of teams evenly among regions; a quarter of each region's share is
// guaranteed.
func testPlan(regions, teams int, gpus float64) *plan.Plan {
	p := &plan.Plan{}
	for i := range regions {
		p.Regions = append(p.Regions, plan.Region{Name: fmt.Sprint("region-", i), Controllers: []string{fmt.Sprint("127.0.0.1:", 9000+i)}})
	}
	for i := range teams {
		team := plan.Team{Name: fmt.Sprint("team-", i), GPUsMax: gpus}
		for _, region := range p.Regions {
			share := gpus / float64(regions)
			team.Shares = append(team.Shares, plan.Share{Region: region.Name, GPUs: share / 4, GPUsOwned: share})
		}
		p.Teams = append(p.Teams, team)
	}
	return p
}

// partition drops messages from one region to another for a random time below a bound.
func (s *simulation) partition(from, to *simRegion, bound time.Duration) {
	s.partitions[from.name+">"+to.name] = s.now + s.randomDuration(bound)
}

func (s *simulation) randomRegion() *simRegion { return s.regions[s.rng.IntN(len(s.regions))] }

// injectFailures injects random failures, one after the other, until a time.
func (s *simulation) injectFailures(until time.Duration) {
	if s.now >= until {
		return
	}
	region := s.randomRegion()
	switch s.rng.IntN(8) {
	case 0, 1:
		region.crash(s.randomDuration(3 * time.Second))
	case 2:
		region.pause(time.Second + s.randomDuration(10*time.Second))
	case 3, 4:
		other := s.randomRegion()
		s.partition(region, other, 20*time.Second)
		if s.rng.IntN(2) == 0 {
			s.partition(other, region, 20*time.Second)
		}
	case 5:
		region.outageUntil = s.now + s.randomDuration(6*time.Second)
	case 6: // two leaders crash at the same time
		region.crash(s.randomDuration(time.Second))
		s.randomRegion().crash(s.randomDuration(time.Second))
	case 7:
		s.partitionManyLinks()
	}
	s.after(200*time.Millisecond+s.randomDuration(4*time.Second), func() { s.injectFailures(until) })
}

// partitionManyLinks partitions two thirds of all links.
func (s *simulation) partitionManyLinks() {
	for _, from := range s.regions {
		for _, to := range s.regions {
			if s.rng.IntN(3) > 0 {
				s.partition(from, to, 15*time.Second)
			}
		}
	}
}

// submitBursts repeatedly submits work to all regions at the same time, until a time.
func (s *simulation) submitBursts(until time.Duration) {
	if s.now >= until {
		return
	}
	for _, team := range s.plan.Teams {
		for _, region := range s.regions {
			region.demands[team.Name] = s.increaseDemand(region.demands[team.Name], team.GPUsMax)
			if leader := region.leader; leader != nil {
				leader.whenRunning(func() { leader.manager.DemandChanged(); leader.grantAll() })
			}
		}
	}
	s.after(s.randomDuration(5*time.Second), func() { s.submitBursts(until) })
}

// increaseDemand adds single tasks to a demand, and sometimes a gang.
func (s *simulation) increaseDemand(demand balance.Demand, limit float64) balance.Demand {
	more := amount.Of(0, float64(s.rng.IntN(int(limit)/2)))
	demand.Shortfall = demand.Shortfall.Add(more).Min(amount.Of(0, limit))
	if demand.Gang.IsZero() && s.rng.IntN(6) == 0 {
		demand.Gang, demand.GangPriority = amount.Of(0, limit/2), s.rng.IntN(4)
	}
	demand.Priority = s.rng.IntN(4)
	return demand
}

// setLossRates sets the rates at which messages and answers are lost, repeated and delayed.
func (s *simulation) setLossRates() {
	s.lossRate, s.repeatRate, s.delayRate, s.lostAnswerRate = 0.05, 0.1, 0.02, 0.1
}

// clearLossRates sets the rates of lost, repeated and delayed messages and answers to 0.
func (s *simulation) clearLossRates() {
	s.lossRate, s.repeatRate, s.delayRate, s.lostAnswerRate = 0, 0, 0, 0
}

// runRandomDay simulates a day, of 110 s, with bursts of work and failures.
func runRandomDay(seed uint64, optimistic bool) *simulation {
	s := newSimulation(seed, testPlan(2+int(seed%4), 3, 48))
	s.optimistic = optimistic
	s.setLossRates()
	s.after(3*time.Second, func() { s.submitBursts(100 * time.Second) })
	s.after(5*time.Second, func() { s.injectFailures(90 * time.Second) })
	s.run(110 * time.Second)
	return s
}

// checkViolations fails the test for each violation of a simulation.
func checkViolations(t *testing.T, s *simulation, seed uint64) {
	t.Helper()
	for _, violation := range s.violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// TestLimitHolds combines concurrent decisions of regions with failures of every kind. No limit may
// be exceeded, and the recorded shares must add up after every change.
func TestLimitHolds(t *testing.T) {
	grants := 0
	for seed := range uint64(soakRuns(40)) {
		s := runRandomDay(seed, false)
		checkViolations(t, s, seed)
		grants += s.grants
		if s.grants == 0 {
			t.Errorf("seed %d: got no grants, want at least one", seed)
		}
	}
	t.Logf("%d grants", grants)
}

// TestBaselineOvershoots simulates the days of TestLimitHolds with gossiped counts instead of
// ledgers. Limits must be exceeded, which shows that these days and checks can detect it.
func TestBaselineOvershoots(t *testing.T) {
	daysExceeded, maxRatio := 0, 0.0
	days := soakRuns(40)
	for seed := range uint64(days) {
		s := runRandomDay(seed, true)
		if len(s.violations) > 0 {
			daysExceeded++
		}
		for _, team := range s.plan.Teams {
			_, gpus := s.peakUse[team.Name].Units()
			maxRatio = max(maxRatio, gpus/team.GPUsMax)
		}
	}
	t.Logf("exceeded on %d of %d days, at the most %.2f times the limit", daysExceeded, days, maxRatio)
	if daysExceeded == 0 {
		t.Error("the baseline never exceeded a limit, want it on at least one day")
	}
}

// TestSharesRecover ends all failures and all work, and then demands every limit in one region. The
// region must receive all shares that are not guaranteed elsewhere.
func TestSharesRecover(t *testing.T) {
	for seed := range uint64(soakRuns(20)) {
		s := newSimulation(seed, testPlan(2+int(seed%4), 3, 48))
		s.setLossRates()
		s.after(3*time.Second, func() { s.submitBursts(60 * time.Second) })
		s.after(5*time.Second, func() { s.injectFailures(60 * time.Second) })
		s.run(100 * time.Second)
		s.clearLossRates()
		s.noNewWork = true
		s.run(150 * time.Second) // long enough for all tasks to end
		last := s.regions[len(s.regions)-1]
		s.demandOnlyIn(last)
		s.run(160 * time.Second)
		for _, team := range s.plan.Teams {
			want := amount.Of(0, team.GPUsMax)
			for _, other := range s.regions[:len(s.regions)-1] {
				share, _ := other.leader.manager.ledger.Share(team.Name)
				want = want.Sub(share.Guarantee)
			}
			if got := last.leader.manager.Limit(team.Name); got.GPUs < want.GPUs {
				t.Errorf("seed %d: limit of %s: got %v in %s, want at least %v", seed, team.Name, got, last.name, want)
			}
		}
		checkViolations(t, s, seed)
	}
}

// demandOnlyIn demands the whole limit of every team in one region, and nothing in the others.
func (s *simulation) demandOnlyIn(region *simRegion) {
	for _, other := range s.regions {
		clear(other.demands)
	}
	for _, team := range s.plan.Teams {
		region.demands[team.Name] = balance.Demand{Shortfall: amount.Of(0, team.GPUsMax), Priority: 1}
	}
	region.leader.manager.DemandChanged()
}

// TestRestoredStore replaces a region's ledger by an older copy, or deletes it, while shares are
// being transferred and tasks continue to run. No limit may be exceeded, and some region must notice
// that its ledger is older or missing.
func TestRestoredStore(t *testing.T) {
	fenced := 0
	for seed := range uint64(soakRuns(60)) {
		s := newSimulation(seed, testPlan(2+int(seed%3), 2, 48))
		s.setLossRates()
		s.after(3*time.Second, func() { s.submitBursts(100 * time.Second) })
		region := s.randomRegion()
		s.after(6*time.Second+s.randomDuration(25*time.Second), func() {
			if region.takeBackup(); seed%2 == 0 {
				region.backup = nil // the ledger will be deleted
			}
		})
		s.after(32*time.Second+s.randomDuration(10*time.Second), region.restoreBackup)
		if seed%3 == 0 {
			s.after(20*time.Second, func() { s.injectFailures(80 * time.Second) })
		}
		s.run(110 * time.Second)
		checkViolations(t, s, seed)
		if leader := region.leader; leader != nil && (leader.manager.fenced() || !leader.manager.ledgerComplete()) {
			fenced++
		}
	}
	t.Logf("%d regions were fenced or have no ledger", fenced)
	if fenced == 0 {
		t.Error("got no region that is fenced or without a ledger, want at least one that noticed its older or missing ledger")
	}
}

// restoreBackup stops all controllers of the region, as docs/quota.md requires, and replaces the
// ledger by the backup.
func (r *simRegion) restoreBackup() {
	r.sim.restored = true
	r.crash(500 * time.Millisecond)
	r.sim.after(100*time.Millisecond, r.applyBackup)
}
