//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/internal/wake"
)

// wakeLeaseS is the activators' lease in seconds, as in deploy/wake.toml.
const wakeLeaseS = 4

// modelServer serves the project's simulated model server over HTTP. Its clock goes on while it
// does not listen.
type modelServer struct {
	run     *run
	name    string
	address string
	answerS float64 // how long it takes to carry out a command, in seconds
	quiet   bool    // commands are not recorded

	mu    sync.Mutex
	start time.Time
	sim   *sim.ModelServer
}

func newModelServer(r *run, name string, replicaLeaseS, loadS float64) (*modelServer, error) {
	address, err := r.address()
	if err != nil {
		return nil, err
	}
	load := func() (time.Duration, bool) { return seconds(loadS), false }
	return &modelServer{run: r, name: name, address: address, start: time.Now(), sim: sim.NewModelServer(seconds(replicaLeaseS), load)}, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (m *modelServer) listen() error {
	listener, err := net.Listen("tcp4", m.address)
	if err != nil {
		return err
	}
	go http.Serve(listener, m)
	return nil
}

func (m *modelServer) now() time.Duration { return time.Since(m.start) }

// record records a command or its answer, unless there are too many.
func (m *modelServer) record(format string, args ...any) {
	if !m.quiet {
		m.run.record(format, args...)
	}
}

// replica returns the number of the model's replica; 0 for none.
func (m *modelServer) replica(model string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sim.ReplicaNumber(model, m.now())
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := 404, []byte("{}")
	if r.URL.Path == "/copy" {
		status, answer = m.command(body)
	} else if parts := strings.Split(r.URL.Path, "/"); len(parts) == 4 && parts[1] == "ask" {
		status, answer = m.ask(parts[2], parts[3])
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer) // fails if the client has gone
}

// command carries a command out, after the time that the server takes.
func (m *modelServer) command(body []byte) (int, []byte) {
	var command wake.Command
	if json.Unmarshal(body, &command) != nil {
		return 400, []byte("{}")
	}
	time.Sleep(seconds(m.answerS))
	m.mu.Lock()
	status := m.sim.Command(command, m.now())
	m.mu.Unlock()
	m.record("%s: command %s", m.name, body)
	answer, err := json.Marshal(status)
	if err != nil {
		panic(err)
	}
	m.record("%s: answers %s", m.name, answer)
	return 200, answer
}

// ask serves a request at once.
func (m *modelServer) ask(model, key string) (int, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result, answer := m.sim.HandleRequest(model, key, m.now())
	switch result {
	case sim.RequestStarted:
		answer = []byte(fmt.Sprintf(`{"served":%q,"by":%q}`, key, m.name))
		m.sim.Finish(model, key, answer, m.now())
		m.run.record("%s: serves request %s", m.name, key)
	case sim.RequestAnswered:
	default:
		return 409, []byte("{}")
	}
	return 200, answer
}

// wakeRegistry is the registry file.
type wakeRegistry struct {
	LeaseS     float64     `toml:"lease_s"`
	CopyLeaseS float64     `toml:"copy_lease_s"`
	MaxWaking  int         `toml:"max_waking"`
	MaxWaiting int         `toml:"max_waiting"`
	Models     []wakeModel `toml:"models"`
}

type wakeModel struct {
	Name    string   `toml:"name"`
	Servers []string `toml:"servers"`
	LoadS   float64  `toml:"load_s"`
	IdleS   float64  `toml:"idle_s"`
}

// activator is the wake command beside a controller's settings, with a state service of its own.
type activator struct {
	run      *run
	patience time.Duration
	registry wakeRegistry
	wait     string // query of the requests, such as ?wait=20; empty for none

	settingsPath, registryPath string
	listen                     string
	process                    *process
}

// newActivator starts an activator for a model that may run on the given servers.
func newActivator(r *run, copyLeaseS, loadS float64, patience time.Duration, servers ...string) (*activator, error) {
	a := &activator{run: r, patience: patience, registry: wakeRegistry{
		LeaseS: wakeLeaseS, CopyLeaseS: copyLeaseS, MaxWaking: 4, MaxWaiting: 2000,
		Models: []wakeModel{{Name: "router", Servers: servers, LoadS: loadS, IdleS: 600}},
	}}
	return a, a.begin()
}

// begin starts the state service, writes the files and starts the process.
func (a *activator) begin() error {
	storeAddress, err := a.run.address()
	if err != nil {
		return err
	}
	if _, err := newStore(storeAddress); err != nil {
		return err
	}
	settings, err := controllerSettings(a.run, "deckhand", storeAddress, storeAddress, deployment(config.Team{Name: "routing", GPUs: 56, GPUsMax: 176}))
	if err != nil {
		return err
	}
	if a.settingsPath, err = a.run.writeTOML("deckhand-0.toml", settings[0]); err != nil {
		return err
	}
	if a.registryPath, err = a.run.writeTOML("wake.toml", a.registry); err != nil {
		return err
	}
	if a.listen, err = a.run.address(); err != nil {
		return err
	}
	return a.start()
}

// start starts the process, and waits until it listens and has registered.
func (a *activator) start() (err error) {
	if a.process, err = a.run.startProcess("activator", nil, "wake", "--config", a.settingsPath, "--registry", a.registryPath,
		"--listen", a.listen, "--patience", a.patience.String()); err != nil {
		return err
	}
	if err := waitListening(a.listen); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// waitListening waits until a process accepts connections.
func waitListening(address string) error {
	for range 200 {
		if conn, err := net.Dial("tcp4", address); err == nil {
			conn.Close()
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// request sends a request for the model once and returns its status; an error if there was no answer.
func (a *activator) request(model, key string, timeout time.Duration) (int, error) {
	r := a.run
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	r.record("client: POST /models/%s/%s", model, key)
	response, err := client.Post("http://"+a.listen+"/models/"+model+"/"+key+a.wait, "application/json", strings.NewReader(`{"ask":"route"}`))
	if err != nil {
		r.record("client: request %s: no answer after %.1f s: %v", key, time.Since(began).Seconds(), err)
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.record("client: request %s: status %d after %.1f s: %s", key, response.StatusCode, time.Since(began).Seconds(), body)
	return response.StatusCode, err
}

// lateAnswer: the preferred model server of a sleeping model is gone; a request waits until the model
// has been started on the next one, within the patience that the operator gave.
func lateAnswer(r *run) (string, error) {
	const (
		copyLeaseS = 60 // as in deploy/wake.toml
		loadS      = 8
		patience   = 100 * time.Second
	)
	var servers []*modelServer
	for _, name := range []string{"server-1", "server-2"} {
		server, err := newModelServer(r, name, copyLeaseS, loadS)
		if err != nil {
			return "", err
		}
		if name == "server-1" && r.trouble {
			r.record("server-1 is gone: nothing listens at its address")
		} else if err := server.listen(); err != nil {
			return "", err
		}
		servers = append(servers, server)
	}
	activator, err := newActivator(r, copyLeaseS, loadS, patience, servers[0].address, servers[1].address)
	if err != nil {
		return "", err
	}
	status, err := activator.request("router", "k1", patience+5*time.Second)
	switch {
	case err != nil:
		return "a request got no final answer: " + err.Error(), nil
	case status != 200 && status != 504:
		return fmt.Sprintf("a request got status %d", status), nil
	}
	return "", nil
}

// twoReplicas: connections between the owner and a model server that takes up to lease_s for an answer
// are reset before the answer comes.
func twoReplicas(r *run) (string, error) {
	const (
		copyLeaseS = 12
		loadS      = 2
		answerS    = 3.5 // less than lease_s, which the page allows
		troubleS   = 30
	)
	first, second, between, err := modelServers(r, copyLeaseS, loadS, answerS)
	if err != nil {
		return "", err
	}
	activator, err := newActivator(r, copyLeaseS, loadS, time.Minute, between.address, second.address)
	if err != nil {
		return "", err
	}
	if status, err := activator.request("router", "k1", time.Minute); err != nil || status != 200 {
		return "", fmt.Errorf("the model was not started: status %d (%v)", status, err)
	}
	time.Sleep(4 * time.Second)
	between.setReset(r.trouble)
	breach := watchReplicas(r, first, second, seconds(troubleS))
	between.setReset(false)
	r.record("replicas at the end: server-1 %d, server-2 %d", first.replica("router"), second.replica("router"))
	return breach, nil
}

// modelServers starts two model servers, of which the first takes a time for each command, and a proxy
// before the first.
func modelServers(r *run, copyLeaseS, loadS, answerS float64) (first, second *modelServer, before *proxy, err error) {
	if first, err = newModelServer(r, "server-1", copyLeaseS, loadS); err != nil {
		return nil, nil, nil, err
	}
	if second, err = newModelServer(r, "server-2", copyLeaseS, loadS); err != nil {
		return nil, nil, nil, err
	}
	first.answerS = answerS
	if err := errors.Join(first.listen(), second.listen()); err != nil {
		return nil, nil, nil, err
	}
	before, err = newProxy(r, first.address)
	return first, second, before, err
}

// watchReplicas watches both servers for a time, and returns the first breach: both have a replica.
func watchReplicas(r *run, first, second *modelServer, limit time.Duration) string {
	breach, last := "", [2]int{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		now := [2]int{first.replica("router"), second.replica("router")}
		if now != last {
			r.record("replicas: server-1 %d, server-2 %d", now[0], now[1])
			last = now
		}
		if now[0] != 0 && now[1] != 0 && breach == "" {
			breach = fmt.Sprintf("two replicas of the model: replica %d on server-1 and replica %d on server-2", now[0], now[1])
		}
	}
	return breach
}
