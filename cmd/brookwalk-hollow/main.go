// Command brookwalk-hollow runs real controllers with simulated ("hollow") workers, users, cloud
// and key-value store on one machine. It reports the resources that the controllers used, the
// traffic and the rule violations.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
	"github.com/brookwalk/brookwalk/internal/hollow"
)

// commandLine holds the flags and the commands.
type commandLine struct {
	LogLevel string `help:"Log level of this command: error, warn, info or debug." default:"warn" enum:"error,warn,info,debug"`

	Run runCommand `cmd:"" help:"Run an experiment."`

	Check struct {
		File string `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	} `cmd:"" help:"Check an experiment file and exit."`
}

// runCommand holds the flags and arguments of the command that runs an experiment.
type runCommand struct {
	File     string  `arg:"" help:"Experiment file (TOML)." type:"existingfile"`
	Report   string  `help:"Write the report to this file, as JSON." type:"path" placeholder:"FILE"`
	HTML     string  `help:"Write a page with plots to this file." name:"html" type:"path" placeholder:"FILE"`
	Parquet  string  `help:"Write the measurements over time to this file (Apache Parquet)." type:"path" placeholder:"FILE"`
	Scale    float64 `help:"Multiply machines, teams' limits and jobs." default:"1"`
	Seconds  float64 `help:"Duration of the run in seconds; overrides the experiment file."`
	Deploy   string  `help:"The deploy file, which says how the program is built and started." default:"deploy/service.toml" type:"path"`
	Dir      string  `help:"Keep settings and controllers' logs in this directory; by default a temporary one that is removed afterwards." type:"path"`
	Progress float64 `help:"Seconds between two lines of progress; 0 for none." default:"2"`
}

func main() {
	var cli commandLine
	command := kong.Parse(&cli, kong.Name("brookwalk-hollow"), kong.Description("Runs real controllers among thousands of hollow workers."))
	if err := cli.execute(command.Command()); err != nil {
		fmt.Fprintln(os.Stderr, "brookwalk-hollow:", err)
		os.Exit(1)
	}
}

// execute runs a command.
func (c *commandLine) execute(command string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if strings.HasPrefix(command, "check") {
		_, err := hollow.Load(c.Check.File)
		return err
	}
	return c.Run.run(log)
}

// errViolations means that the run violated rules.
var errViolations = errors.New("the run violated rules, see the report")

// run runs the experiment and writes its report.
func (r *runCommand) run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	experiment, err := r.experiment()
	if err != nil {
		return err
	}
	command, err := buildProgram(ctx, r.Deploy)
	if err != nil {
		return err
	}
	dir, remove, err := makeDirectory(r.Dir)
	if err != nil {
		return err
	}
	defer remove()
	options := hollow.Options{Command: command, Dir: dir, Log: log}
	if r.Progress > 0 {
		options.Progress, options.ProgressEvery = os.Stdout, time.Duration(r.Progress*float64(time.Second))
	}
	report, err := hollow.Run(ctx, experiment, options)
	if err != nil {
		return err
	}
	if err := r.writeReport(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}

// experiment reads the experiment file and applies the flags that override it.
func (r *runCommand) experiment() (*hollow.Experiment, error) {
	experiment, err := hollow.Load(r.File)
	if err != nil {
		return nil, err
	}
	if r.Scale <= 0 {
		return nil, fmt.Errorf("--scale: must be greater than 0, is %v", r.Scale)
	}
	experiment.Scale(r.Scale)
	if r.Seconds > 0 {
		experiment.DurationS = r.Seconds
	}
	return experiment, nil
}

// writeReport writes the report to the files that the flags name, and as a table to standard
// output.
func (r *runCommand) writeReport(report *hollow.Report) error {
	if r.Report != "" {
		if err := report.WriteJSON(r.Report); err != nil {
			return err
		}
	}
	if r.Parquet != "" {
		if err := report.History.WriteParquet(r.Parquet); err != nil {
			return err
		}
	}
	if r.HTML != "" {
		if err := report.WritePage(r.HTML); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}

// buildProgram runs the build command of the deploy file in the current directory, and returns the
// command that starts the program.
func buildProgram(ctx context.Context, deployPath string) ([]string, error) {
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile(deployPath, &deploy); err != nil {
		return nil, fmt.Errorf("read deploy file: %w", err)
	}
	build := exec.CommandContext(ctx, "sh", "-c", deploy.Build)
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		return nil, fmt.Errorf("run build command of the deploy file: %w", err)
	}
	return strings.Fields(deploy.Run), nil
}

// makeDirectory creates the directory for settings and logs. If the name is empty, it is a
// temporary directory, which the returned remove function deletes.
func makeDirectory(name string) (dir string, remove func(), err error) {
	if name != "" {
		return name, func() {}, os.MkdirAll(name, 0o755)
	}
	dir, err = os.MkdirTemp("", "brookwalk-hollow-")
	return dir, func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "brookwalk-hollow:", err)
		}
	}, err
}
