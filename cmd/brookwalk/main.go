// Command brookwalk is one controller of a fleet that serves language models.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/node"
)

// version is the program's version.
const version = "0.1.0"

var cli struct {
	Config   string           `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string           `help:"Operators' own settings (TOML)." type:"path" placeholder:"FILE" env:"BROOKWALK_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Serve struct{} `cmd:"" default:"1" help:"Run the controller (default)."`
	Check struct{} `cmd:"" help:"Check the settings and exit."`
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
	return node.New(cfg, op, log).Run()
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
