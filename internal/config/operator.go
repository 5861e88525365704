package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Operator is the operators' own optional file. Its fields may be missing.
type Operator struct {
	// LogLevel is the log level that holds when LOG_LEVEL is not set.
	LogLevel string `toml:"log_level"`
	// WarmMachines bounds how many idle machines are kept for expected work.
	WarmMachines *int `toml:"warm_machines"`
	// IdleReturnS is how many seconds a machine stays idle before it is returned.
	IdleReturnS *float64 `toml:"idle_return_s"`
	// RegionsFile names the file of the regions that share limits, Region is this one and
	// RegionListen the address for the others' messages. All three are given or none.
	RegionsFile  string `toml:"regions_file"`
	Region       string `toml:"region"`
	RegionListen string `toml:"region_listen"`
}

// LoadOperator reads and validates the operators' file; an unknown key is an error. An
// empty path gives the defaults.
func LoadOperator(path string) (*Operator, error) {
	var operator Operator
	if path == "" {
		return &operator, nil
	}
	metadata, err := toml.DecodeFile(path, &operator)
	if err != nil {
		return nil, fmt.Errorf("parse operators' settings: %w", err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		return nil, fmt.Errorf("operators' settings %s: unknown key %q", path, undecoded[0].String())
	}
	if err := operator.validate(); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return &operator, nil
}

// validate names the first problem.
func (o *Operator) validate() error {
	if o.WarmMachines != nil && *o.WarmMachines < 0 {
		return errors.New("warm_machines: below 0")
	}
	if o.IdleReturnS != nil && *o.IdleReturnS < 0 {
		return errors.New("idle_return_s: below 0")
	}
	return o.validateRegions()
}

// validateRegions checks that all of the fields of regions are given or none.
func (o *Operator) validateRegions() error {
	if o.RegionsFile == "" && o.Region == "" && o.RegionListen == "" {
		return nil
	}
	var found problems
	for _, field := range []struct{ name, value string }{
		{"regions_file", o.RegionsFile},
		{"region", o.Region},
	} {
		if field.value == "" {
			found.addf("%s: missing, it goes with region_listen, region and regions_file", field.name)
		}
	}
	found.address("region_listen", o.RegionListen)
	return found.err()
}
