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

// Run serves requests until the process ends or a listener fails.
func (serveCommand) Run(env *environment) error {
	n := node.New(env.settings, env.operator, env.log)
	if env.regions != nil {
		n.JoinRegions(env.regions, env.operator)
	}
	return n.Run()
}

// checkCommand checks the settings.
type checkCommand struct{}

// Run prints the ignored fields and how many workers the controllers can serve. The settings were
// validated when they were loaded.
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

// wakeCommand runs the activator, which starts a model that is scaled to zero when a request comes.
type wakeCommand struct {
	Registry       string        `help:"Models that may be scaled to zero (TOML)." required:"" type:"path" placeholder:"FILE"`
	Listen         string        `help:"Address for requests to models." default:"127.0.0.1:8090"`
	RequestTimeout time.Duration `help:"Longest time that a request waits for a model." default:"60s" name:"patience"`
}

// Run serves requests to models until the process receives a termination signal.
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

// awaitTermination blocks until the process receives SIGINT or SIGTERM.
func awaitTermination() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
}

// quotaTimeout bounds each request of quotaShowCommand to the key-value store.
const quotaTimeout = 5 * time.Second

// quotaShowCommand prints this region's part of the team limits that are shared with other regions.
type quotaShowCommand struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// Run reads the region's shares of the limits from its key-value store and prints them.
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

// quotaCheckCommand validates a regions file, whether or not the settings name it.
type quotaCheckCommand struct {
	File string `arg:"" help:"Regions file (TOML)." type:"existingfile"`
}

// Run loads the file and prints how many regions and teams it has.
func (q *quotaCheckCommand) Run() error {
	regions, err := plan.Load(q.File)
	if err != nil {
		return err
	}
	fmt.Printf("%d regions, %d teams; the file is good\n", len(regions.Regions), len(regions.Teams))
	return nil
}
