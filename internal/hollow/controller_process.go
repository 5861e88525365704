package hollow

import (
	"log/slog"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpserve"
)

// controllerProcess runs one controller as a process of the program under test. The process is
// restarted after failures. It implements sim.Process.
type controllerProcess struct {
	name    string
	listen  string // address that serves workers and users
	command []string
	// operatorPath is the path of the operators' settings file; empty if there is none.
	operatorPath string
	output       *os.File // receives the process's standard error
	log          *slog.Logger

	// withLock calls a function with the simulation locked.
	withLock      func(func())
	userTraffic   *httpserve.Traffic
	workerTraffic *httpserve.Traffic
	usage         processMeter

	exits sync.WaitGroup // counts the started processes that have not exited

	mu              sync.Mutex
	closed          bool        // the run has ended; no process is started any more
	process         *os.Process // nil while no process runs
	starts          int
	unexpectedExits int                         // exits that Kill did not cause
	clients         map[string]*httpwire.Client // by sender
}

// Start starts the process, unless the run has ended: a response that arrives after the end of the
// run advances the simulation and may trigger a restart that was scheduled before.
func (c *controllerProcess) Start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	cmd := exec.Command(c.command[0], c.command[1:]...)
	cmd.Stderr = c.output
	cmd.Env = c.environment()
	if err := cmd.Start(); err != nil {
		c.log.Error("controller not started", "controller", c.name, "error", err)
		return
	}
	c.process = cmd.Process
	c.starts++
	c.clients = map[string]*httpwire.Client{}
	c.log.Info("controller started", "controller", c.name, "pid", cmd.Process.Pid)
	c.exits.Go(func() { c.awaitExit(cmd) })
}

// Environment variables that the program reads.
const (
	logLevelVariable = "LOG_LEVEL"
	operatorVariable = "BROOKWALK_OPERATOR"
)

// environment returns this process's environment with the program's variables replaced by those of
// the experiment.
func (c *controllerProcess) environment() []string {
	environment := slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, logLevelVariable+"=") || strings.HasPrefix(variable, operatorVariable+"=")
	})
	environment = append(environment, logLevelVariable+"=info")
	if c.operatorPath != "" {
		environment = append(environment, operatorVariable+"="+c.operatorPath)
	}
	return environment
}

// awaitExit waits until a process exits and records an exit that Kill did not cause.
func (c *controllerProcess) awaitExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == cmd.Process {
		c.process = nil
		c.unexpectedExits++
		c.log.Error("controller exited unexpectedly", "controller", c.name, "error", err)
	}
}

// Kill sends SIGKILL to the process. It does not wait for the exit.
func (c *controllerProcess) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return
	}
	if err := c.process.Kill(); err != nil {
		c.log.Error("controller not killed", "controller", c.name, "error", err)
	}
	c.process = nil
}

// close kills the process, waits until all started processes have exited and closes the log file.
func (c *controllerProcess) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Kill()
	c.exits.Wait()
	closeLogged(c.log, c.output.Name(), c.output)
}

// startsAndExits returns how often the process was started and how often it exited unexpectedly.
func (c *controllerProcess) startsAndExits() (starts, unexpectedExits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.unexpectedExits
}

// pid returns the process ID; 0 if no process runs.
func (c *controllerProcess) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Pid
}

// userSender is the sender name of all users; a worker's sender name is the name of its machine.
const userSender = "user"

// Maximum idle connections to a controller, per worker and for all users together.
const (
	workerConnections = 1
	userConnections   = 16
)

// client returns the HTTP client for a sender's requests; nil if no process runs.
func (c *controllerProcess) client(from string) *httpwire.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	client := c.clients[from]
	if client == nil {
		client = &httpwire.Client{Addr: c.listen, MaxIdle: workerConnections}
		if from == userSender {
			client.MaxIdle = userConnections
		}
		c.clients[from] = client
	}
	return client
}

// closeClient closes the idle connections of a worker that was removed.
func (c *controllerProcess) closeClient(worker string) {
	c.mu.Lock()
	client := c.clients[worker]
	delete(c.clients, worker)
	c.mu.Unlock()
	if client != nil {
		client.CloseIdle()
	}
}

// Request sends a request of a user or a worker asynchronously. It calls done with the answer, with
// the simulation locked.
func (c *controllerProcess) Request(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	go func() {
		answer := c.request(from, method, path, body, timeout)
		c.withLock(func() { done(answer) })
	}()
}

// request sends a request and waits for the answer. The status of the answer is 0 if there is no
// response within the timeout.
func (c *controllerProcess) request(from, method, path string, body []byte, timeout time.Duration) core.Answer {
	client := c.client(from)
	if client == nil {
		return core.Answer{} // no process listens: the connection would be refused at once
	}
	response, err := client.Do(method, path, body, timeout)
	if err != nil {
		client.CloseIdle()
		return core.Answer{}
	}
	if response.Status == httpstatus.MisdirectedRequest {
		client.CloseIdle() // the worker connects to another controller
	}
	retryAfter, err := strconv.Atoi(response.RetryAfter)
	if err != nil {
		retryAfter = 0 // the response has no Retry-After header
	}
	c.countTraffic(from, httpwire.AppendRequest(nil, method, path, c.listen, body),
		httpwire.AppendResponse(nil, httpwire.Reply{Status: response.Status, Body: response.Body, RetryAfter: retryAfter, Close: response.Close}))
	return core.Answer{Status: response.Status, Body: response.Body, RetryAfterS: retryAfter}
}

// countTraffic adds the sizes of a request and its response to the sender's traffic counters.
func (c *controllerProcess) countTraffic(from string, request, response []byte) {
	traffic := c.workerTraffic
	if from == userSender {
		traffic = c.userTraffic
	}
	traffic.Add(len(request), len(response))
}

// sampleUsage takes a sample of the process's resource usage during a phase of the run.
func (c *controllerProcess) sampleUsage(phase runPhase) {
	pid := c.pid()
	if pid == 0 {
		return
	}
	if used, err := readUsage(pid); err == nil { // an error means that the process has just exited
		c.usage.addSample(pid, used, time.Now(), phase)
	}
}
