//go:build review

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// lakeshoreSettings are those of the deployment lakeshore-linen-fleet, with one of its teams.
const lakeshoreSettings = `skew_ms = 1000.0
[[deployment.teams]]
name = "plant"
cpus = 0.0
cpus_max = 0.0
gpus = 56.0
gpus_max = 128.0
[[deployment.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.9
[deployment.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 35.0
[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 16
[deployment.cloud]
rps = 8.0
list_lag_s = 10.0
[deployment.machine_limits]
cpu = 0.18
ram_mb = 98.0
max_connections = 800
`

// Delays of what is held up on its way to and from the vanbox. A report's answer is accepted up to 4 s
// after the report.
const (
	heldReportAnswer = 3500 * time.Millisecond
	heldCallAnswer   = 1200 * time.Millisecond
)

// ranTwice plays a vanbox and boilerboxes. In each round an idle job's task is placed on the vanbox and
// soon stopped for an urgent job that may only run there, so that it goes on on a boilerbox.
func ranTwice() scenario {
	zones := []string{"erieside", "huronside", "michiside"}
	var held atomic.Bool
	return scenario{
		types: []machineType{{
			Label: "vanbox", CPUs: 48, GPUs: 4, MemGB: 192, LocalGB: 600, FetchGBPerS: fetchGBPerS,
			Rate: 14.69, LowPrice: 5.79, BootS: 2, Berths: zones,
		}, {
			Label: "boilerbox", CPUs: 96, GPUs: 8, MemGB: 384, LocalGB: 600, FetchGBPerS: fetchGBPerS,
			Rate: 20.25, LowPrice: 7.66, BootS: 2, Berths: zones,
		}},
		capacity: map[string]int{"vanbox erieside": 1, "boilerbox huronside": 1},
		bootTime: 2 * time.Second,
		zones:    zones,
		settings: lakeshoreSettings,
		timings:  timings{report: 1500 * time.Millisecond, lease: 10 * time.Second},
		txnOps:   16,
		valueKB:  16,
		team:     "plant",
		prepared: func(w *worker) {
			if w.hull != "vanbox" {
				return
			}
			w.holdAnswer = func() time.Duration { return heldWhile(&held, heldReportAnswer) }
			w.holdCall = func() time.Duration { return heldWhile(&held, heldCallAnswer) }
		},
		play: func(c *played) error { return playRanTwice(c, &held) },
	}
}

func heldWhile(held *atomic.Bool, delay time.Duration) time.Duration {
	if held.Load() {
		return delay
	}
	return 0
}

func playRanTwice(c *played, held *atomic.Bool) error {
	// Two replicas stay on the vanbox, two on the boilerbox.
	if err := c.submitGPUs("job-000001", "daemon", "critical", "vanbox", 2, 0, 0.1); err != nil {
		return err
	}
	if err := c.submitGPUs("job-000002", "daemon", "critical", "boilerbox", 2, 0, 0.1); err != nil {
		return err
	}
	for _, id := range []string{"job-000001", "job-000002"} {
		if err := c.waitAllRunning(id, 2); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	for round := range 5 {
		if c.trouble {
			c.rec.line("TROUBLE: commands to the vanbox in answers to its reports, and its answers to direct commands, are held up")
			held.Store(true)
		}
		if err := c.playRound(round + 1); err != nil {
			return err
		}
		held.Store(false)
		c.rec.line("nothing is held up any more")
		if len(c.rec.violations()) > 0 {
			return nil
		}
		time.Sleep(6 * time.Second)
	}
	return nil
}

// playRound submits a normal job for the vanbox, an idle one for any machine and an urgent one for the
// vanbox.
func (c *played) playRound(round int) error {
	id := func(n int) string { return fmt.Sprintf("job-%d%05d", n, round) }
	if err := c.submitGPUs(id(1), "array", "normal", "vanbox", 1, 6*time.Second, 1.2); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if err := c.submitGPUs(id(2), "array", "idle", "", 1, 15*time.Second, 0.1); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	if err := c.submitGPUs(id(3), "array", "urgent", "vanbox", 1, 300*time.Millisecond, 0.1); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	c.poll(c.nodes[0], id(2))
	return nil
}

// submitGPUs submits a job whose tasks take one GPU each. Each image belongs to one size.
func (c *played) submitGPUs(id, shape, urgency, hull string, tasks int, run time.Duration, imageGB float64) error {
	image := "img-01"
	if imageGB > 1 {
		image = "img-" + id
	}
	spec := &jobSpec{ID: id, Tasks: tasks, CPUs: 8, GPUs: 1, MemGB: 25, Image: image, ImageGB: imageGB, Run: run}
	c.fleet.upload(spec)
	body := submission(spec, c.team, shape, urgency, nil)
	if hull != "" {
		body["hulls"] = []string{hull}
	}
	if !c.submit(c.nodes[0], body) {
		return fmt.Errorf("%s was not accepted", id)
	}
	return nil
}

// waitAllRunning polls a job until all its tasks run.
func (c *played) waitAllRunning(id string, tasks int) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, state := c.poll(c.nodes[0], id); state.Running == tasks {
			return nil
		}
	}
	return fmt.Errorf("%s does not run", id)
}
