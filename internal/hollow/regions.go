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

// Region is a region of an experiment with several: a deployment of its own, with all that the file
// says of one. The teams' limits and guarantees hold over all regions.
type Region struct {
	Name string  `toml:"name"`
	Load float64 `toml:"load"` // factor of its jobs
	// Owned is the part of each limit that it owns at first.
	Owned float64 `toml:"owned"`
}

// regionRun is a run of several regions.
type regionRun struct {
	experiment *Experiment
	options    Options
	usage      *usageMeter
	runners    []*runner
	plan       *plan.Plan
	links      map[regionPair]*regionLink
	addresses  *loopback.Claim // of the controllers of all regions
}

// regionPair names the direction of a link between two regions.
type regionPair struct{ from, to string }

// regionMember is what a runner needs to play one region of several.
type regionMember struct {
	run      *regionRun
	name     string
	listen   []string // address of each controller for other regions
	planPath string   // of the regions file
}

// runRegions runs an experiment with several regions. Its report has the report of each region and the
// teams' usage over all of them.
func runRegions(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	claim, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer closeLogged(options.Log, "address claim", claim) // after the processes have ended
	run := &regionRun{experiment: experiment, options: options, usage: newUsageMeter(experiment), links: map[regionPair]*regionLink{}, addresses: claim}
	defer run.close()
	if err := run.prepare(); err != nil {
		return nil, err
	}
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
		member := &regionMember{run: g, name: region.Name, listen: addresses[i]}
		dir := filepath.Join(g.options.Dir, region.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		var err error
		if member.planPath, err = g.writePlan(i, dir); err != nil {
			return err
		}
		options := g.options
		options.Dir, options.Log = dir, options.Log.With("region", region.Name)
		options.Progress = nil
		runner := newRunner(g.regionExperiment(i), options, g.addresses)
		runner.region = member
		g.runners = append(g.runners, runner)
		if err := runner.prepare(); err != nil {
			return err
		}
	}
	return nil
}

// regionExperiment is the experiment of one region. Its failures are injected by the regionRun.
func (g *regionRun) regionExperiment(i int) *Experiment {
	e, region := *g.experiment, g.experiment.Regions[i]
	e.Name, e.Seed, e.Failures = region.Name, e.Seed+uint64(i), nil
	e.Jobs = slices.Clone(e.Jobs)
	for k := range e.Jobs {
		class := &e.Jobs[k]
		class.InitialTasks = int(float64(class.InitialTasks) * region.Load)
		class.TasksPerSecond *= region.Load
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
		quotaPlan.Teams = append(quotaPlan.Teams, g.teamPlan(i))
	}
	return quotaPlan
}

// teamPlan divides the limits of a team. The last region owns what the others leave.
func (g *regionRun) teamPlan(i int) plan.Team {
	limit := g.experiment.teamLimit()
	team := plan.Team{Name: teamName(i), CPUsMax: limit.CPUsMax, GPUsMax: limit.GPUsMax}
	cpusLeft, gpusLeft := limit.CPUsMax, limit.GPUsMax
	for k, region := range g.experiment.Regions {
		share := plan.Share{Region: region.Name, CPUsOwned: math.Trunc(limit.CPUsMax * region.Owned), GPUsOwned: math.Trunc(limit.GPUsMax * region.Owned)}
		if k == len(g.experiment.Regions)-1 {
			share.CPUsOwned, share.GPUsOwned = cpusLeft, gpusLeft
		}
		cpusLeft, gpusLeft = cpusLeft-share.CPUsOwned, gpusLeft-share.GPUsOwned
		share.CPUs = math.Trunc(min(share.CPUsOwned, limit.CPUs*region.Owned))
		share.GPUs = math.Trunc(min(share.GPUsOwned, limit.GPUs*region.Owned))
		team.Shares = append(team.Shares, share)
	}
	return team
}

// writePlan writes a region's regions file and returns its path. The other regions' controllers have
// the addresses of links there, which can be partitioned.
func (g *regionRun) writePlan(i int, dir string) (string, error) {
	own := *g.plan
	own.Regions = slices.Clone(g.plan.Regions)
	for other := range own.Regions {
		if other == i {
			continue
		}
		link := newRegionLink(g.options.Log)
		g.links[regionPair{own.Regions[i].Name, own.Regions[other].Name}] = link
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

// scheduleFailures schedules the failures in the regions that they name.
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

// partition blocks the links from a region to another, or to all others, for a while.
func (g *regionRun) partition(failure Failure) {
	g.options.Log.Info("failure injected", "kind", failure.Kind, "at_s", failure.AtS, "region", failure.Region, "to", failure.To,
		"both", failure.BothWays, "for_s", failure.ForS)
	for _, region := range g.experiment.Regions {
		if region.Name == failure.Region || failure.To != "" && failure.To != region.Name {
			continue
		}
		g.links[regionPair{failure.Region, region.Name}].partition(seconds(failure.ForS))
		if failure.BothWays {
			g.links[regionPair{region.Name, failure.Region}].partition(seconds(failure.ForS))
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

// combineReports combines the regions' reports with the teams' usage.
func (g *regionRun) combineReports(reports []*Report) *Report {
	combined := &Report{Experiment: g.experiment.Name, Regions: reports, Teams: g.usage.report(), History: g.usage.history}
	for _, report := range reports {
		combined.Seconds = max(combined.Seconds, report.Seconds)
		combined.Interrupted = combined.Interrupted || report.Interrupted
		for _, violation := range report.Violations {
			combined.Violations = append(combined.Violations, report.Experiment+": "+violation)
		}
	}
	combined.Violations = append(combined.Violations, g.usage.limitViolations()...)
	return combined
}

// historyInterval is the time between two points of the history.
const historyInterval = 250 * time.Millisecond

// recordHistory records what teams use and regions own until the function that it returns is
// called.
func (g *regionRun) recordHistory() (stop func()) {
	done := make(chan struct{})
	var recorder sync.WaitGroup
	recorder.Go(func() { g.recordUntil(done) })
	return func() {
		close(done)
		recorder.Wait()
	}
}

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
			g.usage.writeProgress(&g.options, time.Since(startedAt), g.experiment.Seconds)
		}
	}
}
