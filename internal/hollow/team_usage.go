package hollow

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/history"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// usageMeter tracks the resources that each team's tasks use on the workers of all regions. It
// checks every change against the team's limits.
type usageMeter struct {
	mu         sync.Mutex
	teams      []string
	teamUsage  map[string]*TeamUsage
	current    map[string]*amount            // by team
	byRegion   map[string]map[string]*amount // by region and team
	violations []string
	history    *history.Log
}

// amount is an amount of resources.
type amount struct{ cpus, gpus float64 }

func (a *amount) add(cpus, gpus float64) { a.cpus, a.gpus = a.cpus+cpus, a.gpus+gpus }

// TeamUsage is the peak usage of a team over all regions. A limit of 0 means no limit.
type TeamUsage struct {
	Name              string  `json:"team"`
	PeakCPUs          float64 `json:"cpus_most"`
	PeakGPUs          float64 `json:"gpus_most"`
	CPULimit          float64 `json:"cpus_max"`
	GPULimit          float64 `json:"gpus_max"`
	ChangesAboveLimit int     `json:"changes_above_ceiling"`
}

func newUsageMeter(experiment *Experiment) *usageMeter {
	usage := &usageMeter{
		teamUsage: map[string]*TeamUsage{}, current: map[string]*amount{},
		byRegion: map[string]map[string]*amount{}, history: &history.Log{},
	}
	limit := experiment.teamLimit()
	for i := range experiment.Teams.Count {
		name := teamName(i)
		usage.teams = append(usage.teams, name)
		usage.teamUsage[name] = &TeamUsage{Name: name, CPULimit: limit.CPUsMax, GPULimit: limit.GPUsMax}
		usage.current[name] = &amount{}
		usage.history.SetLimit("GPUs of "+name, limit.GPUsMax)
	}
	for _, region := range experiment.Regions {
		usage.byRegion[region.Name] = map[string]*amount{}
		for _, name := range usage.teams {
			usage.byRegion[region.Name][name] = &amount{}
		}
	}
	return usage
}

// amountTolerance absorbs rounding errors in sums of resources.
const amountTolerance = 1e-6

// add records a change of a team's usage in a region. A change that leaves the usage above a limit
// is a violation.
func (m *usageMeter) add(region, team string, cpus, gpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage, current := m.teamUsage[team], m.current[team]
	if usage == nil {
		return
	}
	current.add(cpus, gpus)
	m.byRegion[region][team].add(cpus, gpus)
	usage.PeakCPUs, usage.PeakGPUs = max(usage.PeakCPUs, current.cpus), max(usage.PeakGPUs, current.gpus)
	if isAbove(current.gpus, usage.GPULimit) || isAbove(current.cpus, usage.CPULimit) {
		usage.ChangesAboveLimit++
		m.violations = append(m.violations, fmt.Sprintf("quota over regions: %s uses %g CPUs and %g GPUs", team, current.cpus, current.gpus))
	}
}

// isAbove reports whether an amount is above a limit. A limit of 0 means no limit.
func isAbove(amount, limit float64) bool { return limit > 0 && amount > limit+amountTolerance }

// limitViolations describes each change that left a team's usage above a limit.
func (m *usageMeter) limitViolations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.violations)
}

// report returns the peak usage of each team.
func (m *usageMeter) report() []TeamUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	var teams []TeamUsage
	for _, name := range m.teams {
		teams = append(teams, *m.teamUsage[name])
	}
	return teams
}

// readLedgers reads the quota ledgers of the regions from their key-value stores. It omits a ledger
// that cannot be loaded, for example because the first leader has not written it yet.
func readLedgers(runners []*runner) map[string]*ledger.Ledger {
	ledgers := map[string]*ledger.Ledger{}
	for _, runner := range runners {
		var records []wire.Item
		runner.live.Do(func() { records = runner.live.Records(ledger.Prefix) })
		if l, err := ledger.Load(records); err == nil {
			ledgers[runner.region.name] = l
		}
	}
	return ledgers
}

// sample adds to the history each team's GPU usage and the GPUs of its limit that each region owns.
func (m *usageMeter) sample(at time.Duration, runners []*runner) {
	ledgers := readLedgers(runners)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, team := range m.teams {
		chart := "GPUs of " + team
		m.history.Add(chart, "used, all regions", at, m.current[team].gpus)
		for _, runner := range runners {
			region := runner.region.name
			m.history.Add(chart, "used in "+region, at, m.byRegion[region][team].gpus)
			if gpus, hasLimit := ownedGPUs(ledgers[region], team); hasLimit {
				m.history.Add(chart, "owned by "+region, at, gpus)
			}
		}
	}
}

// ownedGPUs returns how many GPUs of a team's limit a region owns according to its ledger. hasLimit
// is false if there is no ledger or no limit.
func ownedGPUs(l *ledger.Ledger, team string) (gpus float64, hasLimit bool) {
	if l == nil {
		return 0, false
	}
	share, _ := l.Share(team)
	_, gpus = share.Owned.Units()
	return gpus, share.Limit.GPUs > 0
}

// writeProgress writes a progress line with the teams' usage over all regions.
func (m *usageMeter) writeProgress(options *Options, at time.Duration, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gpus, exceeded := 0.0, 0
	for _, team := range m.teams {
		gpus += m.current[team].gpus
		exceeded += m.teamUsage[team].ChangesAboveLimit
	}
	options.writeProgress("%4.0f of %.0f s: %g GPUs in use over all regions, %d times above a ceiling\n", at.Seconds(), seconds, gpus, exceeded)
}
