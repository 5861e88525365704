//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// region is a deployment: controllers as processes, a state service that can be backed up, and the
// project's simulated cloud, workers and users.
type region struct {
	run         *run
	name        string
	store       *store
	live        *sim.Live
	settings    []config.Settings
	controllers []*controller

	mu      sync.Mutex
	started map[string]int // tasks started, by class
	used    map[string]float64
}

// newRegion makes a region whose machines are all up.
func newRegion(r *run, name string, shared config.Deployment, types []wire.MachineType, capacity []sim.Capacity) (*region, error) {
	g := &region{run: r, name: name, started: map[string]int{}, used: map[string]float64{}}
	storeAddress, err := r.address()
	if err != nil {
		return nil, err
	}
	if g.store, err = newStore(storeAddress); err != nil {
		return nil, err
	}
	cloudAddress, err := r.address()
	if err != nil {
		return nil, err
	}
	if g.settings, err = controllerSettings(r, "ctl", storeAddress, cloudAddress, shared); err != nil {
		return nil, err
	}
	g.live = sim.NewLive(sim.LiveConfig{
		Settings: &config.Settings{Deployment: shared}, Types: types, Capacity: capacity, Seed: uint64(len(name)),
		Observer: g, Log: slog.New(slog.DiscardHandler), WorkerAddress: g.serveWorker, UsageChanged: g.usageChanged,
	})
	for i := range g.settings {
		own := &g.settings[i]
		own.Name, own.Zone = g.live.Name(i), g.live.Zone(i)
		peer := 0
		for k := range g.settings {
			if k != i {
				own.Peers[peer].Name, own.Peers[peer].Zone = g.live.Name(k), g.live.Zone(k)
				peer++
			}
		}
		c := &controller{region: g, index: i}
		g.controllers = append(g.controllers, c)
		g.live.Attach(i, c)
	}
	return g, g.serve(cloudAddress, "cloud", g.live.ServeCloud)
}

// TaskStarted counts the starts by class.
func (g *region) TaskStarted(start sim.TaskStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started[start.Class]++
	g.run.record("%s: a task of class %s starts", g.name, start.Class)
}

func (g *region) starts(class string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started[class]
}

func (g *region) usageChanged(team string, _, gpus float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used[team] += gpus
}

// serve serves a stand-in of package sim at an address.
func (g *region) serve(address, what string, handle func(method, path string, body []byte, reply func(int, []byte))) error {
	_, err := httpserve.Listen(address, &httpserve.Traffic{}, func(request *httpwire.Request, reply func(httpserve.Response)) {
		if what == "cloud" && request.Method == "POST" {
			g.run.record("%s: %s %s %s", g.name, what, request.Path, request.Body)
		}
		g.live.Do(func() {
			handle(request.Method, httpserve.RequestTarget(request), request.Body, func(status int, body []byte) {
				reply(httpserve.Response{Status: status, Body: body})
			})
		})
	})
	return err
}

func (g *region) serveWorker(machine string) string {
	address, err := g.run.address()
	if err == nil {
		err = g.serve(address, machine, func(method, path string, body []byte, reply func(int, []byte)) {
			g.live.ServeWorker(machine, method, path, body, reply)
		})
	}
	if err != nil {
		panic(err)
	}
	return address
}

// begin starts the controllers and the world.
func (g *region) begin() { go g.live.Run(context.Background(), time.Hour) }

// submit makes a user submit a job and poll it.
func (g *region) submit(job wire.Job, runS float64) {
	g.run.record("%s: user submits %s of class %s: %d tasks of %g GPUs", g.name, job.ID, job.Class, job.Tasks, job.GPUs)
	g.live.Do(func() { g.live.Submit(sim.LiveJob{Job: job, RunS: runS}) })
}

// killAll kills all controllers; they are not started again until startAll.
func (g *region) killAll() {
	for _, c := range g.controllers {
		c.Kill()
	}
}

func (g *region) startAll() {
	for _, c := range g.controllers {
		c.Start()
	}
}

// controller is a controller process. It implements sim.Process.
type controller struct {
	region   *region
	index    int
	operator string // path of the operators' settings; empty for none

	mu      sync.Mutex
	process *process
	starts  int
}

// Start starts the process with the run line of the deploy file.
func (c *controller) Start() {
	g := c.region
	settings := g.settings[c.index]
	path, err := g.run.writeTOML(g.name+"-"+settings.Name+".toml", settings)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	env := []string{"LOG_LEVEL=debug"}
	if c.operator != "" {
		env = append(env, "BROOKWALK_OPERATOR="+c.operator)
	}
	c.starts++
	if c.process, err = g.run.startProcess(g.name+"-"+settings.Name, env, "--config", path); err != nil {
		panic(err)
	}
}

// Kill kills the process.
func (c *controller) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.process.kill()
		c.process = nil
	}
}

// Request sends a request of a user or of a worker.
func (c *controller) Request(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	go func() {
		answer := c.request(from, method, path, body, timeout)
		c.region.live.Do(func() { done(answer) })
	}()
}

func (c *controller) request(from, method, path string, body []byte, timeout time.Duration) core.Answer {
	status, answer, retryAfter := send(c.region.settings[c.index].Listen, method, path, body, timeout)
	if from == "user" {
		c.region.run.record("%s: user at %s: %s %s -> %d %s", c.region.name, c.region.settings[c.index].Name, method, path, status, answer)
	}
	return core.Answer{Status: status, Body: answer, RetryAfterS: retryAfter}
}

// send sends a request on a connection of its own; the status is 0 without an answer.
func send(address, method, path string, body []byte, timeout time.Duration) (status int, answer []byte, retryAfter int) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil, 0
	}
	retryAfter, _ = strconv.Atoi(response.Header.Get("Retry-After")) // 0 without the header
	return response.StatusCode, answer, retryAfter
}

// quotaShow runs the operators' command that shows a region's ledger, and returns its JSON.
func (g *region) quotaShow() (shown quotaReport, err error) {
	path := filepath.Join(g.run.dir, g.name+"-"+g.settings[0].Name+".toml")
	out, err := exec.Command(g.run.program, "quota", "show", "--config", path, "--json").Output()
	if err != nil {
		return shown, fmt.Errorf("quota show in %s: %w", g.name, err)
	}
	err = json.Unmarshal(out, &shown)
	return shown, err
}

// quotaReport is the part of the output of quota show that the cases use.
type quotaReport struct {
	Epoch  uint64 `json:"epoch"`
	Fenced string `json:"fenced"`
	Teams  []struct {
		Team  string `json:"team"`
		Owned struct {
			GPUs float64 `json:"gpus"`
		} `json:"owned"`
	} `json:"teams"`
	Links []struct {
		Region   string `json:"region"`
		Sent     uint64 `json:"transfers_sent"`
		Received uint64 `json:"transfers_received"`
	} `json:"links"`
}

// showQuota writes the ledgers of regions into the record.
func showQuota(r *run, when string, regions ...*region) {
	for _, g := range regions {
		shown, err := g.quotaShow()
		if err != nil {
			r.record("%v", err)
			continue
		}
		r.record("quota show, %s, region at %s's store: %+v", when, g.name, shown)
	}
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
