package plan

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// maxAmount bounds each number of CPUs and GPUs, so that sums in thousandths never overflow.
const maxAmount = 1e9

// problems collects the errors that are found in a file.
type problems []string

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

// requireAmount requires a number from 0 to maxAmount. The condition is negated so that it also
// rejects NaN, for which every comparison is false.
func (p *problems) requireAmount(field string, value float64) {
	if !(value >= 0 && value <= maxAmount) {
		p.add("%s: must be from 0 to %g, is %v", field, float64(maxAmount), value)
	}
}

// requireName requires a name that can be part of a key and of an address.
func (p *problems) requireName(field, name string) {
	if name == "" || strings.ContainsAny(name, " /") {
		p.add("%s: %q must not be empty or contain a space or slash", field, name)
	}
}

// requireUnique requires that a value has not been seen before, and marks it as seen.
func (p *problems) requireUnique(field, value string, seen map[string]bool) {
	if seen[value] {
		p.add("%s: %q is listed twice", field, value)
	}
	seen[value] = true
}

// validated returns the plan, or an error that names every invalid field of the file.
func (p *Plan) validated(metadata toml.MetaData, file string) (*Plan, error) {
	var found problems
	for _, key := range metadata.Undecoded() {
		found.add("%s: unknown field", key)
	}
	p.validateRegions(&found)
	p.validateTeams(&found)
	if len(found) > 0 {
		return nil, fmt.Errorf("%s: %w", file, errors.New(strings.Join(found, "; ")))
	}
	return p, nil
}

func (p *Plan) validateRegions(found *problems) {
	if len(p.Regions) < 2 {
		found.add("regions: at least two are required")
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, region := range p.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		found.requireName(field+".name", region.Name)
		found.requireUnique(field+".name", region.Name, names)
		if len(region.Controllers) == 0 && !region.Lost {
			found.add("%s.controllers: missing", field)
		}
		for _, address := range region.Controllers {
			if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
				found.add("%s.controllers: %q is not an IP address with a port", field, address)
			}
			found.requireUnique(field+".controllers", address, addresses)
		}
	}
}

func (p *Plan) validateTeams(found *problems) {
	names := map[string]bool{}
	for i := range p.Teams {
		team := &p.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		found.requireName(field+".name", team.Name)
		found.requireUnique(field+".name", team.Name, names)
		found.requireAmount(field+".cpus_max", team.CPUsMax)
		found.requireAmount(field+".gpus_max", team.GPUsMax)
		p.validateShares(found, field, team)
	}
}

// validateShares validates a team's shares, which must add up to its limit.
func (p *Plan) validateShares(found *problems, field string, team *Team) {
	var sum amount.Amount
	regions := map[string]bool{}
	for i, share := range team.Shares {
		shareField := fmt.Sprintf("%s.shares[%d]", field, i)
		if p.Index(share.Region) < 0 {
			found.add("%s.region: no region %q in the file", shareField, share.Region)
		}
		found.requireUnique(shareField+".region", share.Region, regions)
		cpus := resourceShare{name: "cpus", limit: team.CPUsMax, guaranteed: share.CPUs, owned: share.CPUsOwned}
		cpus.validate(found, shareField)
		gpus := resourceShare{name: "gpus", limit: team.GPUsMax, guaranteed: share.GPUs, owned: share.GPUsOwned}
		gpus.validate(found, shareField)
		sum = sum.Add(amount.Of(share.CPUsOwned, share.GPUsOwned))
	}
	limit := amount.Of(team.CPUsMax, team.GPUsMax)
	if sum.CPUs != limit.CPUs {
		found.add("%s.shares: cpus_owned add up to %v, cpus_max is %v", field, float64(sum.CPUs)/amount.ThousandthsPerUnit, team.CPUsMax)
	}
	if sum.GPUs != limit.GPUs {
		found.add("%s.shares: gpus_owned add up to %v, gpus_max is %v", field, float64(sum.GPUs)/amount.ThousandthsPerUnit, team.GPUsMax)
	}
}

// resourceShare is a region's share of one resource.
type resourceShare struct {
	name                     string
	limit, guaranteed, owned float64
}

func (r *resourceShare) validate(found *problems, field string) {
	found.requireAmount(field+"."+r.name, r.guaranteed)
	found.requireAmount(field+"."+r.name+"_owned", r.owned)
	switch {
	case r.limit == 0 && r.owned != 0:
		found.add("%s.%s_owned: the team has no %s_max, so the value must be 0", field, r.name, r.name)
	case r.limit != 0 && r.guaranteed > r.owned:
		found.add("%s.%s: %v guaranteed is more than the %v owned", field, r.name, r.guaranteed, r.owned)
	}
}
