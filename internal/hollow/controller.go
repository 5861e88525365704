package hollow

import (
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core"
)

// controller is one controller: a process of the program under test.
type controller struct {
	name    string
	listen  string
	command []string
	// operator is the path of the operators' own settings; empty if there are none.
	operator string
	output   io.Writer // what it writes to standard error
	log      *slog.Logger

	// do calls a function with the world locked.
	do      func(func())
	users   *httpserve.Traffic
	workers *httpserve.Traffic
	meter   meter

	mu      sync.Mutex
	process *os.Process // nil while there is none
	starts  int
	ended   int // ends that nobody asked for
	clients map[string]*httpwire.Client
}

// Start starts the process.
func (c *controller) Start() {
	cmd := exec.Command(c.command[0], c.command[1:]...)
	cmd.Stderr = c.output
	cmd.Env = c.environment()
	if err := cmd.Start(); err != nil {
		c.log.Error("controller not started", "name", c.name, "err", err)
		return
	}
	c.mu.Lock()
	c.process = cmd.Process
	c.starts++
	c.clients = map[string]*httpwire.Client{}
	c.mu.Unlock()
	c.log.Info("controller started", "name", c.name, "pid", cmd.Process.Pid)
	go c.wait(cmd)
}

// The program's variables.
const (
	logLevelVariable = "LOG_LEVEL"
	operatorVariable = "BROOKWALK_OPERATOR"
)

// environment is this process's own, with the program's variables as the experiment
// says.
func (c *controller) environment() []string {
	env := slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, logLevelVariable+"=") || strings.HasPrefix(v, operatorVariable+"=")
	})
	env = append(env, logLevelVariable+"=info")
	if c.operator != "" {
		env = append(env, operatorVariable+"="+c.operator)
	}
	return env
}

// wait notes the end of a process.
func (c *controller) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == cmd.Process {
		c.process = nil
		c.ended++
		c.log.Error("controller ended by itself", "name", c.name, "err", err)
	}
}

// Kill ends the process without notice.
func (c *controller) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.process.Kill()
		c.process = nil
	}
}

// pid is the process's id; 0 if there is none.
func (c *controller) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Pid
}

// statusMisdirected redirects a worker to another controller.
const statusMisdirected = 421

// userFrom is the sender of users' requests.
const userFrom = "user"

// Connections that a worker, and all users together, keep open to a controller.
const (
	workerConnections = 1
	userConnections   = 16
)

// client finds the client that a sender's requests take.
func (c *controller) client(from string) *httpwire.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	h := c.clients[from]
	if h == nil {
		h = &httpwire.Client{Addr: c.listen, MaxIdle: workerConnections}
		if from == userFrom {
			h.MaxIdle = userConnections
		}
		c.clients[from] = h
	}
	return h
}

// forget closes the connections of a worker that is gone.
func (c *controller) forget(worker string) {
	c.mu.Lock()
	h := c.clients[worker]
	delete(c.clients, worker)
	c.mu.Unlock()
	if h != nil {
		h.CloseIdle()
	}
}

// Ask sends a request of a user or a worker.
func (c *controller) Ask(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	go func() {
		a := c.ask(from, method, path, body, timeout)
		c.do(func() { done(a) })
	}()
}

// ask sends a request and waits for the answer; its status is 0 if none came.
func (c *controller) ask(from, method, path string, body []byte, timeout time.Duration) core.Answer {
	h := c.client(from)
	if h == nil {
		return core.Answer{} // refused at once, as by a machine without the process
	}
	r, err := h.Do(method, path, body, timeout)
	if err != nil {
		h.CloseIdle()
		return core.Answer{}
	}
	if r.Status == statusMisdirected {
		h.CloseIdle() // the worker goes to another controller
	}
	t := c.workers
	if from == userFrom {
		t = c.users
	}
	retry, _ := strconv.Atoi(r.RetryAfter)
	t.Add(len(httpwire.AppendRequest(nil, method, path, c.listen, body)), len(httpwire.AppendResponse(nil, r.Status, r.Body, retry, r.Close)))
	return core.Answer{Status: r.Status, Body: r.Body, RetryAfter: retry}
}

// sample reads the process's use of the machine.
func (c *controller) sample() {
	if pid := c.pid(); pid != 0 {
		if u, err := readUsage(pid); err == nil {
			c.meter.add(pid, u, time.Now())
		}
	}
}
