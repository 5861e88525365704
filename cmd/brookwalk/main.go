// Command brookwalk runs one controller of a fleet that serves language models. It parses the
// command line, loads and validates all settings, and runs a command: the controller, the activator
// of models that are scaled to zero, or a check or report for operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// version is the program's version.
const version = "0.1.0"

// commandLine holds the flags and the commands.
type commandLine struct {
	Config   string           `help:"Settings file of the platform (TOML)." required:"" type:"path" placeholder:"FILE"`
	Operator string           `help:"Operators' own settings (TOML)." type:"path" placeholder:"FILE" env:"BROOKWALK_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Serve serveCommand `cmd:"" default:"1" help:"Run the controller (default)."`
	Check checkCommand `cmd:"" help:"Check the settings and exit."`
	Wake  wakeCommand  `cmd:"" help:"Serve requests to models that may be scaled to zero."`
	Quota struct {
		Show  quotaShowCommand  `cmd:"" help:"Show what this region owns of the teams' limits, from its key-value store."`
		Check quotaCheckCommand `cmd:"" help:"Check a regions file and exit."`
	} `cmd:"" help:"Limits that are shared with other regions."`
}

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("brookwalk"),
		kong.Description("A scheduler for fleets that serve language models."),
		kong.Vars{"version": version})
	if err := run(parsed, &cli); err != nil {
		fmt.Fprintln(os.Stderr, "brookwalk:", err)
		os.Exit(1)
	}
}

// run loads and validates the settings, which is done for every command, and runs the command.
func run(parsed *kong.Context, cli *commandLine) error {
	env, err := loadEnvironment(cli)
	if err != nil {
		return err
	}
	return parsed.Run(env)
}
