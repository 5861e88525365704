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

// tally adds up what the tasks of each team use on the workers of all regions, at each change,
// and holds it against the ceilings.
type tally struct {
	mu       sync.Mutex
	teams    []string
	use      map[string]*TeamUse
	now      map[string]*usedNow            // by team
	byRegion map[string]map[string]*usedNow // by region and team
	broken   []string
	history  *history.Log
}

// usedNow is what is used at a moment.
type usedNow struct{ cpus, gpus float64 }

// TeamUse is what a team used over all regions. A ceiling of 0 is none.
type TeamUse struct {
	Name        string  `json:"team"`
	MostCPUs    float64 `json:"cpus_most"`
	MostGPUs    float64 `json:"gpus_most"`
	CeilingCPUs float64 `json:"cpus_max"`
	CeilingGPUs float64 `json:"gpus_max"`
	Exceeded    int     `json:"changes_above_ceiling"`
}

func newTally(e *Experiment) *tally {
	t := &tally{use: map[string]*TeamUse{}, now: map[string]*usedNow{}, byRegion: map[string]map[string]*usedNow{}, history: &history.Log{}}
	limit := e.teamLimit()
	for i := range e.Teams.Count {
		name := teamName(i)
		t.teams = append(t.teams, name)
		t.use[name] = &TeamUse{Name: name, CeilingCPUs: limit.CPUsMax, CeilingGPUs: limit.GPUsMax}
		t.now[name] = &usedNow{}
		t.history.Limit("GPUs of "+name, limit.GPUsMax)
	}
	for _, r := range e.Regions {
		t.byRegion[r.Name] = map[string]*usedNow{}
		for _, name := range t.teams {
			t.byRegion[r.Name][name] = &usedNow{}
		}
	}
	return t
}

// tolerance makes up for the rounding of sums.
const tolerance = 1e-6

// add takes in a change of what a team uses in a region.
func (t *tally) add(region, team string, cpus, gpus float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, now, here := t.use[team], t.now[team], t.byRegion[region][team]
	if u == nil {
		return
	}
	now.cpus, now.gpus = now.cpus+cpus, now.gpus+gpus
	here.cpus, here.gpus = here.cpus+cpus, here.gpus+gpus
	u.MostCPUs, u.MostGPUs = max(u.MostCPUs, now.cpus), max(u.MostGPUs, now.gpus)
	if u.CeilingGPUs > 0 && now.gpus > u.CeilingGPUs+tolerance || u.CeilingCPUs > 0 && now.cpus > u.CeilingCPUs+tolerance {
		u.Exceeded++
		t.broken = append(t.broken, fmt.Sprintf("quota over regions: %s uses %g CPUs and %g GPUs", team, now.cpus, now.gpus))
	}
}

// faults lists the ceilings that were exceeded.
func (t *tally) faults() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string{}, t.broken...)
}

// report is what each team used.
func (t *tally) report() []TeamUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []TeamUse
	for _, name := range t.teams {
		out = append(out, *t.use[name])
	}
	return out
}

// sample adds a point to the history.
func (t *tally) sample(at time.Duration, runners []*runner) {
	owned := map[string]*ledger.Ledger{}
	for _, r := range runners {
		var records []wire.Item
		r.live.Do(func() { records = r.live.Records(ledger.Prefix) })
		if l, err := ledger.Load(records); err == nil {
			owned[r.region.name] = l
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, team := range t.teams {
		chart := "GPUs of " + team
		t.history.Add(chart, "used, all regions", at, t.now[team].gpus)
		for _, r := range runners {
			region := r.region.name
			t.history.Add(chart, "used in "+region, at, t.byRegion[region][team].gpus)
			if l := owned[region]; l != nil {
				s, _ := l.Share(team)
				if _, gpus := s.Owned.Units(); s.Ceiling.GPUs > 0 {
					t.history.Add(chart, "owned by "+region, at, gpus)
				}
			}
		}
	}
}

// progress tells how far the run is.
func (t *tally) progress(w io.Writer, at time.Duration, seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gpus, exceeded := 0.0, 0
	for _, team := range t.teams {
		gpus += t.now[team].gpus
		exceeded += t.use[team].Exceeded
	}
	fmt.Fprintf(w, "%4.0f of %.0f s: %g GPUs in use over all regions, %d times above a ceiling\n", at.Seconds(), seconds, gpus, exceeded)
}
