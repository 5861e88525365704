package config

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// OperatorSettings holds the operators' settings. The file is optional, and so is every field.
type OperatorSettings struct {
	// LogLevel is the log level if the environment variable LOG_LEVEL is not set.
	LogLevel string `toml:"log_level"`
	// WarmMachines limits how many idle machines are kept for expected work.
	WarmMachines *int `toml:"warm_machines"`
	// IdleReturnS is how long a machine stays idle before it is returned, in seconds.
	IdleReturnS *float64 `toml:"idle_return_s"`
	// RegionsFile is the path of the file that lists the regions that share limits, Region is
	// the name of this region, and RegionListen is the address for messages of other regions.
	// All three must be set, or none.
	RegionsFile  string `toml:"regions_file"`
	Region       string `toml:"region"`
	RegionListen string `toml:"region_listen"`
}

// LoadOperatorSettings reads and validates the operators' settings. An unknown field is an error.
// An empty path gives the defaults.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	var operator OperatorSettings
	if path == "" {
		return &operator, nil
	}
	metadata, err := toml.DecodeFile(path, &operator)
	if err != nil {
		return nil, fmt.Errorf("parse operators' settings: %w", err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		return nil, fmt.Errorf("operators' settings %s: %s: unknown field", path, undecoded[0].String())
	}
	if err := operator.validate(); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return &operator, nil
}

// validate returns the first problem.
func (o *OperatorSettings) validate() error {
	if o.WarmMachines != nil && *o.WarmMachines < 0 {
		return errors.New("warm_machines: must be 0 or greater")
	}
	if o.IdleReturnS != nil && *o.IdleReturnS < 0 {
		return errors.New("idle_return_s: must be 0 or greater")
	}
	return o.validateRegions()
}

// validateRegions checks that the three fields of regions are all set, or none.
func (o *OperatorSettings) validateRegions() error {
	if o.RegionsFile == "" && o.Region == "" && o.RegionListen == "" {
		return nil
	}
	var found problems
	for _, field := range []struct{ name, value string }{
		{"regions_file", o.RegionsFile},
		{"region", o.Region},
	} {
		if field.value == "" {
			found.addf("%s: missing; regions_file, region and region_listen must be set together", field.name)
		}
	}
	found.address("region_listen", o.RegionListen)
	return found.err()
}
