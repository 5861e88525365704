//go:build review2

package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// sharedTeam is the team whose limit holds over both regions.
const sharedTeam = "routing"

// The team's limit over all regions and each region's parts of it, in GPUs.
const (
	sharedLimit = 16
	ownedGPUs   = 8
	guaranteed  = 2
)

// regionsFile returns a regions file for regions that own the same part of the limit each.
func regionsFile(regions []plan.Region, owners ...string) plan.Plan {
	team := plan.Team{Name: sharedTeam, GPUsMax: sharedLimit}
	for _, owner := range owners {
		team.Shares = append(team.Shares, plan.Share{Region: owner, GPUs: guaranteed, GPUsOwned: ownedGPUs})
	}
	return plan.Plan{Regions: regions, Teams: []plan.Team{team}}
}

// regionPair is two regions that share a team's limit.
type regionPair struct {
	run          *run
	north, south *region
	listen       map[*region][]string
	jobs         int
}

func newRegionPair(r *run) (*regionPair, error) {
	pair := &regionPair{run: r, listen: map[*region][]string{}}
	shared := deployment(config.Team{Name: sharedTeam, GPUs: guaranteed, GPUsMax: sharedLimit})
	types := []wire.MachineType{{Name: "boilerbox", CPUs: 96, GPUs: 8, MemGB: 384, CacheGB: 200, PullGBPerS: 10, Price: 20.25, SpotPrice: 7.66, BootS: 25, Zones: shared.Zones}}
	var capacity []sim.Capacity
	for _, zone := range shared.Zones {
		capacity = append(capacity, sim.Capacity{Type: "boilerbox", Zone: zone, Count: 4, Up: 2})
	}
	for _, name := range []string{"north", "south"} {
		g, err := newRegion(r, name, shared, types, capacity)
		if err != nil {
			return nil, err
		}
		if pair.listen[g], err = r.addresses(shared.Size); err != nil {
			return nil, err
		}
		if name == "north" {
			pair.north = g
		} else {
			pair.south = g
		}
	}
	return pair, nil
}

// operate writes the operators' settings of a region's controllers: its name and the regions file.
func (p *regionPair) operate(g *region, name string, file plan.Plan) error {
	path, err := p.run.writeTOML(g.name+"-regions.toml", file)
	if err != nil {
		return err
	}
	for i, c := range g.controllers {
		if c.operator, err = p.run.writeTOML(fmt.Sprintf("%s-operator-%d.toml", g.name, i), config.OperatorSettings{
			RegionsFile: path, Region: name, RegionListen: p.listen[g][i],
		}); err != nil {
			return err
		}
	}
	return nil
}

// array submits an array of one-GPU tasks of the shared team and returns its class.
func (p *regionPair) array(g *region, class string, tasks int, runS float64) {
	p.jobs++
	g.submit(wire.Job{
		ID: fmt.Sprintf("job-%06d", p.jobs), Class: class, Team: sharedTeam, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 2, GPUs: 1, MemGB: 8, Image: "img-1", ImageGB: 0.5, EstimatedRunS: runS,
	}, runS)
}

// started waits until a number of tasks of a class has been started.
func started(g *region, class string, tasks int, limit time.Duration) error {
	if !await(limit, func() bool { return g.starts(class) >= tasks }) {
		return fmt.Errorf("%s: %d of %d tasks of class %s started within %v", g.name, g.starts(class), tasks, class, limit)
	}
	return nil
}

// begin starts both regions with a file that names them.
func (p *regionPair) begin() error {
	names := []plan.Region{{Name: "north", Controllers: p.listen[p.north]}, {Name: "south", Controllers: p.listen[p.south]}}
	file := regionsFile(names, "north", "south")
	for _, g := range []*region{p.north, p.south} {
		if err := p.operate(g, g.name, file); err != nil {
			return err
		}
		g.begin()
	}
	return nil
}

// moveShares has more work in each region than it owns, one after the other, so that shares move both
// ways. It returns a backup of the north's store from between the two.
func (p *regionPair) moveShares() (copied backup, err error) {
	p.array(p.north, "north-before", 12, 3)
	if err := started(p.north, "north-before", 12, 30*time.Second); err != nil {
		return copied, err
	}
	time.Sleep(4 * time.Second)
	copied = p.north.store.takeBackup()
	p.run.record("north: backup of the store")
	p.array(p.south, "south-before", 14, 3)
	if err := started(p.south, "south-before", 14, 30*time.Second); err != nil {
		return copied, err
	}
	time.Sleep(5 * time.Second)
	showQuota(p.run, "before the restore", p.north, p.south)
	return copied, nil
}

// restoreNorth restores the north's store, with the controllers stopped, and waits for the fence.
func (p *regionPair) restoreNorth(copied backup) error {
	p.run.record("north: all controllers are stopped, the store is restored from the backup, and they are started")
	p.north.killAll()
	p.north.store.restore(copied)
	p.north.startAll()
	if !await(20*time.Second, func() bool { shown, err := p.north.quotaShow(); return err == nil && shown.Fenced != "" }) {
		return errors.New("the region was not fenced")
	}
	showQuota(p.run, "after the restore", p.north, p.south)
	return nil
}

// renameNorth does what the operators' page says of a fenced region, and restarts the controllers of both
// regions one after the other.
func (p *regionPair) renameNorth() error {
	p.run.record("the operators mark north as lost in all files, add north2 without shares and restart the controllers")
	names := []plan.Region{{Name: "north", Lost: true}, {Name: "south", Controllers: p.listen[p.south]}, {Name: "north2", Controllers: p.listen[p.north]}}
	file := regionsFile(names, "north", "south")
	if err := p.operate(p.north, "north2", file); err != nil {
		return err
	}
	if err := p.operate(p.south, "south", file); err != nil {
		return err
	}
	for i := range p.north.controllers {
		for _, g := range []*region{p.north, p.south} {
			g.controllers[i].Kill()
			g.controllers[i].Start()
		}
		time.Sleep(time.Second)
	}
	return nil
}

// comeback: the store of a region is restored from a backup that is older than the last transfers, so
// that the region is fenced. It comes back under another name, as the operators' page says.
func comeback(r *run) (string, error) {
	p, err := newRegionPair(r)
	if err != nil {
		return "", err
	}
	if err := p.begin(); err != nil {
		return "", err
	}
	copied, err := p.moveShares()
	if err != nil {
		return "", err
	}
	if r.trouble {
		if err = p.restoreNorth(copied); err == nil {
			err = p.renameNorth()
		}
	} else {
		for _, g := range []*region{p.north, p.south} {
			g.killAll()
			g.startAll()
		}
	}
	if err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	p.array(p.south, "south-after", guaranteed, 3)
	p.array(p.north, "north-after", 1, 3)
	southErr := started(p.south, "south-after", guaranteed, 60*time.Second)
	northErr := started(p.north, "north-after", 1, time.Second)
	showQuota(r, "at the end", p.north, p.south)
	if southErr != nil {
		return "guaranteed work of a region whose store was never touched does not start: " + southErr.Error(), nil
	}
	if northErr != nil {
		return "work of the region that came back under another name does not start: " + northErr.Error(), nil
	}
	return "", nil
}
