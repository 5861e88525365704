package quota

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// workload is work that comes steadily: tasks of one GPU for teams and regions drawn at random.
type workload struct {
	w            *simulation
	perSecond    float64
	shares       []float64 // of each region in the load
	meanRuntime  time.Duration
	waiting      map[string]map[string][]time.Duration // arrivals, by region and team
	strategy     string
	central      map[string]amount.Amount // granted by the one region that grants for all
	measuredFrom time.Duration            // from when on is counted
	waits        []time.Duration
	idle         []float64 // parts of a ceiling that were idle while somebody waited for them
	idleAbove    []float64 // the same of what lies above guaranteed parts
	guarded      []float64 // guaranteed parts that their region did not use meanwhile
}

// The ways that are compared.
const (
	strategyEscrow     = "escrow"
	strategyFixed      = "fixed parts"
	strategyCentral    = "one region grants"
	strategyOptimistic = "optimistic counters"
)

func newWorkload(w *simulation, strategy string, perSecond float64, mean time.Duration, shares []float64) *workload {
	work := &workload{w: w, strategy: strategy, perSecond: perSecond, meanRuntime: mean, shares: shares, waiting: map[string]map[string][]time.Duration{}, central: map[string]amount.Amount{}}
	for _, r := range w.regions {
		work.waiting[r.name] = map[string][]time.Duration{}
	}
	w.workload, w.optimistic = work, strategy == strategyOptimistic
	w.endDetectionDelay = 300 * time.Millisecond
	return work
}

// begin has work come from now on, and samples what is idle.
func (l *workload) begin() {
	l.arrive()
	l.sample()
}

func (l *workload) arrive() {
	x, at := l.w.rng.Float64(), 0
	for x > l.shares[at] && at < len(l.shares)-1 {
		x -= l.shares[at]
		at++
	}
	team := l.w.plan.Teams[l.w.rng.IntN(len(l.w.plan.Teams))].Name
	q := l.waiting[l.w.regions[at].name]
	q[team] = append(q[team], l.w.now)
	gap := l.w.rng.ExpFloat64() / l.perSecond
	l.w.after(time.Duration(gap*float64(time.Second)), l.arrive)
}

// ended tells that a task has certainly ended: the region that grants for all learns of it as
// the task's own leader does.
func (l *workload) ended(team string, size amount.Amount) {
	l.central[team] = l.central[team].Sub(size)
}

func (l *workload) runtime(w *simulation) time.Duration {
	return l.meanRuntime/2 + w.randomDuration(l.meanRuntime)
}

// grantAll starts what waits and fits in a leader's region.
func (l *workload) grantAll(p *leaderProcess) {
	waits := false
	for _, t := range l.w.plan.Teams {
		q := l.waiting[p.r.name]
		for len(q[t.Name]) > 0 && l.allows(p, t.Name) {
			arrived := q[t.Name][0]
			q[t.Name] = q[t.Name][1:]
			l.grant(p, t.Name, arrived)
		}
		waits = waits || len(q[t.Name]) > 0
	}
	if l.strategy == strategyEscrow && waits {
		p.m.DemandChanged()
	}
}

func (l *workload) allows(p *leaderProcess, team string) bool {
	if l.strategy != strategyCentral {
		return p.allows(team, taskSize)
	}
	return amount.Of(0, l.w.plan.Teams[0].GPUsMax).Covers(l.central[team].Add(taskSize))
}

// grant starts a task; where one region grants for all, after a round trip to it.
func (l *workload) grant(p *leaderProcess, team string, arrived time.Duration) {
	var trip time.Duration
	if l.strategy == strategyCentral {
		l.central[team] = l.central[team].Add(taskSize)
		if p.r != l.w.regions[0] {
			trip = 2*time.Millisecond + l.w.randomDuration(60*time.Millisecond) + l.w.randomDuration(60*time.Millisecond)
		}
	}
	start := func() {
		if l.w.now >= l.measuredFrom {
			l.waits = append(l.waits, l.w.now-arrived)
		}
		p.grant(team, taskSize)
	}
	if trip == 0 {
		start()
	} else {
		l.w.after(trip, start)
	}
	if l.strategy == strategyOptimistic {
		for _, other := range l.w.regions {
			if other != p.r {
				p.r.gossip(other)
			}
		}
	}
}

// sample notes what is idle of each team for which somebody waits.
func (l *workload) sample() {
	if l.w.now >= l.measuredFrom {
		for _, t := range l.w.plan.Teams {
			l.sampleTeam(t.Name, t.GPUsMax)
		}
	}
	l.w.after(testTickInterval, l.sample)
}

func (l *workload) sampleTeam(team string, ceiling float64) {
	waiting, used, guarded, guaranteed := 0, 0.0, 0.0, 0.0
	for _, r := range l.w.regions {
		n := len(l.waiting[r.name][team])
		waiting += n
		_, here := r.used[team].Units()
		used += here
		for _, t := range l.w.plan.Teams {
			for _, s := range t.Shares {
				if t.Name == team && s.Region == r.name {
					guaranteed += s.GPUs
					guarded += max(0, s.GPUs-here)
				}
			}
		}
	}
	if waiting == 0 {
		return
	}
	idle := max(0, min(float64(waiting), ceiling-used))
	l.idle = append(l.idle, idle/ceiling)
	l.guarded = append(l.guarded, guarded/ceiling)
	l.idleAbove = append(l.idleAbove, max(0, min(float64(waiting), ceiling-used-guarded))/(ceiling-guaranteed))
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

var (
	evenLoad     = []float64{0.2, 0.2, 0.2, 0.2, 0.2}
	lopsidedLoad = []float64{0.6, 0.2, 0.1, 0.05, 0.05}
)

// measurement is a run of a load.
type measurement struct {
	work             *workload
	messages, writes float64 // a second
	grants           int
	overshoot        int
}

// measuredDuration is how long a load is measured, after a beginning of half that time.
const measuredDuration = 40 * time.Second

// measure runs a load.
func measure(strategy string, teams int, perSecond, gpus float64, shares []float64) measurement {
	w := newSimulation(5, testPlan(5, teams, gpus))
	work := newWorkload(w, strategy, perSecond, 10*time.Second, shares)
	w.run(8 * time.Second)
	if strategy == strategyFixed {
		for _, a := range w.regions {
			for _, b := range w.regions {
				w.cuts[a.name+">"+b.name] = time.Hour
			}
		}
	}
	work.measuredFrom = w.now + measuredDuration/2
	work.begin()
	w.run(work.measuredFrom)
	messages, writes, grants := w.messages, w.writes, w.grants
	w.run(work.measuredFrom + measuredDuration)
	return measurement{work, float64(w.messages-messages) / measuredDuration.Seconds(), float64(w.writes-writes) / measuredDuration.Seconds(), w.grants - grants, len(w.violations)}
}

// TestMeasure prints what docs/quota.md and docs/CAPACITY.md tell. It takes minutes and is run by
// hand: BROOKWALK_MEASURE=1 go test ./internal/quota -run TestMeasure -v
func TestMeasure(t *testing.T) {
	if os.Getenv("BROOKWALK_MEASURE") == "" {
		t.Skip("set BROOKWALK_MEASURE to measure")
	}
	const teams, starts = 82, 250.0
	for _, c := range []struct {
		name   string
		gpus   float64 // of each team's ceiling; the load asks for starts*10/82 = 30.5
		shares []float64
	}{
		{"even, 0.76 of the ceilings", 40, evenLoad}, {"lopsided, 0.76 of the ceilings", 40, lopsidedLoad},
		{"even, 1.27 of the ceilings", 24, evenLoad}, {"lopsided, 1.27 of the ceilings", 24, lopsidedLoad},
	} {
		for _, way := range []string{strategyEscrow, strategyFixed, strategyCentral, strategyOptimistic} {
			m := measure(way, teams, starts, c.gpus, c.shares)
			t.Logf("%s | %s | wait p50 %d ms, p99 %d ms | idle while somebody waits %.3f, guaranteed parts %.3f, above them %.3f | %.0f messages/s, %.0f writes/s | %d grants, %d above a ceiling",
				c.name, way, quantile(m.work.waits, 0.5).Milliseconds(), quantile(m.work.waits, 0.99).Milliseconds(),
				mean(m.work.idle), mean(m.work.guarded), mean(m.work.idleAbove), m.messages, m.writes, m.grants, m.overshoot)
		}
	}
	for _, rate := range []float64{50, 250, 1000} {
		m := measure(strategyEscrow, teams, rate, 40*rate/250, evenLoad)
		t.Logf("%v starts/s: %.0f messages/s, %.1f writes/s without placements", rate, m.messages, m.writes)
	}
	for _, n := range []int{10, 41, 82} {
		m := measure(strategyEscrow, n, starts*float64(n)/82, 40, evenLoad)
		t.Logf("%d teams: %.0f messages/s, %.1f writes/s without placements", n, m.messages, m.writes)
	}
	t.Log(memoryOf(82, 5))
}

// memoryOf tells what managers of that many teams and regions hold.
func memoryOf(teams, regions int) string {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newSimulation(1, testPlan(regions, teams, 40))
	w.run(10 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc - before.HeapAlloc)
	runtime.KeepAlive(w)
	return fmt.Sprintf("%d regions of %d teams: %.0f bytes a team and region, stand-ins included", regions, teams, bytes/float64(teams*regions))
}
