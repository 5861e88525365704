// Command brookwalk is one controller of a fleet that serves language models.
package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/node"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/internal/quota/report"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/internal/wake/activator"
)

// version is the program's version.
const version = "0.1.0"

var cli struct {
	Config   string           `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string           `help:"Operators' own settings (TOML)." type:"path" placeholder:"FILE" env:"BROOKWALK_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Serve struct{}   `cmd:"" default:"1" help:"Run the controller (default)."`
	Check struct{}   `cmd:"" help:"Check the settings and exit."`
	Wake  wakeFlags  `cmd:"" help:"Serve requests to models that may sleep."`
	Quota quotaFlags `cmd:"" help:"Limits that are shared with other regions."`
}

// wakeFlags are those of the command wake.
type wakeFlags struct {
	Registry string        `help:"Models that may sleep (TOML)." required:"" type:"path" placeholder:"FILE"`
	Listen   string        `help:"Address for requests to models." default:"127.0.0.1:8090"`
	Patience time.Duration `help:"How long a request waits at the most." default:"60s"`
}

// quotaFlags are those of the command quota.
type quotaFlags struct {
	Show struct {
		JSON bool `help:"Print JSON." name:"json"`
	} `cmd:"" help:"Show what this region owns of the teams' ceilings, from its state service."`
	Check struct {
		File string `arg:"" help:"Regions file (TOML)." type:"existingfile"`
	} `cmd:"" help:"Check a regions file and exit."`
}

// quotaTimeout bounds a request of quota show to the state service.
const quotaTimeout = 5 * time.Second

func main() {
	k := kong.Parse(&cli, kong.Name("brookwalk"),
		kong.Description("A scheduler for fleets that serve language models."),
		kong.Vars{"version": version})
	if err := run(k.Command()); err != nil {
		fmt.Fprintln(os.Stderr, "brookwalk:", err)
		os.Exit(1)
	}
}

func run(command string) error {
	cfg, err := config.Load(cli.Config)
	if err != nil {
		return err
	}
	op, err := config.LoadOperator(cli.Operator)
	if err != nil {
		return err
	}
	level, err := logLevel(op)
	if err != nil {
		return err
	}
	regions, err := loadRegions(op)
	if err != nil {
		return err
	}
	switch command {
	case "quota show":
		return showQuota(cfg)
	case "quota check <file>":
		return checkRegions()
	}
	if command == "check" {
		for _, field := range cfg.IgnoredFields {
			fmt.Printf("%s: unknown field, ignored\n", field)
		}
		d := &cfg.Deployment
		fmt.Printf("at most %d workers can report, %d with one controller away (max_connections %d, size %d)\n",
			d.MaxWorkers(d.Size), d.MaxWorkers(d.Size-1), d.MachineLimits.MaxConnections, d.Size)
		fmt.Println("settings are good")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if command == "wake" {
		return serveModels(cfg, log)
	}
	n := node.New(cfg, op, log)
	if regions != nil {
		n.JoinRegions(regions, op)
	}
	return n.Run()
}

// showQuota prints what the region owns.
func showQuota(cfg *config.Settings) error {
	ownership, err := report.Read(cfg.External.Store, quotaTimeout)
	if err != nil {
		return err
	}
	if cli.Quota.Show.JSON {
		return ownership.WriteJSON(os.Stdout)
	}
	return ownership.WriteTable(os.Stdout)
}

// checkRegions checks a regions file.
func checkRegions() error {
	p, err := plan.Load(cli.Quota.Check.File)
	if err != nil {
		return err
	}
	fmt.Printf("%d regions, %d teams; the file is good\n", len(p.Regions), len(p.Teams))
	return nil
}

// loadRegions reads the regions file that the operators' settings name; nil if they name none.
func loadRegions(op *config.Operator) (*plan.Plan, error) {
	if op.RegionsFile == "" {
		return nil, nil
	}
	regions, err := plan.Load(op.RegionsFile)
	if err != nil {
		return nil, err
	}
	index := regions.Index(op.Region)
	if index < 0 {
		return nil, fmt.Errorf("region: %s names no region %q", op.RegionsFile, op.Region)
	}
	if !slices.Contains(regions.Regions[index].Controllers, op.RegionListen) {
		return nil, fmt.Errorf("region_listen: %q is none of %s's controllers in %s", op.RegionListen, op.Region, op.RegionsFile)
	}
	return regions, nil
}

// serveModels serves requests to models until the process is told to end.
func serveModels(cfg *config.Settings, log *slog.Logger) error {
	registry, err := wake.LoadRegistry(cli.Wake.Registry)
	if err != nil {
		return err
	}
	activator, err := activator.Start(activator.Config{Name: cfg.Name, Incarnation: rand.Uint64(), Listen: cli.Wake.Listen, StoreAddress: cfg.External.Store,
		Registry: registry, RequestTimeout: cli.Wake.Patience, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving models", "name", cfg.Name, "listen", activator.Addr(), "models", len(registry.Models))
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	<-end
	activator.Stop()
	return nil
}

func logLevel(op *config.Operator) (slog.Level, error) {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		name = op.LogLevel
	}
	switch name {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", name)
}
