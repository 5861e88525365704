package hollow

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/history"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// usageMeter adds up what the tasks of each team use on the workers of all regions, at each change,
// and holds it against the ceilings.
type usageMeter struct {
	mu         sync.Mutex
	teams      []string
	teamUsage  map[string]*TeamUsage
	current    map[string]*amount            // by team
	byRegion   map[string]map[string]*amount // by region and team
	violations []string
	history    *history.Log
}

// amount is what is used at a moment.
type amount struct{ cpus, gpus float64 }

// TeamUsage is what a team used over all regions. A ceiling of 0 is none.
type TeamUsage struct {
	Name     string  `json:"team"`
	PeakCPUs float64 `json:"cpus_most"`
	PeakGPUs float64 `json:"gpus_most"`
	CPULimit float64 `json:"cpus_max"`
	GPULimit float64 `json:"gpus_max"`
	Exceeded int     `json:"changes_above_ceiling"`
}

func newUsageMeter(experiment *Experiment) *usageMeter {
	usage := &usageMeter{teamUsage: map[string]*TeamUsage{}, current: map[string]*amount{}, byRegion: map[string]map[string]*amount{}, history: &history.Log{}}
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

// amountTolerance makes up for the rounding of sums.
const amountTolerance = 1e-6

// add takes in a change of what a team uses in a region.
func (m *usageMeter) add(region, team string, cpus, gpus float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used, now, here := m.teamUsage[team], m.current[team], m.byRegion[region][team]
	if used == nil {
		return
	}
	now.cpus, now.gpus = now.cpus+cpus, now.gpus+gpus
	here.cpus, here.gpus = here.cpus+cpus, here.gpus+gpus
	used.PeakCPUs, used.PeakGPUs = max(used.PeakCPUs, now.cpus), max(used.PeakGPUs, now.gpus)
	if used.GPULimit > 0 && now.gpus > used.GPULimit+amountTolerance || used.CPULimit > 0 && now.cpus > used.CPULimit+amountTolerance {
		used.Exceeded++
		m.violations = append(m.violations, fmt.Sprintf("quota over regions: %s uses %g CPUs and %g GPUs", team, now.cpus, now.gpus))
	}
}

// limitViolations lists the ceilings that were exceeded.
func (m *usageMeter) limitViolations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string{}, m.violations...)
}

// report is what each team used.
func (m *usageMeter) report() []TeamUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []TeamUsage
	for _, name := range m.teams {
		out = append(out, *m.teamUsage[name])
	}
	return out
}

// sample adds a point to the history.
func (m *usageMeter) sample(at time.Duration, runners []*runner) {
	owned := map[string]*ledger.Ledger{}
	for _, runner := range runners {
		var records []wire.Item
		runner.live.Do(func() { records = runner.live.Records(ledger.Prefix) })
		if l, err := ledger.Load(records); err == nil {
			owned[runner.region.name] = l
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, team := range m.teams {
		chart := "GPUs of " + team
		m.history.Add(chart, "used, all regions", at, m.current[team].gpus)
		for _, runner := range runners {
			region := runner.region.name
			m.history.Add(chart, "used in "+region, at, m.byRegion[region][team].gpus)
			if l := owned[region]; l != nil {
				s, _ := l.Share(team)
				if _, gpus := s.Owned.Units(); s.Limit.GPUs > 0 {
					m.history.Add(chart, "owned by "+region, at, gpus)
				}
			}
		}
	}
}

// writeProgress tells how far the run is.
func (m *usageMeter) writeProgress(out io.Writer, at time.Duration, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gpus, exceeded := 0.0, 0
	for _, team := range m.teams {
		gpus += m.current[team].gpus
		exceeded += m.teamUsage[team].Exceeded
	}
	fmt.Fprintf(out, "%4.0f of %.0f s: %g GPUs in use over all regions, %d times above a ceiling\n", at.Seconds(), seconds, gpus, exceeded)
}
