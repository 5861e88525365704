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
	experiment *Experiment
	options    Options
	usage      *usageMeter
	runners    []*runner
	plan       *plan.Plan
	links      map[string]*regionLink // by "from>to"

	addresses *loopback.Claim // for the controllers of all regions
}

// regionMember is what a runner needs to know to play one region of several.
type regionMember struct {
	run      *regionRun
	name     string
	listen   []string // addresses for other regions, one for each controller
	planPath string   // path of its regions file
}

// runRegions runs an experiment with several regions and reports on each and on the teams'
// use over all of them.
func runRegions(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	claim, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer claim.Close() // after the processes have ended
	run := &regionRun{experiment: experiment, options: options, usage: newUsageMeter(experiment), links: map[string]*regionLink{}, addresses: claim}
	defer run.close()
	if err := run.prepare(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run.scheduleFailures()
	reports := make([]*Report, len(run.runners))
	var playing sync.WaitGroup
	for i, runner := range run.runners {
		playing.Go(func() { reports[i] = runner.run(ctx) })
	}
	stopHistory := run.recordHistory()
	playing.Wait()
	stopHistory()
	return run.combineReports(reports), nil
}

// prepare makes the regions' runners and the links between them.
func (g *regionRun) prepare() error {
	addresses := make([][]string, len(g.experiment.Regions))
	for i := range addresses {
		var err error
		if addresses[i], err = controllerAddresses(g.addresses, g.experiment.Controllers); err != nil {
			return err
		}
	}
	g.plan = g.newPlan(addresses)
	for i, region := range g.experiment.Regions {
		part := &regionMember{run: g, name: region.Name, listen: addresses[i]}
		dir := filepath.Join(g.options.Dir, region.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		var err error
		if part.planPath, err = g.writePlan(i, dir); err != nil {
			return err
		}
		options := g.options
		options.Dir, options.Log = dir, options.Log.With("region", region.Name)
		options.Progress = nil
		runner := newRunner(g.regionExperiment(i), options, g.addresses)
		runner.region = part
		g.runners = append(g.runners, runner)
		if err := runner.prepare(); err != nil {
			return err
		}
	}
	return nil
}

// regionExperiment is what one region plays.
func (g *regionRun) regionExperiment(i int) *Experiment {
	e := *g.experiment
	e.Name, e.Seed, e.Failures = g.experiment.Regions[i].Name, g.experiment.Seed+uint64(i), nil
	e.Jobs = slices.Clone(g.experiment.Jobs)
	for k := range e.Jobs {
		e.Jobs[k].InitialTasks = int(float64(e.Jobs[k].InitialTasks) * g.experiment.Regions[i].Load)
		e.Jobs[k].TasksPerSecond *= g.experiment.Regions[i].Load
	}
	return &e
}

// newPlan divides the teams' limits among the regions, in whole CPUs and GPUs.
func (g *regionRun) newPlan(addresses [][]string) *plan.Plan {
	quotaPlan := &plan.Plan{}
	for i, region := range g.experiment.Regions {
		quotaPlan.Regions = append(quotaPlan.Regions, plan.Region{Name: region.Name, Controllers: addresses[i]})
	}
	for i := range g.experiment.Teams.Count {
		limit := g.experiment.teamLimit()
		team := plan.Team{Name: teamName(i), CPUsMax: limit.CPUsMax, GPUsMax: limit.GPUsMax}
		cpus, gpus := limit.CPUsMax, limit.GPUsMax
		for k, region := range g.experiment.Regions {
			share := plan.Share{Region: region.Name, CPUsOwned: float64(int(limit.CPUsMax * region.Owned)), GPUsOwned: float64(int(limit.GPUsMax * region.Owned))}
			if k == len(g.experiment.Regions)-1 {
				share.CPUsOwned, share.GPUsOwned = cpus, gpus // what is left
			}
			cpus, gpus = cpus-share.CPUsOwned, gpus-share.GPUsOwned
			share.CPUs, share.GPUs = float64(int(min(share.CPUsOwned, limit.CPUs*region.Owned))), float64(int(min(share.GPUsOwned, limit.GPUs*region.Owned)))
			team.Shares = append(team.Shares, share)
		}
		quotaPlan.Teams = append(quotaPlan.Teams, team)
	}
	return quotaPlan
}

// writePlan writes a region's file. Other regions' controllers stand in it with the addresses
// of links that can be cut.
func (g *regionRun) writePlan(i int, dir string) (string, error) {
	own := *g.plan
	own.Regions = slices.Clone(g.plan.Regions)
	for other := range own.Regions {
		if other == i {
			continue
		}
		link := &regionLink{}
		g.links[own.Regions[i].Name+">"+own.Regions[other].Name] = link
		var through []string
		for _, addr := range g.plan.Regions[other].Controllers {
			at, err := link.listen(addr)
			if err != nil {
				return "", err
			}
			through = append(through, at)
		}
		own.Regions[other].Controllers = through
	}
	path := filepath.Join(dir, "regions.toml")
	f, err := os.Create(path)
	if err != nil {
		return "", err
	}
	return path, errors.Join(toml.NewEncoder(f).Encode(own), f.Close())
}

// scheduleFailures brings about the failures, in the region that each names.
func (g *regionRun) scheduleFailures() {
	for _, failure := range g.experiment.Failures {
		for i, runner := range g.runners {
			switch {
			case failure.Region != "" && g.experiment.Regions[i].Name != failure.Region:
			case failure.Kind == FailRegionLink:
				runner.live.After(seconds(failure.AtS), func() { g.partition(failure) })
			default:
				runner.live.After(seconds(failure.AtS), func() { runner.injectFailure(failure) })
			}
		}
	}
}

// partition has nothing pass from a region to another, or to all others, for a while.
func (g *regionRun) partition(failure Failure) {
	g.options.Log.Info("failure", "kind", failure.Kind, "region", failure.Region, "to", failure.To, "both", failure.BothWays, "for_s", failure.ForS)
	for _, region := range g.experiment.Regions {
		if region.Name == failure.Region || failure.To != "" && failure.To != region.Name {
			continue
		}
		g.links[failure.Region+">"+region.Name].partition(seconds(failure.ForS))
		if failure.BothWays {
			g.links[region.Name+">"+failure.Region].partition(seconds(failure.ForS))
		}
	}
}

// close ends all processes and closes the links.
func (g *regionRun) close() {
	for _, runner := range g.runners {
		runner.close()
	}
	for _, link := range g.links {
		link.close()
	}
}

// combineReports gathers the regions' reports and the teams' use.
func (g *regionRun) combineReports(reports []*Report) *Report {
	rep := &Report{Experiment: g.experiment.Name, Regions: reports, Teams: g.usage.report(), History: g.usage.history}
	for _, r := range reports {
		rep.Seconds = max(rep.Seconds, r.Seconds)
		rep.Interrupted = rep.Interrupted || r.Interrupted
		for _, b := range r.Violations {
			rep.Violations = append(rep.Violations, r.Experiment+": "+b)
		}
	}
	rep.Violations = append(rep.Violations, g.usage.limitViolations()...)
	return rep
}

// historyInterval is the time between two points of a history.
const historyInterval = 250 * time.Millisecond

// recordHistory notes what teams use and regions own, until the function that it returns is called.
func (g *regionRun) recordHistory() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	began, told := time.Now(), time.Now()
	go func() {
		defer close(ended)
		tick := time.NewTicker(historyInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			g.usage.sample(time.Since(began), g.runners)
			if g.options.Progress != nil && time.Since(told) >= g.options.ProgressEvery {
				told = time.Now()
				g.usage.writeProgress(g.options.Progress, time.Since(began), g.experiment.Seconds)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// WriteTeams writes what teams used over all regions.
func (rep *Report) writeTeamTable(w io.Writer) {
	fmt.Fprintln(w, "team over all regions\tGPUs most used\tceiling\tCPUs most used\tceiling")
	for _, t := range rep.Teams {
		fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\n", t.Name, t.PeakGPUs, t.GPULimit, t.PeakCPUs, t.CPULimit)
	}
}
