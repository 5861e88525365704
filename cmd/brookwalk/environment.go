package main

import (
	"fmt"
	"log/slog"
	"os"
	"slices"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
)

// environment holds what the commands share: the settings, and a logger to standard error.
type environment struct {
	settings *config.Settings
	operator *config.OperatorSettings
	regions  *plan.Plan // nil if the operators' settings name no regions file
	log      *slog.Logger
}

// loadEnvironment reads and validates all files that the command line names.
func loadEnvironment(cli *commandLine) (*environment, error) {
	settings, err := config.Load(cli.Config)
	if err != nil {
		return nil, err
	}
	operator, err := config.LoadOperatorSettings(cli.Operator)
	if err != nil {
		return nil, err
	}
	level, err := logLevel(operator)
	if err != nil {
		return nil, err
	}
	regions, err := loadRegions(operator)
	if err != nil {
		return nil, err
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return &environment{settings: settings, operator: operator, regions: regions, log: slog.New(handler)}, nil
}

// loadRegions reads the regions file that the operators' settings name, and checks that it contains
// this controller. It returns nil if they name none.
func loadRegions(operator *config.OperatorSettings) (*plan.Plan, error) {
	if operator.RegionsFile == "" {
		return nil, nil
	}
	regions, err := plan.Load(operator.RegionsFile)
	if err != nil {
		return nil, err
	}
	index := regions.Index(operator.Region)
	if index < 0 {
		return nil, fmt.Errorf("region: %s has no region %q", operator.RegionsFile, operator.Region)
	}
	if !slices.Contains(regions.Regions[index].Controllers, operator.RegionListen) {
		return nil, fmt.Errorf("region_listen: %q is not a controller address of region %s in %s",
			operator.RegionListen, operator.Region, operator.RegionsFile)
	}
	return regions, nil
}

// logLevel returns the level from the environment variable LOG_LEVEL, else from the operators'
// settings, else info.
func logLevel(operator *config.OperatorSettings) (slog.Level, error) {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		name = operator.LogLevel
	}
	switch name {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("log level (LOG_LEVEL or log_level): %q is not error, info or debug", name)
	}
}
