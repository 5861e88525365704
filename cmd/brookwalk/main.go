// Command brookwalk is one controller of a fleet that serves language models.
package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/node"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/internal/wake/gate"
)

// version is the program's version.
const version = "0.1.0"

var cli struct {
	Config   string           `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string           `help:"Operators' own settings (TOML)." type:"path" placeholder:"FILE" env:"BROOKWALK_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Serve struct{}  `cmd:"" default:"1" help:"Run the controller (default)."`
	Check struct{}  `cmd:"" help:"Check the settings and exit."`
	Wake  wakeFlags `cmd:"" help:"Serve requests to models that may sleep."`
}

// wakeFlags are those of the command wake.
type wakeFlags struct {
	Registry string        `help:"Models that may sleep (TOML)." required:"" type:"path" placeholder:"FILE"`
	Listen   string        `help:"Address for requests to models." default:"127.0.0.1:8090"`
	Patience time.Duration `help:"How long a request waits at the most." default:"60s"`
}

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
	if command == "check" {
		for _, field := range cfg.Ignored {
			fmt.Printf("%s: unknown field, ignored\n", field)
		}
		d := &cfg.Deployment
		fmt.Printf("at most %d workers can report, %d with one controller away (max_connections %d, size %d)\n",
			d.WorkersCarried(d.Size), d.WorkersCarried(d.Size-1), d.Limits.MaxConnections, d.Size)
		fmt.Println("settings are good")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if command == "wake" {
		return serveModels(cfg, log)
	}
	return node.New(cfg, op, log).Run()
}

// serveModels serves requests to models until the process is told to end.
func serveModels(cfg *config.Settings, log *slog.Logger) error {
	registry, err := wake.LoadRegistry(cli.Wake.Registry)
	if err != nil {
		return err
	}
	g, err := gate.Start(gate.Config{Name: cfg.Name, Run: rand.Uint64(), Listen: cli.Wake.Listen, State: cfg.External.State,
		Registry: registry, Patience: cli.Wake.Patience, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving models", "name", cfg.Name, "listen", g.Addr(), "models", len(registry.Models))
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	<-end
	g.Stop()
	return nil
}

func logLevel(op *config.Operator) (slog.Level, error) {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		name = op.Log
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
