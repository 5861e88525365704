package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/brookwalk/brookwalk/internal/node"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/internal/quota/report"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/internal/wake/activator"
)

// serveCommand runs the controller.
type serveCommand struct{}

// Run serves until the process ends or a listener fails.
func (serveCommand) Run(env *environment) error {
	n := node.New(env.settings, env.operator, env.log)
	if env.regions != nil {
		n.JoinRegions(env.regions, env.operator)
	}
	return n.Run()
}

// checkCommand checks the settings.
type checkCommand struct{}

// Run prints what the settings, which are valid, amount to.
func (checkCommand) Run(env *environment) error { //nolint:unparam // kong asks for an error
	for _, field := range env.settings.IgnoredFields {
		fmt.Printf("%s: unknown field, ignored\n", field)
	}
	deployment := &env.settings.Deployment
	fmt.Printf("at most %d workers can report, %d with one controller away (max_connections %d, size %d)\n",
		deployment.MaxWorkers(deployment.Size), deployment.MaxWorkers(deployment.Size-1),
		deployment.MachineLimits.MaxConnections, deployment.Size)
	fmt.Println("settings are good")
	return nil
}

// wakeCommand runs the activator of sleeping models.
type wakeCommand struct {
	Registry       string        `help:"Models that may sleep (TOML)." required:"" type:"path" placeholder:"FILE"`
	Listen         string        `help:"Address for requests to models." default:"127.0.0.1:8090"`
	RequestTimeout time.Duration `help:"How long a request waits at the most." default:"60s" name:"patience"`
}

// Run serves requests to models until the process is asked to end.
func (w *wakeCommand) Run(env *environment) error {
	registry, err := wake.LoadRegistry(w.Registry)
	if err != nil {
		return err
	}
	server, err := activator.Start(activator.Config{
		Name:           env.settings.Name,
		Incarnation:    rand.Uint64(),
		Listen:         w.Listen,
		StoreAddress:   env.settings.External.Store,
		Registry:       registry,
		RequestTimeout: w.RequestTimeout,
		Log:            env.log,
	})
	if err != nil {
		return err
	}
	env.log.Info("serving models", "controller", env.settings.Name, "listen", server.Addr(), "models", len(registry.Models))
	awaitTermination()
	server.Stop()
	return nil
}

// awaitTermination blocks until the process is asked to end.
func awaitTermination() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}

// quotaTimeout bounds a request of quotaShowCommand to the key-value store.
const quotaTimeout = 5 * time.Second

// quotaShowCommand reports the teams' limits that are shared with other regions.
type quotaShowCommand struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints what the region owns of the limits.
func (q *quotaShowCommand) Run(env *environment) error {
	ownership, err := report.Read(env.settings.External.Store, quotaTimeout)
	if err != nil {
		return err
	}
	if q.JSON {
		return ownership.WriteJSON(os.Stdout)
	}
	return ownership.WriteTable(os.Stdout)
}

// quotaCheckCommand checks a regions file, which need not be in use.
type quotaCheckCommand struct {
	File string `arg:"" help:"Regions file (TOML)." type:"existingfile"`
}

// Run loads the file.
func (q *quotaCheckCommand) Run() error {
	regions, err := plan.Load(q.File)
	if err != nil {
		return err
	}
	fmt.Printf("%d regions, %d teams; the file is good\n", len(regions.Regions), len(regions.Teams))
	return nil
}
