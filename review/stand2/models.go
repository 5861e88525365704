//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

// manyModels: an activator that has served more models than the state service lists in one answer is
// killed and started again.
func manyModels(r *run) (string, error) {
	const (
		loadS    = 0.05
		models   = 1010
		oneByOne = 130
		pace     = 45 * time.Millisecond // between two models' first requests
		patience = 10 * time.Second
	)
	first, second, _, err := modelServers(r, 60, loadS, 0)
	if err != nil {
		return "", err
	}
	first.quiet, second.quiet = true, true
	a := &activator{run: r, patience: patience, registry: wakeRegistry{LeaseS: 1, CopyLeaseS: 60, MaxWaking: 100, MaxWaiting: 2000}}
	for i := range models + 1 {
		a.registry.Models = append(a.registry.Models, wakeModel{Name: modelName(i), Servers: []string{first.address, second.address}, LoadS: loadS, IdleS: 1})
	}
	if err := a.begin(); err != nil {
		return "", err
	}
	if err := a.askMost(models, oneByOne, pace); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second) // the models are scaled to zero
	if r.trouble {
		a.process.kill()
		if err := a.start(); err != nil {
			return "", err
		}
	}
	status, err := a.request(modelName(models), "first", patience+time.Second)
	again, againErr := a.request(modelName(models/2), "second", patience+time.Second)
	switch {
	case err != nil || againErr != nil:
		return fmt.Sprintf("no answer: %v, %v", err, againErr), nil
	case status != 200 || again != 200:
		return fmt.Sprintf("after a restart no model is started: its first request gets status %d, a request to one that sleeps %d", status, again), nil
	}
	return "", nil
}

// askMost asks for models: most of them one after the other at a pace, the last ones each once the one
// before has been served.
func (a *activator) askMost(models, oneByOne int, pace time.Duration) error {
	if err := a.askAll(0, models-oneByOne, pace); err != nil {
		return err
	}
	for i := models - oneByOne; i < models; i++ {
		if err := a.askAll(i, i+1, 0); err != nil {
			return err
		}
	}
	return nil
}

// askAll asks for some models, and returns an error unless each serves the request.
func (a *activator) askAll(from, to int, pace time.Duration) error {
	var clients sync.WaitGroup
	results := make([]int, to-from)
	for i := range results {
		clients.Go(func() { results[i], _ = a.request(modelName(from+i), "k", a.patience+time.Second) })
		time.Sleep(pace)
	}
	clients.Wait()
	for i, status := range results {
		if status != 200 {
			return fmt.Errorf("the first request to model %d got status %d", from+i, status)
		}
	}
	return nil
}

func modelName(i int) string { return fmt.Sprintf("model-%04d", i) }
