package quota

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// workload submits tasks of one GPU at a constant mean rate, for random teams and regions.
type workload struct {
	sim                 *simulation
	strategy            string
	perSecond           float64
	loadShares          []float64 // of each region
	meanRuntime         time.Duration
	waiting             map[string]map[string][]time.Duration // arrivals, by region and team
	granted             map[string]amount.Amount              // by team, for strategyCentral: counted by the region that grants for all
	measuredFrom        time.Duration
	waits               []time.Duration // between arrival and grant
	idle                []float64       // fractions of a limit that were idle while tasks waited for it
	idleAboveGuarantees []float64       // the same for the part of the limit that is not guaranteed
	unusedGuarantees    []float64       // fractions of a limit that were guaranteed and unused meanwhile
}

// Strategies of sharing limits that TestMeasure compares.
const (
	strategyEscrow     = "escrow"
	strategyFixed      = "fixed parts"
	strategyCentral    = "one region grants"
	strategyOptimistic = "optimistic counters"
)

// newWorkload creates a workload and adds it to a simulation.
func newWorkload(s *simulation, strategy string, perSecond float64, meanRuntime time.Duration, loadShares []float64) *workload {
	w := &workload{
		sim:         s,
		strategy:    strategy,
		perSecond:   perSecond,
		loadShares:  loadShares,
		meanRuntime: meanRuntime,
		waiting:     map[string]map[string][]time.Duration{},
		granted:     map[string]amount.Amount{},
	}
	for _, region := range s.regions {
		w.waiting[region.name] = map[string][]time.Duration{}
	}
	s.workload, s.optimistic = w, strategy == strategyOptimistic
	s.endDetectionDelay = 300 * time.Millisecond
	return w
}

// start starts the arrivals and the sampling of idle shares.
func (w *workload) start() {
	w.arrive()
	w.sample()
}

// arrive adds a waiting task to a random region, weighted by the load shares, and schedules the next
// arrival.
func (w *workload) arrive() {
	draw, index := w.sim.rng.Float64(), 0
	for draw > w.loadShares[index] && index < len(w.loadShares)-1 {
		draw -= w.loadShares[index]
		index++
	}
	team := w.sim.plan.Teams[w.sim.rng.IntN(len(w.sim.plan.Teams))].Name
	waiting := w.waiting[w.sim.regions[index].name]
	waiting[team] = append(waiting[team], w.sim.now)
	gap := w.sim.rng.ExpFloat64() / w.perSecond
	w.sim.after(time.Duration(gap*float64(time.Second)), w.arrive)
}

// ended is called when a task's leader detects that the task has ended. The region that grants
// for all detects it at the same time.
func (w *workload) ended(team string, size amount.Amount) {
	w.granted[team] = w.granted[team].Sub(size)
}

// runtime draws how long a task runs.
func (w *workload) runtime(s *simulation) time.Duration {
	return w.meanRuntime/2 + s.randomDuration(w.meanRuntime)
}

// grantAll grants all waiting tasks in a leader's region that the limits allow.
func (w *workload) grantAll(leader *leaderProcess) {
	blocked := false
	waiting := w.waiting[leader.region.name]
	for _, team := range w.sim.plan.Teams {
		for len(waiting[team.Name]) > 0 && w.allows(leader, team.Name) {
			arrived := waiting[team.Name][0]
			waiting[team.Name] = waiting[team.Name][1:]
			w.grant(leader, team.Name, arrived)
		}
		blocked = blocked || len(waiting[team.Name]) > 0
	}
	if w.strategy == strategyEscrow && blocked {
		leader.manager.DemandChanged()
	}
}

func (w *workload) allows(leader *leaderProcess, team string) bool {
	if w.strategy != strategyCentral {
		return leader.allows(team, taskSize)
	}
	return amount.Of(0, w.sim.plan.Teams[0].GPUsMax).Covers(w.granted[team].Add(taskSize))
}

// grant starts a task. With strategyCentral it starts after a round trip to the region that grants
// for all.
func (w *workload) grant(leader *leaderProcess, team string, arrived time.Duration) {
	var roundTrip time.Duration
	if w.strategy == strategyCentral {
		w.granted[team] = w.granted[team].Add(taskSize)
		if leader.region != w.sim.regions[0] {
			roundTrip = 2*time.Millisecond + w.sim.randomDuration(60*time.Millisecond) + w.sim.randomDuration(60*time.Millisecond)
		}
	}
	start := func() {
		if w.sim.now >= w.measuredFrom {
			w.waits = append(w.waits, w.sim.now-arrived)
		}
		leader.grant(team, taskSize)
	}
	if roundTrip == 0 {
		start()
	} else {
		w.sim.after(roundTrip, start)
	}
	if w.strategy == strategyOptimistic {
		leader.region.gossip()
	}
}

// sample periodically records the idle part of the limit of each team for which tasks wait.
func (w *workload) sample() {
	if w.sim.now >= w.measuredFrom {
		for i := range w.sim.plan.Teams {
			w.sampleTeam(&w.sim.plan.Teams[i])
		}
	}
	w.sim.after(testTickInterval, w.sample)
}

func (w *workload) sampleTeam(team *plan.Team) {
	waiting, used, unused, guaranteed := 0, 0.0, 0.0, 0.0
	for _, region := range w.sim.regions {
		waiting += len(w.waiting[region.name][team.Name])
		_, usedHere := region.used[team.Name].Units()
		used += usedHere
		guarantee := team.Share(region.name).GPUs
		guaranteed += guarantee
		unused += max(0, guarantee-usedHere)
	}
	if waiting == 0 {
		return
	}
	limit := team.GPUsMax
	idle := max(0, min(float64(waiting), limit-used))
	idleAbove := max(0, min(float64(waiting), limit-used-unused))
	w.idle = append(w.idle, idle/limit)
	w.unusedGuarantees = append(w.unusedGuarantees, unused/limit)
	w.idleAboveGuarantees = append(w.idleAboveGuarantees, idleAbove/(limit-guaranteed))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// Fractions of the load, by region.
var (
	evenLoad     = []float64{0.2, 0.2, 0.2, 0.2, 0.2}
	lopsidedLoad = []float64{0.6, 0.2, 0.1, 0.05, 0.05}
)

// measurement is the result of running a workload.
type measurement struct {
	work             *workload
	messages, writes float64 // per second
	grants           int
	violations       int
}

// measuredDuration is how long a workload is measured, after a warm-up of half that time.
const measuredDuration = 40 * time.Second

// measure runs a workload of five regions.
func measure(strategy string, teams int, perSecond, gpus float64, loadShares []float64) measurement {
	s := newSimulation(5, testPlan(5, teams, gpus))
	w := newWorkload(s, strategy, perSecond, 10*time.Second, loadShares)
	s.run(settleTime)
	if strategy == strategyFixed {
		s.partitionAllLinks()
	}
	w.measuredFrom = s.now + measuredDuration/2
	w.start()
	s.run(w.measuredFrom)
	messages, writes, grants := s.messages, s.writes, s.grants
	s.run(w.measuredFrom + measuredDuration)
	return measurement{
		work:       w,
		messages:   float64(s.messages-messages) / measuredDuration.Seconds(),
		writes:     float64(s.writes-writes) / measuredDuration.Seconds(),
		grants:     s.grants - grants,
		violations: len(s.violations),
	}
}

// partitionAllLinks drops all messages between regions, so that shares cannot move.
func (s *simulation) partitionAllLinks() {
	for _, from := range s.regions {
		for _, to := range s.regions {
			s.partitions[from.name+">"+to.name] = time.Hour
		}
	}
}

// TestMeasure prints the measurements in docs/quota.md and docs/CAPACITY.md. It takes minutes, so it
// runs only on request: BROOKWALK_MEASURE=1 go test ./internal/quota -run TestMeasure -v
func TestMeasure(t *testing.T) {
	if os.Getenv("BROOKWALK_MEASURE") == "" {
		t.Skip("set BROOKWALK_MEASURE to measure")
	}
	const teams, starts = 82, 250.0
	for _, c := range []struct {
		name   string
		gpus   float64 // each team's limit; the mean demand is starts*10/82 = 30.5
		shares []float64
	}{
		{"even, 0.76 of the limits", 40, evenLoad},
		{"lopsided, 0.76 of the limits", 40, lopsidedLoad},
		{"even, 1.27 of the limits", 24, evenLoad},
		{"lopsided, 1.27 of the limits", 24, lopsidedLoad},
	} {
		for _, strategy := range []string{strategyEscrow, strategyFixed, strategyCentral, strategyOptimistic} {
			m := measure(strategy, teams, starts, c.gpus, c.shares)
			t.Logf("%s | %s | wait p50 %d ms, p99 %d ms | idle while a task waits %.3f, unused guarantees %.3f, idle above guarantees %.3f | %.0f messages/s, %.0f writes/s | %d grants, %d violations",
				c.name, strategy, quantile(m.work.waits, 0.5).Milliseconds(), quantile(m.work.waits, 0.99).Milliseconds(),
				mean(m.work.idle), mean(m.work.unusedGuarantees), mean(m.work.idleAboveGuarantees), m.messages, m.writes, m.grants, m.violations)
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

// memoryOf reports the memory that the managers of a number of regions and teams use. The memory of
// the simulation around them is included.
func memoryOf(teams, regions int) string {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := newSimulation(1, testPlan(regions, teams, 40))
	s.run(10 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc - before.HeapAlloc)
	runtime.KeepAlive(s)
	return fmt.Sprintf("%d regions of %d teams: %.0f bytes per team and region, including the simulation", regions, teams, bytes/float64(teams*regions))
}
