//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the registry, as in deploy/wake.toml, but for the load.
const (
	wakeLease = 4 * time.Second
	copyLease = 60 * time.Second
	loadTime  = 2 * time.Second
)

// modelServer runs at most one copy of one model. A copy ends copyLease after the last command.
type modelServer struct {
	name    string
	record  *recorder
	others  []*modelServer
	held    *atomic.Bool // whether its answers to commands are held up
	address string

	mu       sync.Mutex
	epoch    uint64
	ticket   uint64
	issued   time.Time
	running  bool
	closed   bool
	readyAt  time.Time
	leaseEnd time.Time
	lastAsk  time.Time
}

// heldAnswer is how long an answer to a command is held up. The activators wait for half a lease.
const heldAnswer = 3 * time.Second

func (m *modelServer) listen() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	go http.Serve(listener, http.HandlerFunc(m.serve)) //nolint:errcheck // ends with the process
	return nil
}

func (m *modelServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path != "/copy" {
		m.ask(w, r.URL.Path)
		return
	}
	var command struct {
		Verb   string `json:"verb"`
		Epoch  uint64 `json:"epoch"`
		Ticket uint64 `json:"ticket"`
	}
	if json.Unmarshal(body, &command) != nil {
		writeJSON(w, 400, map[string]any{})
		return
	}
	answer := m.command(command.Verb, command.Epoch, command.Ticket)
	held := m.held.Load()
	m.record.line("%s: command %s epoch %d, answer %v, held up: %v", m.name, command.Verb, command.Epoch, answer["state"], held)
	if held {
		time.Sleep(heldAnswer)
	}
	writeJSON(w, 200, answer)
}

// hasCopy reports whether a copy is loading or loaded. The lock is held.
func (m *modelServer) hasCopy() bool {
	if m.running && time.Now().After(m.leaseEnd) {
		m.running = false
		m.record.line("%s: copy ended, no command for %v", m.name, copyLease)
	}
	return m.running
}

// command executes a command of a copy's owner: it renews the copy's lease.
func (m *modelServer) command(verb string, epoch, ticket uint64) map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.epoch {
		return map[string]any{"state": "fenced"}
	}
	m.epoch = epoch
	now := time.Now()
	if m.hasCopy() {
		m.leaseEnd = now.Add(copyLease)
	}
	switch {
	case verb == "start" && !m.hasCopy() && ticket != 0 && ticket == m.ticket && now.Sub(m.issued) <= copyLease:
		m.running, m.closed, m.ticket = true, false, 0
		m.readyAt, m.lastAsk, m.leaseEnd = now.Add(loadTime), now.Add(loadTime), now.Add(copyLease)
		m.record.line("%s: a copy starts, epoch %d", m.name, epoch)
		go m.checkOthers()
	case verb == "close" && m.hasCopy():
		m.closed = true
	case verb == "stop" && m.closed:
		m.running = false
		m.record.line("%s: copy stopped", m.name)
	}
	return m.state(now)
}

// state returns the answer to a command. The lock is held.
func (m *modelServer) state(now time.Time) map[string]any {
	switch {
	case !m.hasCopy():
		m.ticket, m.issued = uint64(now.UnixNano()), now
		return map[string]any{"state": "none", "ticket": m.ticket}
	case m.closed:
		return map[string]any{"state": "closed"}
	case now.Before(m.readyAt):
		return map[string]any{"state": "loading"}
	}
	return map[string]any{"state": "ready", "idle_s": now.Sub(m.lastAsk).Seconds()}
}

// checkOthers checks the rule when a copy has started.
func (m *modelServer) checkOthers() {
	for _, other := range m.others {
		other.mu.Lock()
		if other != m && other.hasCopy() {
			m.record.breaks("two copies: one starts on %s while one runs on %s, whose lease ends in %v", m.name, other.name, time.Until(other.leaseEnd).Round(time.Millisecond))
		}
		other.mu.Unlock()
	}
}

// ask serves a request to the model.
func (m *modelServer) ask(w http.ResponseWriter, path string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasCopy() || m.closed || time.Now().Before(m.readyAt) {
		writeJSON(w, 409, map[string]any{})
		return
	}
	m.lastAsk = time.Now()
	m.record.line("%s: serves %s", m.name, path)
	writeJSON(w, 200, map[string]any{"copy": m.name})
}

// twoCopies plays a model that is woken once, and whose server then answers its owner's commands late.
func twoCopies() scenario {
	s := ranTwice()
	s.prepared, s.play = nil, playTwoCopies
	return s
}

func playTwoCopies(c *played) error {
	var held, never atomic.Bool
	first := &modelServer{name: "server-1", record: c.rec, held: &held}
	second := &modelServer{name: "server-2", record: c.rec, held: &never}
	first.others, second.others = []*modelServer{second}, []*modelServer{first}
	if err := first.listen(); err != nil {
		return err
	}
	if err := second.listen(); err != nil {
		return err
	}
	registry := filepath.Join(c.dir, "wake.toml")
	text := fmt.Sprintf("lease_s = %v\ncopy_lease_s = %v\nmax_waking = 4\nmax_waiting = 2000\n[[models]]\nname = \"router\"\nservers = [%q, %q]\nload_s = %v\nidle_s = 600\n",
		wakeLease.Seconds(), copyLease.Seconds(), first.address, second.address, loadTime.Seconds())
	if err := os.WriteFile(registry, []byte(text), 0o600); err != nil {
		return err
	}
	addresses, stop, err := c.startActivators(registry)
	defer stop()
	if err != nil {
		return err
	}
	for i := range 4 {
		c.askModel(addresses[i%len(addresses)], fmt.Sprintf("key-%d", i))
	}
	time.Sleep(2 * time.Second)
	if c.trouble {
		c.rec.line("TROUBLE: answers of server-1 to commands are held up for %v", heldAnswer)
		held.Store(true)
	}
	for i := range 40 {
		c.askModel(addresses[i%len(addresses)], fmt.Sprintf("late-%d", i))
		if len(c.rec.violations()) > 0 {
			return nil
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// startActivators starts an activator beside each controller, and returns their addresses.
func (c *played) startActivators(registry string) (addresses []string, stop func(), err error) {
	var processes []*exec.Cmd
	stop = func() {
		for _, process := range processes {
			process.Process.Kill() //nolint:errcheck // it may have ended
			process.Wait()         //nolint:errcheck // it was killed
		}
	}
	for _, n := range c.nodes {
		address, err := freeAddress()
		if err != nil {
			return nil, stop, err
		}
		log, err := os.Create(filepath.Join(c.dir, n.name+".wake.log"))
		if err != nil {
			return nil, stop, err
		}
		cmd := exec.Command(c.command[0], "wake", "--config", n.settings, "--registry", registry, "--listen", address)
		cmd.Stderr = log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = cmd.Start()
		log.Close()
		if err != nil {
			return nil, stop, err
		}
		processes, addresses = append(processes, cmd), append(addresses, address)
	}
	time.Sleep(2 * time.Second)
	return addresses, stop, nil
}

// askModel sends a request to the model through an activator.
func (c *played) askModel(address, key string) {
	response, err := c.client.Post("http://"+address+"/models/router/"+key, "application/json", strings.NewReader("{}"))
	if err != nil {
		c.rec.line("client -> %s %s: %v", address, key, err)
		return
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	c.rec.line("client -> %s %s: %d %s", address, key, response.StatusCode, answer)
}
