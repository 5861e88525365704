//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A scenario plays a case in a deployment that serves. It returns an error if it could not be played.
type scenario struct {
	types    []machineType
	capacity map[string]int
	bootTime time.Duration
	zones    []string
	settings string
	timings  timings
	txnOps   int // of the store
	valueKB  float64
	prepared func(*worker)
	team     string
	play     func(c *played) error
}

// played is a scenario in progress.
type played struct {
	deployment
	*users
	fleet   *fleet
	cloud   *cloud
	rec     *recorder
	trouble bool
	team    string
}

// errInterrupted stops a case that takes too long.
var errInterrupted = errors.New("not over after 115 s")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	scenarios := map[string]func() scenario{"went_back": wentBack, "ran_twice": ranTwice, "two_copies": twoCopies}
	makeScenario, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "stand: no case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(makeScenario(), os.Args[2]))
}

// run plays a scenario and returns the exit status.
func run(s scenario, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs in", dir)
	}
	err = s.playIn(dir, record)
	broken := record.violations()
	switch {
	case len(broken) > 0:
		record.line("RESULT: the rule was broken, %d time(s)", len(broken))
		fmt.Println("broken:", broken[0])
		return 1
	case err != nil:
		record.line("RESULT: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	record.line("RESULT: the rule held")
	fmt.Println("held")
	return 0
}

// playIn starts the stand-ins and the controllers, plays the scenario and ends everything.
func (s *scenario) playIn(dir string, record *recorder) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	c := &played{rec: record, users: newUsers(record), trouble: os.Getenv("TROUBLE") != "0", team: s.team}
	c.deployment = deployment{zones: s.zones, settings: s.settings, dir: dir, command: command, record: record}
	c.fleet = &fleet{record: record, timings: s.timings, specs: map[string]*jobSpec{}, done: map[string]bool{}, on: map[string]map[*worker]uint64{}}
	c.cloud = &cloud{fleet: c.fleet, types: s.types, capacity: s.capacity, bootTime: s.bootTime, prepared: s.prepared}
	c.store = newKVStore(s.txnOps, s.valueKB)
	if c.deployment.cloud, err = c.cloud.listen(); err != nil {
		return err
	}
	if err := c.prepare(); err != nil {
		return err
	}
	c.fleet.nodes = c.nodes
	defer c.stopAll()
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if !c.waitHealthy(n, 10*time.Second) {
			return fmt.Errorf("controller %s is not healthy", n.name)
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.play(c) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-done:
		return err
	case <-signals:
		return errors.New("interrupted")
	case <-time.After(115*time.Second - time.Since(record.started)):
		return errInterrupted
	}
}
