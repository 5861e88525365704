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

// soak is how many random days are played in place of those of CI.
func soak(ci int) int {
	if n, err := strconv.Atoi(os.Getenv("BROOKWALK_SOAK")); err == nil {
		return n
	}
	return ci
}

// testPlan divides the ceilings of teams evenly among regions; a quarter of each region's part
// is guaranteed there.
func testPlan(regions, teams int, gpus float64) *plan.Plan {
	p := &plan.Plan{}
	for i := range regions {
		p.Regions = append(p.Regions, plan.Region{Name: fmt.Sprint("region-", i), Controllers: []string{fmt.Sprint("127.0.0.1:", 9000+i)}})
	}
	for i := range teams {
		t := plan.Team{Name: fmt.Sprint("team-", i), GPUsMax: gpus}
		for _, r := range p.Regions {
			share := gpus / float64(regions)
			t.Shares = append(t.Shares, plan.Share{Region: r.Name, GPUs: share / 4, GPUsOwned: share})
		}
		p.Teams = append(p.Teams, t)
	}
	return p
}

// injectFailures has things fail until a time, one after the other.
func (w *simulation) injectFailures(until time.Duration) {
	if w.now >= until {
		return
	}
	region := w.regions[w.rng.IntN(len(w.regions))]
	switch w.rng.IntN(8) {
	case 0, 1:
		region.crash(w.randomDuration(3 * time.Second))
	case 2:
		region.pause(time.Second + w.randomDuration(10*time.Second))
	case 3, 4:
		other := w.regions[w.rng.IntN(len(w.regions))]
		w.cuts[region.name+">"+other.name] = w.now + w.randomDuration(20*time.Second)
		if w.rng.IntN(2) == 0 {
			w.cuts[other.name+">"+region.name] = w.now + w.randomDuration(20*time.Second)
		}
	case 5:
		region.outage = w.now + w.randomDuration(6*time.Second)
	case 6: // two leaders end at the same moment
		region.crash(w.randomDuration(time.Second))
		w.regions[w.rng.IntN(len(w.regions))].crash(w.randomDuration(time.Second))
	case 7: // three groups at once
		for _, a := range w.regions {
			for _, b := range w.regions {
				if w.rng.IntN(3) > 0 {
					w.cuts[a.name+">"+b.name] = w.now + w.randomDuration(15*time.Second)
				}
			}
		}
	}
	w.after(200*time.Millisecond+w.randomDuration(4*time.Second), func() { w.injectFailures(until) })
}

// submitBursts has work come to every region in the same millisecond, again and again.
func (w *simulation) submitBursts(until time.Duration) {
	if w.now >= until {
		return
	}
	for _, t := range w.plan.Teams {
		for _, r := range w.regions {
			d := r.demands[t.Name]
			d.Shortfall = d.Shortfall.Add(amount.Of(0, float64(w.rng.IntN(int(t.GPUsMax)/2)))).Min(amount.Of(0, t.GPUsMax))
			if d.Gang.IsZero() && w.rng.IntN(6) == 0 {
				d.Gang, d.GangPriority = amount.Of(0, t.GPUsMax/2), w.rng.IntN(4)
			}
			d.Priority = w.rng.IntN(4)
			r.demands[t.Name] = d
			if l := r.leader; l != nil {
				l.whenRunning(func() { l.m.DemandChanged(); l.grantAll() })
			}
		}
	}
	w.after(w.randomDuration(5*time.Second), func() { w.submitBursts(until) })
}

// runRandomDay plays a day of collisions and failures.
func runRandomDay(seed uint64, optimistic bool) *simulation {
	w := newSimulation(seed, testPlan(2+int(seed%4), 3, 48))
	w.optimistic = optimistic
	w.lossRate, w.repeatRate, w.delayRate, w.lostAnswerRate = 0.05, 0.1, 0.02, 0.1
	w.after(3*time.Second, func() { w.submitBursts(100 * time.Second) })
	w.after(5*time.Second, func() { w.injectFailures(90 * time.Second) })
	w.run(110 * time.Second)
	return w
}

// TestLimitHolds collides decisions of regions with failures of every kind: the ceiling is
// never exceeded, and the shares on record add up at every change.
func TestLimitHolds(t *testing.T) {
	grants := 0
	for seed := range uint64(soak(40)) {
		w := runRandomDay(seed, false)
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
		grants += w.grants
		if w.grants == 0 {
			t.Errorf("seed %d: nothing was granted", seed)
		}
	}
	t.Logf("%d grants", grants)
}

// TestBaselineOvershoots plays the same days with counts that regions gossip: the checker sees
// ceilings exceeded.
func TestBaselineOvershoots(t *testing.T) {
	days, most := 0, 0.0
	n := soak(40)
	for seed := range uint64(n) {
		w := runRandomDay(seed, true)
		if len(w.violations) > 0 {
			days++
		}
		for _, team := range w.plan.Teams {
			_, gpus := w.peakUse[team.Name].Units()
			most = max(most, gpus/team.GPUsMax)
		}
	}
	t.Logf("exceeded on %d of %d days, at the most %.2f times the ceiling", days, n, most)
	if days == 0 {
		t.Error("the baseline never exceeded a ceiling: the days cannot show that")
	}
}

// TestSharesRecover has the failures end: whoever wants all that nobody uses gets it.
func TestSharesRecover(t *testing.T) {
	for seed := range uint64(soak(20)) {
		w := newSimulation(seed, testPlan(2+int(seed%4), 3, 48))
		w.lossRate, w.repeatRate, w.delayRate, w.lostAnswerRate = 0.05, 0.1, 0.02, 0.1
		w.after(3*time.Second, func() { w.submitBursts(60 * time.Second) })
		w.after(5*time.Second, func() { w.injectFailures(60 * time.Second) })
		w.run(100 * time.Second)
		w.lossRate, w.repeatRate, w.delayRate, w.lostAnswerRate = 0, 0, 0, 0
		w.noNewWork = true
		w.run(150 * time.Second) // what ran has ended
		last := w.regions[len(w.regions)-1]
		for _, r := range w.regions {
			clear(r.demands)
		}
		for _, team := range w.plan.Teams {
			last.demands[team.Name] = balance.Demand{Shortfall: amount.Of(0, team.GPUsMax), Priority: 1}
		}
		last.leader.m.DemandChanged()
		w.run(160 * time.Second)
		for _, team := range w.plan.Teams {
			want := amount.Of(0, team.GPUsMax)
			for _, r := range w.regions[:len(w.regions)-1] {
				s, _ := r.leader.m.ledger.Share(team.Name)
				want = want.Sub(s.Guarantee)
			}
			if got := last.leader.m.Limit(team.Name); got.GPUs < want.GPUs {
				t.Errorf("seed %d: %s gets %v in %s, want %v", seed, team.Name, got, last.name, want)
			}
		}
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}

// TestRestoredStore replaces a region's state service by an older copy, or by an empty
// one, in the middle of transfers: what runs goes on, and the ceiling holds.
func TestRestoredStore(t *testing.T) {
	fenced := 0
	for seed := range uint64(soak(60)) {
		w := newSimulation(seed, testPlan(2+int(seed%3), 2, 48))
		w.lossRate, w.repeatRate, w.delayRate, w.lostAnswerRate = 0.05, 0.1, 0.02, 0.1
		w.after(3*time.Second, func() { w.submitBursts(100 * time.Second) })
		r := w.regions[w.rng.IntN(len(w.regions))]
		w.after(6*time.Second+w.randomDuration(25*time.Second), func() {
			if r.takeBackup(); seed%2 == 0 {
				r.backup = nil // nothing is left at all
			}
		})
		w.after(32*time.Second+w.randomDuration(10*time.Second), r.restoreBackup)
		if seed%3 == 0 {
			w.after(20*time.Second, func() { w.injectFailures(80 * time.Second) })
		}
		w.run(110 * time.Second)
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
		if r.leader != nil && (r.leader.m.fenced() || !r.leader.m.complete()) {
			fenced++
		}
	}
	t.Logf("%d regions were fenced or have no ledger", fenced)
	if fenced == 0 {
		t.Error("no region noticed that its ledger had gone back")
	}
}

// restoreBackup has all controllers of the region end, as its page asks, and puts the copy in
// place of the ledger.
func (r *simRegion) restoreBackup() {
	r.w.restored = true
	r.crash(500 * time.Millisecond)
	r.w.after(100*time.Millisecond, r.applyBackup)
}
