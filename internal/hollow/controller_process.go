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

// controllerProcess is a controller: a process of the program under test, which is started again
// after failures. It implements sim.Process.
type controllerProcess struct {
	name    string
	listen  string // address for workers and users
	command []string
	// operatorPath is the path of the operators' own settings; empty if there are none.
	operatorPath string
	output       *os.File // what the process writes to standard error
	log          *slog.Logger

	// withWorld calls a function with the world locked.
	withWorld     func(func())
	userTraffic   *httpserve.Traffic
	workerTraffic *httpserve.Traffic
	usage         processMeter

	exits sync.WaitGroup // one for each process that was started

	mu             sync.Mutex
	closed         bool
	process        *os.Process // nil while there is none
	starts         int
	unexpectedEnds int                         // exits without a Kill
	clients        map[string]*httpwire.Client // by sender
}

// Start starts the process, unless the run has ended: late answers to requests may still carry out
// a scheduled start.
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

// Environment variables of the program.
const (
	logLevelVariable = "LOG_LEVEL"
	operatorVariable = "BROOKWALK_OPERATOR"
)

// environment is that of this process, with the program's own variables set by the experiment.
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

// awaitExit waits for the end of a process and records it if nobody killed the process.
func (c *controllerProcess) awaitExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == cmd.Process {
		c.process = nil
		c.unexpectedEnds++
		c.log.Error("controller exited unexpectedly", "controller", c.name, "error", err)
	}
}

// Kill ends the process without notice. It does not wait for its end.
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

// close kills the process, waits for its end and closes its log.
func (c *controllerProcess) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Kill()
	c.exits.Wait()
	closeLogged(c.log, c.output.Name(), c.output)
}

// startsAndEnds returns how often the process was started, and how often it exited unexpectedly.
func (c *controllerProcess) startsAndEnds() (starts, unexpectedEnds int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.unexpectedEnds
}

// pid returns the process's ID; 0 if there is no process.
func (c *controllerProcess) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Pid
}

// userSender is the sender of users' requests; other senders are machines.
const userSender = "user"

// Connections that a worker, and all users together, keep open to a controller.
const (
	workerConnections = 1
	userConnections   = 16
)

// client returns the client for a sender's requests; nil if there is no process.
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

// closeClient closes the connections of a worker that was removed.
func (c *controllerProcess) closeClient(worker string) {
	c.mu.Lock()
	client := c.clients[worker]
	delete(c.clients, worker)
	c.mu.Unlock()
	if client != nil {
		client.CloseIdle()
	}
}

// Request sends a request of a user or a worker.
func (c *controllerProcess) Request(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	go func() {
		answer := c.request(from, method, path, body, timeout)
		c.withWorld(func() { done(answer) })
	}()
}

// request sends a request and waits for the answer; its status is 0 if none came.
func (c *controllerProcess) request(from, method, path string, body []byte, timeout time.Duration) core.Answer {
	client := c.client(from)
	if client == nil {
		return core.Answer{} // refused at once, as by a machine without the process
	}
	response, err := client.Do(method, path, body, timeout)
	if err != nil {
		client.CloseIdle()
		return core.Answer{}
	}
	if response.Status == httpstatus.MisdirectedRequest {
		client.CloseIdle() // the worker goes to another controller
	}
	retryAfter, err := strconv.Atoi(response.RetryAfter)
	if err != nil {
		retryAfter = 0 // the answer has no such header
	}
	c.countTraffic(from, httpwire.AppendRequest(nil, method, path, c.listen, body),
		httpwire.AppendResponse(nil, httpwire.Reply{Status: response.Status, Body: response.Body, RetryAfter: retryAfter, Close: response.Close}))
	return core.Answer{Status: response.Status, Body: response.Body, RetryAfterS: retryAfter}
}

// countTraffic counts a request with its response.
func (c *controllerProcess) countTraffic(from string, request, response []byte) {
	traffic := c.workerTraffic
	if from == userSender {
		traffic = c.userTraffic
	}
	traffic.Add(len(request), len(response))
}

// sampleUsage samples what the process uses, in a phase of the run.
func (c *controllerProcess) sampleUsage(phase runPhase) {
	pid := c.pid()
	if pid == 0 {
		return
	}
	if used, err := readUsage(pid); err == nil { // else the process has just ended
		c.usage.addSample(pid, used, time.Now(), phase)
	}
}
