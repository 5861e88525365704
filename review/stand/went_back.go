//go:build review

package main

import (
	"fmt"
	"time"
)

// longJobs is the number of jobs that a pipeline's last job awaits beside the short one.
const longJobs = 49

// uniformSettings are those of the deployment lakeshore-uniform-rental, with one of its teams.
const uniformSettings = `skew_ms = 1000.0
[[deployment.teams]]
name = "mendroom"
cpus = 0.0
cpus_max = 0.0
gpus = 300.0
gpus_max = 3500.0
[[deployment.objectives]]
kind = "guarantee"
within_s = 30.0
share = 0.94
[deployment.workers]
report_s = 2.0
lease_s = 16.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 46.0
[deployment.state]
rps = 100.0
write_rps = 30.0
value_kb = 32.0
txn_ops = 12
[deployment.cloud]
rps = 3.0
list_lag_s = 3.0
[deployment.machine_limits]
cpu = 0.06
ram_mb = 70.0
max_connections = 600
`

// wentBack plays two users. Each submits 50 jobs through a controller of its own, and a last job that
// awaits them. One of the 50 ends while connections between controllers are refused, shortly before
// the last job is submitted. Then all controllers are asked for the job that has ended.
func wentBack() scenario {
	zones := []string{"ontarioside", "superiorside", "bayside"}
	return scenario{
		types: []machineType{{
			Label: "presshall", CPUs: 96, GPUs: 8, MemGB: 768, LocalGB: 600, FetchGBPerS: 2,
			Rate: 21.24, LowPrice: 7.48, BootS: 2, Berths: zones,
		}},
		capacity: map[string]int{"presshall ontarioside": 1, "presshall superiorside": 1, "presshall bayside": 1},
		bootTime: 2 * time.Second,
		zones:    []string{"ontarioside", "superiorside", "bayside", "ontarioside", "superiorside"},
		settings: uniformSettings,
		timings:  timings{report: 2 * time.Second, lease: 16 * time.Second},
		txnOps:   12,
		valueKB:  32,
		team:     "mendroom",
		play:     playWentBack,
	}
}

// pipeline is what one user submits through one controller.
type pipeline struct {
	at    *node
	short *jobSpec
	names []string // of the jobs that the last one awaits, the short one last
}

func playWentBack(c *played) error {
	var pipelines []*pipeline
	for i, n := range c.nodes[:2] { // at least one of them does not lead
		p := &pipeline{at: n}
		for k := range longJobs {
			spec := batchJob(fmt.Sprintf("job-%d%05d", i+1, k+1), 300*time.Second)
			if err := c.submitJob(n, spec, nil); err != nil {
				return err
			}
			p.names = append(p.names, spec.ID)
		}
		p.short = batchJob(fmt.Sprintf("job-%d90000", i+1), 12*time.Second)
		if err := c.submitJob(n, p.short, nil); err != nil {
			return err
		}
		p.names = append(p.names, p.short.ID)
		pipelines = append(pipelines, p)
	}
	if err := c.waitRunning(pipelines); err != nil {
		return err
	}
	troubleOver := make(chan error, 1)
	if c.trouble {
		go func() { troubleOver <- c.refusePeers(20 * time.Second) }()
	} else {
		troubleOver <- nil
	}
	return c.finishPipelines(pipelines, troubleOver)
}

// batchJob is an array of one small task.
func batchJob(id string, run time.Duration) *jobSpec {
	return &jobSpec{ID: id, Tasks: 1, CPUs: 1, MemGB: 2, Image: "img-01", ImageGB: 0.1, Run: run}
}

func (c *played) submitJob(n *node, spec *jobSpec, awaits []string) error {
	c.fleet.upload(spec)
	if !c.submit(n, submission(spec, c.team, "array", "normal", awaits)) {
		return fmt.Errorf("%s was not accepted by %s", spec.ID, n.name)
	}
	return nil
}

// waitRunning polls the short jobs until all of them run.
func (c *played) waitRunning(pipelines []*pipeline) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		running := 0
		for _, p := range pipelines {
			if _, state := c.poll(p.at, p.short.ID); state.Status == "running" {
				running++
			}
		}
		if running == len(pipelines) {
			return nil
		}
	}
	return fmt.Errorf("the short jobs do not run")
}

// finishPipelines waits for the short jobs' ends, submits the last jobs and asks at all controllers.
func (c *played) finishPipelines(pipelines []*pipeline, troubleOver chan error) error {
	for i, p := range pipelines {
		other := c.nodes[(i+1)%len(c.nodes)]
		if err := c.waitDone(other, p.short.ID); err != nil {
			return err
		}
		last := batchJob(fmt.Sprintf("job-%d99999", i+1), 5*time.Second)
		if err := c.submitJob(p.at, last, p.names); err != nil {
			return err
		}
		c.askEverywhere(p.short.ID)
	}
	err := <-troubleOver
	for range 3 {
		for _, p := range pipelines {
			c.askEverywhere(p.short.ID)
		}
		time.Sleep(2 * time.Second)
	}
	return err
}

// waitDone polls a job at one controller until it is done.
func (c *played) waitDone(n *node, id string) error {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, state := c.poll(n, id); state.Status == "done" {
			return nil
		}
	}
	return fmt.Errorf("%s is not done", id)
}

// askEverywhere asks all controllers for a job that a user was told to be done.
func (c *played) askEverywhere(id string) {
	for _, n := range c.nodes {
		if status, state := c.poll(n, id); status == 404 || status == 200 && state.Status != "done" {
			c.rec.breaks("went_back: %s was called done, and %s now answers %d %s", id, n.name, status, state.Status)
		}
	}
}
