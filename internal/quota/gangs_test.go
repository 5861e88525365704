package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// runGangs has a gang wait in each of some regions and returns when each began.
func runGangs(t *testing.T, w *simulation, regions []*simRegion, gpus float64, within time.Duration) []time.Duration {
	t.Helper()
	w.run(8 * time.Second)
	began := make([]time.Duration, len(regions))
	for _, r := range regions {
		r.demands["team-0"] = balance.Demand{Gang: amount.Of(0, gpus), GangPriority: 1}
		r.leader.m.DemandChanged()
	}
	from := w.now
	for w.now < from+within {
		w.run(w.now + testTickInterval)
		for i, r := range regions {
			if began[i] == 0 && r.demands["team-0"].Gang.IsZero() {
				began[i] = w.now - from
			}
		}
	}
	for i, r := range regions {
		if began[i] == 0 {
			t.Errorf("the gang in %s did not begin within %v", r.name, within)
		}
	}
	for _, f := range w.violations {
		t.Error(f)
	}
	return began
}

// TestGangsWithHalves has two gangs wait in two regions, each of which holds half of what
// either needs: one begins, then the other.
func TestGangsWithHalves(t *testing.T) {
	w := newSimulation(1, testPlan(2, 1, 16))
	t.Log(runGangs(t, w, w.regions, 14, 60*time.Second))
}

// TestGangsOf512 has five regions want all that is not guaranteed elsewhere for a gang of 512.
func TestGangsOf512(t *testing.T) {
	w := newSimulation(2, testPlan(5, 1, 640))
	t.Log(runGangs(t, w, w.regions, 512, 200*time.Second))
}

// TestBlockedGangHoldsNothing has a gang wait that can never begin: what is free in its region is at hand
// for another region's single tasks.
func TestBlockedGangHoldsNothing(t *testing.T) {
	w := newSimulation(3, testPlan(2, 1, 16))
	w.run(8 * time.Second)
	a, b := w.regions[0], w.regions[1]
	a.demands["team-0"] = balance.Demand{Gang: amount.Of(0, 16), GangPriority: 3}
	b.demands["team-0"] = balance.Demand{Shortfall: amount.Of(0, 14)}
	b.leader.m.DemandChanged()
	w.run(w.now + 3*time.Second)
	if used := b.leader.used["team-0"]; used.GPUs < amount.Of(0, 13).GPUs {
		t.Errorf("%v are in use beside a gang that cannot begin, want 14 GPUs", used)
	}
}

// TestLastShare has five regions want the last GPU at the same moment: one gets it.
func TestLastShare(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(seed, testPlan(5, 1, 20))
		w.run(8 * time.Second)
		for _, r := range w.regions { // all but one GPU of the ceiling is in use for long
			n := 4.0
			if r == w.regions[0] {
				n = 3
			}
			r.used["team-0"], r.leader.used["team-0"] = amount.Of(0, n), amount.Of(0, n)
		}
		for _, r := range w.regions {
			r.demands["team-0"] = balance.Demand{Shortfall: taskSize}
			r.leader.m.DemandChanged()
			r.leader.grantAll()
		}
		w.run(w.now + 900*time.Millisecond)
		if w.grants != 1 || len(w.violations) > 0 {
			t.Errorf("seed %d: %d grants of the last GPU, %v", seed, w.grants, w.violations)
		}
	}
}

// TestEveryTeamAtItsLimit has 82 teams ask for more than their ceilings in five regions, and a
// region join the file that owned nothing before: it gets shares like the others.
func TestEveryTeamAtItsLimit(t *testing.T) {
	const teams, gpus = 82, 10
	w := newSimulation(4, testPlan(5, teams, gpus))
	w.run(8 * time.Second)
	joined := w.joinRegion(t, "region-5")
	for _, r := range w.regions {
		for _, team := range w.plan.Teams {
			r.demands[team.Name] = balance.Demand{Shortfall: amount.Of(0, gpus), Priority: 1}
		}
	}
	w.run(w.now + 30*time.Second)
	for _, f := range w.violations {
		t.Error(f)
	}
	full, shared := 0, 0
	for _, team := range w.plan.Teams {
		if w.peakUse[team.Name].GPUs == amount.Of(0, gpus).GPUs {
			full++
		}
		if s, _ := joined.leader.m.ledger.Share(team.Name); s.Owned.GPUs > 0 {
			shared++
		}
	}
	if full < teams*9/10 {
		t.Errorf("%d of %d teams reached their ceilings", full, teams)
	}
	if shared == 0 {
		t.Error("the region that joined owns nothing")
	}
}

// joinRegion adds a region that owns nothing to the file; all leaders begin anew with that file.
func (w *simulation) joinRegion(t *testing.T, name string) *simRegion {
	t.Helper()
	p := *w.plan
	p.Regions = append(append([]plan.Region{}, p.Regions...), plan.Region{Name: name, Controllers: []string{"127.0.0.1:9999"}})
	w.plan = &p
	r := newSimRegion(w, name)
	w.regions = append(w.regions, r)
	for _, x := range w.regions {
		x.crash(0)
	}
	r.elect()
	w.run(w.now + 5*time.Second)
	for _, x := range w.regions {
		if !x.leader.m.verified() {
			t.Fatal(fmt.Sprint(x.name, " does not trust its ledger after a region has joined"))
		}
	}
	return r
}
