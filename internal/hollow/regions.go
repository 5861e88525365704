package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/loopback"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// Region is a region of an experiment with several: a deployment of its own, with all that the
// file says of one. The teams' limits and guarantees are those over all regions.
type Region struct {
	Name string `toml:"name"`
	// Load multiplies its jobs, Owned is the part of each limit that it owns at first.
	Load  float64 `toml:"load"`
	Owned float64 `toml:"owned"`
}

// regionRun is a run of several regions.
type regionRun struct {
	e       *Experiment
	opts    Options
	tally   *tally
	runners []*runner
	plan    *plan.Plan
	links   map[string]*cutLink // by "from>to"

	addresses *loopback.Claim // for the controllers of all regions
}

// regionPart is what a runner needs to know to play one region of several.
type regionPart struct {
	run     *regionRun
	name    string
	listen  []string // addresses for other regions, one for each controller
	planned string   // path of its regions file
}

// runRegions runs an experiment with several regions and reports on each and on the teams'
// use over all of them.
func runRegions(ctx context.Context, e *Experiment, opts Options) (*Report, error) {
	claim, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer claim.Close() // after the processes have ended
	g := &regionRun{e: e, opts: opts, tally: newTally(e), links: map[string]*cutLink{}, addresses: claim}
	defer g.stop()
	if err := g.prepare(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.planFailures()
	reports := make([]*Report, len(g.runners))
	var playing sync.WaitGroup
	for i, r := range g.runners {
		playing.Go(func() { reports[i] = r.play(ctx) })
	}
	stopHistory := g.keepHistory()
	playing.Wait()
	stopHistory()
	return g.report(reports), nil
}

// prepare makes the regions' runners and the links between them.
func (g *regionRun) prepare() error {
	addresses := make([][]string, len(g.e.Regions))
	for i := range addresses {
		var err error
		if addresses[i], err = controllerAddresses(g.addresses, g.e.Controllers); err != nil {
			return err
		}
	}
	g.plan = g.planOf(addresses)
	for i, region := range g.e.Regions {
		part := &regionPart{run: g, name: region.Name, listen: addresses[i]}
		dir := filepath.Join(g.opts.Dir, region.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		var err error
		if part.planned, err = g.writePlan(i, dir); err != nil {
			return err
		}
		opts := g.opts
		opts.Dir, opts.Log = dir, opts.Log.With("region", region.Name)
		opts.Progress = nil
		r := newRunner(g.experimentOf(i), opts, g.addresses)
		r.region = part
		g.runners = append(g.runners, r)
		if err := r.prepare(); err != nil {
			return err
		}
	}
	return nil
}

// experimentOf is what one region plays.
func (g *regionRun) experimentOf(i int) *Experiment {
	e := *g.e
	e.Name, e.Seed, e.Failures = g.e.Regions[i].Name, g.e.Seed+uint64(i), nil
	e.Jobs = slices.Clone(g.e.Jobs)
	for k := range e.Jobs {
		e.Jobs[k].Initial = int(float64(e.Jobs[k].Initial) * g.e.Regions[i].Load)
		e.Jobs[k].PerSecond *= g.e.Regions[i].Load
	}
	return &e
}

// planOf divides the teams' limits among the regions, in whole CPUs and GPUs.
func (g *regionRun) planOf(addresses [][]string) *plan.Plan {
	p := &plan.Plan{}
	for i, r := range g.e.Regions {
		p.Regions = append(p.Regions, plan.Region{Name: r.Name, Controllers: addresses[i]})
	}
	for i := range g.e.Teams.Count {
		limit := g.e.teamLimit()
		t := plan.Team{Name: teamName(i), CPUsMax: limit.CPUsMax, GPUsMax: limit.GPUsMax}
		cpus, gpus := limit.CPUsMax, limit.GPUsMax
		for k, r := range g.e.Regions {
			s := plan.Share{Region: r.Name, CPUsOwned: float64(int(limit.CPUsMax * r.Owned)), GPUsOwned: float64(int(limit.GPUsMax * r.Owned))}
			if k == len(g.e.Regions)-1 {
				s.CPUsOwned, s.GPUsOwned = cpus, gpus // what is left
			}
			cpus, gpus = cpus-s.CPUsOwned, gpus-s.GPUsOwned
			s.CPUs, s.GPUs = float64(int(min(s.CPUsOwned, limit.CPUs*r.Owned))), float64(int(min(s.GPUsOwned, limit.GPUs*r.Owned)))
			t.Shares = append(t.Shares, s)
		}
		p.Teams = append(p.Teams, t)
	}
	return p
}

// writePlan writes a region's file. Other regions' controllers stand in it with the addresses
// of links that can be cut.
func (g *regionRun) writePlan(i int, dir string) (string, error) {
	own := *g.plan
	own.Regions = slices.Clone(g.plan.Regions)
	for k := range own.Regions {
		if k == i {
			continue
		}
		link := &cutLink{}
		g.links[own.Regions[i].Name+">"+own.Regions[k].Name] = link
		var through []string
		for _, addr := range g.plan.Regions[k].Controllers {
			at, err := link.listen(addr)
			if err != nil {
				return "", err
			}
			through = append(through, at)
		}
		own.Regions[k].Controllers = through
	}
	path := filepath.Join(dir, "regions.toml")
	f, err := os.Create(path)
	if err != nil {
		return "", err
	}
	return path, errors.Join(toml.NewEncoder(f).Encode(own), f.Close())
}

// planFailures brings about the failures, in the region that each names.
func (g *regionRun) planFailures() {
	for _, f := range g.e.Failures {
		for i, r := range g.runners {
			switch {
			case f.Region != "" && g.e.Regions[i].Name != f.Region:
			case f.Kind == FailCut:
				r.live.After(seconds(f.AtS), func() { g.cut(f) })
			default:
				r.live.After(seconds(f.AtS), func() { r.fail(f) })
			}
		}
	}
}

// cut has nothing pass from a region to another, or to all others, for a while.
func (g *regionRun) cut(f Failure) {
	g.opts.Log.Info("failure", "kind", f.Kind, "region", f.Region, "to", f.To, "both", f.Both, "for_s", f.ForS)
	for _, r := range g.e.Regions {
		if r.Name == f.Region || f.To != "" && f.To != r.Name {
			continue
		}
		g.links[f.Region+">"+r.Name].cut(seconds(f.ForS))
		if f.Both {
			g.links[r.Name+">"+f.Region].cut(seconds(f.ForS))
		}
	}
}

// stop ends all processes and closes the links.
func (g *regionRun) stop() {
	for _, r := range g.runners {
		r.stop()
	}
	for _, l := range g.links {
		l.close()
	}
}

// report gathers the regions' reports and the teams' use.
func (g *regionRun) report(reports []*Report) *Report {
	rep := &Report{Experiment: g.e.Name, Regions: reports, Teams: g.tally.report(), History: g.tally.history}
	for _, r := range reports {
		rep.Seconds = max(rep.Seconds, r.Seconds)
		rep.Interrupted = rep.Interrupted || r.Interrupted
		for _, b := range r.Broken {
			rep.Broken = append(rep.Broken, r.Experiment+": "+b)
		}
	}
	rep.Broken = append(rep.Broken, g.tally.faults()...)
	return rep
}

// historyEvery is the time between two points of a history.
const historyEvery = 250 * time.Millisecond

// keepHistory notes what teams use and regions own, until the function that it returns is called.
func (g *regionRun) keepHistory() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	began, told := time.Now(), time.Now()
	go func() {
		defer close(ended)
		tick := time.NewTicker(historyEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			g.tally.sample(time.Since(began), g.runners)
			if g.opts.Progress != nil && time.Since(told) >= g.opts.ProgressEvery {
				told = time.Now()
				g.tally.progress(g.opts.Progress, time.Since(began), g.e.Seconds)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// WriteTeams writes what teams used over all regions.
func (rep *Report) writeTeams(w io.Writer) {
	fmt.Fprintln(w, "team over all regions\tGPUs most used\tceiling\tCPUs most used\tceiling")
	for _, t := range rep.Teams {
		fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\n", t.Name, t.MostGPUs, t.CeilingGPUs, t.MostCPUs, t.CeilingCPUs)
	}
}
