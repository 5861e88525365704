package hollow

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/loopback"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// Region is one of several regions of an experiment. Each region is a separate deployment with all
// controllers, machines and jobs that the file describes. The teams' limits and guarantees hold
// over all regions together.
type Region struct {
	Name       string  `toml:"name"`
	LoadFactor float64 `toml:"load"` // factor by which the region's load is multiplied
	// OwnedShare is the share of each team's limit that the region owns at the start.
	OwnedShare float64 `toml:"owned"`
}

// regionRun is a run of an experiment with several regions.
type regionRun struct {
	experiment *Experiment
	options    Options
	usage      *usageMeter
	runners    []*runner
	plan       *plan.Plan
	links      map[linkDirection]*regionLink
	addresses  *loopback.Claim // provides the controllers' addresses in all regions
}

// linkDirection identifies the link from one region to another.
type linkDirection struct{ from, to string }

// runnerRegion is the region that a runner runs, in an experiment with several regions.
type runnerRegion struct {
	run             *regionRun
	name            string
	regionListen    []string // address of each controller for connections from other regions
	regionsFilePath string   // path of this region's regions file
}

// runRegions runs an experiment with several regions. Its report contains the report of each region
// and the teams' usage over all regions.
func runRegions(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	claim, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer closeLogged(options.Log, "address claim", claim) // runs last, after the processes have exited
	run := &regionRun{experiment: experiment, options: options, usage: newUsageMeter(experiment), links: map[linkDirection]*regionLink{}, addresses: claim}
	defer run.close()
	if err := run.prepare(); err != nil {
		return nil, err
	}
	run.scheduleFailures()
	reports := make([]*Report, len(run.runners))
	var running sync.WaitGroup
	for i, runner := range run.runners {
		running.Go(func() { reports[i] = runner.run(ctx) })
	}
	stopHistory := run.recordHistory()
	running.Wait()
	stopHistory()
	return run.combineReports(reports), nil
}

// prepare creates the regions' runners and the links between the regions.
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
		own := &runnerRegion{run: g, name: region.Name, regionListen: addresses[i]}
		dir := filepath.Join(g.options.Dir, region.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		var err error
		if own.regionsFilePath, err = g.writeRegionsFile(i, dir); err != nil {
			return err
		}
		options := g.options
		options.Dir, options.Log = dir, options.Log.With("region", region.Name)
		options.Progress = nil
		runner := newRunner(g.regionExperiment(i), options, g.addresses)
		runner.region = own
		g.runners = append(g.runners, runner)
		if err := runner.prepare(); err != nil {
			return err
		}
	}
	return nil
}

// regionExperiment returns the experiment of one region. It has no failures: the regionRun injects
// them.
func (g *regionRun) regionExperiment(i int) *Experiment {
	e, region := *g.experiment, g.experiment.Regions[i]
	e.Name, e.Seed, e.Failures = region.Name, e.Seed+uint64(i), nil
	e.Jobs = slices.Clone(e.Jobs)
	for k := range e.Jobs {
		class := &e.Jobs[k]
		class.InitialTasks = int(float64(class.InitialTasks) * region.LoadFactor)
		class.TasksPerSecond *= region.LoadFactor
	}
	return &e
}

// newPlan divides the teams' limits among the regions.
func (g *regionRun) newPlan(addresses [][]string) *plan.Plan {
	quotaPlan := &plan.Plan{}
	for i, region := range g.experiment.Regions {
		quotaPlan.Regions = append(quotaPlan.Regions, plan.Region{Name: region.Name, Controllers: addresses[i]})
	}
	for i := range g.experiment.Teams.Count {
		quotaPlan.Teams = append(quotaPlan.Teams, g.teamPlan(i))
	}
	return quotaPlan
}

// teamPlan divides the limits and guarantees of a team among the regions. Both are rounded down to
// whole CPUs and GPUs, but the last region owns the remainder of each limit, so that the owned parts
// add up to it.
func (g *regionRun) teamPlan(i int) plan.Team {
	limit := g.experiment.teamLimit()
	team := plan.Team{Name: teamName(i), CPUsMax: limit.CPUsMax, GPUsMax: limit.GPUsMax}
	cpusLeft, gpusLeft := limit.CPUsMax, limit.GPUsMax
	for k, region := range g.experiment.Regions {
		share := plan.Share{Region: region.Name, CPUsOwned: math.Trunc(limit.CPUsMax * region.OwnedShare), GPUsOwned: math.Trunc(limit.GPUsMax * region.OwnedShare)}
		if k == len(g.experiment.Regions)-1 {
			share.CPUsOwned, share.GPUsOwned = cpusLeft, gpusLeft
		}
		cpusLeft, gpusLeft = cpusLeft-share.CPUsOwned, gpusLeft-share.GPUsOwned
		share.CPUs = math.Trunc(min(share.CPUsOwned, limit.CPUs*region.OwnedShare))
		share.GPUs = math.Trunc(min(share.GPUsOwned, limit.GPUs*region.OwnedShare))
		team.Shares = append(team.Shares, share)
	}
	return team
}

// writeRegionsFile writes the regions file of a region and returns its path. The file lists the
// addresses of links in place of the other regions' controllers, so that the regions can be
// partitioned.
func (g *regionRun) writeRegionsFile(i int, dir string) (string, error) {
	own := *g.plan
	own.Regions = slices.Clone(g.plan.Regions)
	for other := range own.Regions {
		if other == i {
			continue
		}
		link := newRegionLink(g.options.Log)
		g.links[linkDirection{own.Regions[i].Name, own.Regions[other].Name}] = link
		var linked []string
		for _, address := range g.plan.Regions[other].Controllers {
			linkAddress, err := link.listen(address)
			if err != nil {
				return "", err
			}
			linked = append(linked, linkAddress)
		}
		own.Regions[other].Controllers = linked
	}
	path := filepath.Join(dir, "regions.toml")
	return path, writeTOML(path, own)
}

// scheduleFailures schedules each failure in the region that it names, or in all regions.
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

// partition blocks the links from the failure's region to another one or to all others, and with
// BothWays also the links back.
func (g *regionRun) partition(failure Failure) {
	g.options.Log.Info("failure injected", "kind", failure.Kind, "at_s", failure.AtS, "region", failure.Region, "to", failure.To,
		"both", failure.BothWays, "for_s", failure.ForS)
	for _, region := range g.experiment.Regions {
		if region.Name == failure.Region || failure.To != "" && failure.To != region.Name {
			continue
		}
		g.links[linkDirection{failure.Region, region.Name}].partition(seconds(failure.ForS))
		if failure.BothWays {
			g.links[linkDirection{region.Name, failure.Region}].partition(seconds(failure.ForS))
		}
	}
}

// close kills all processes and closes the links.
func (g *regionRun) close() {
	for _, runner := range g.runners {
		runner.close()
	}
	for _, link := range g.links {
		link.close()
	}
}

// combineReports combines the regions' reports and the teams' usage over all regions into one
// report.
func (g *regionRun) combineReports(reports []*Report) *Report {
	combined := &Report{Experiment: g.experiment.Name, Regions: reports, Teams: g.usage.report(), History: g.usage.history}
	for _, report := range reports {
		combined.DurationS = max(combined.DurationS, report.DurationS)
		combined.Interrupted = combined.Interrupted || report.Interrupted
		for _, violation := range report.Violations {
			combined.Violations = append(combined.Violations, report.Experiment+": "+violation)
		}
	}
	combined.Violations = append(combined.Violations, g.usage.limitViolations()...)
	return combined
}

// historyInterval is the time between two points of a series in the history.
const historyInterval = 250 * time.Millisecond

// recordHistory starts to record the teams' usage and the regions' owned shares. The returned
// function stops it.
func (g *regionRun) recordHistory() (stop func()) {
	done := make(chan struct{})
	var recorder sync.WaitGroup
	recorder.Go(func() { g.recordUntil(done) })
	return func() {
		close(done)
		recorder.Wait()
	}
}

// recordUntil samples the teams' usage every historyInterval, and writes the progress, until the
// channel is closed.
func (g *regionRun) recordUntil(done <-chan struct{}) {
	startedAt, lastProgress := time.Now(), time.Now()
	tick := time.NewTicker(historyInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		g.usage.sample(time.Since(startedAt), g.runners)
		if g.options.Progress != nil && time.Since(lastProgress) >= g.options.ProgressEvery {
			lastProgress = time.Now()
			g.usage.writeProgress(&g.options, time.Since(startedAt), g.experiment.DurationS)
		}
	}
}
