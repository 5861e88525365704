package hollow

import (
	"io"
	"log/slog"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/httpserve"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core"
)

// controllerProcess is one controller: a process of the program under test.
type controllerProcess struct {
	name    string
	listen  string
	command []string
	// operator is the path of the operators' own settings; empty if there are none.
	operator string
	output   io.Writer // what it writes to standard error
	log      *slog.Logger

	// withWorld calls a function with the world locked.
	withWorld     func(func())
	userTraffic   *httpserve.Traffic
	workerTraffic *httpserve.Traffic
	usage         processMeter

	mu             sync.Mutex
	process        *os.Process // nil while there is none
	starts         int
	unexpectedEnds int // ends that nobody asked for
	clients        map[string]*httpwire.Client
}

// Start starts the process.
func (c *controllerProcess) Start() {
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
	go c.awaitExit(cmd)
}

// The program's variables.
const (
	logLevelVariable = "LOG_LEVEL"
	operatorVariable = "BROOKWALK_OPERATOR"
)

// environment is this process's own, with the program's variables as the experiment
// says.
func (c *controllerProcess) environment() []string {
	env := slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, logLevelVariable+"=") || strings.HasPrefix(v, operatorVariable+"=")
	})
	env = append(env, logLevelVariable+"=info")
	if c.operator != "" {
		env = append(env, operatorVariable+"="+c.operator)
	}
	return env
}

// awaitExit notes the end of a process.
func (c *controllerProcess) awaitExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == cmd.Process {
		c.process = nil
		c.unexpectedEnds++
		c.log.Error("controller ended by itself", "name", c.name, "err", err)
	}
}

// Kill ends the process without notice.
func (c *controllerProcess) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.process.Kill()
		c.process = nil
	}
}

// pid is the process's id; 0 if there is none.
func (c *controllerProcess) pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Pid
}

// statusMisdirected redirects a worker to another controller.
const statusMisdirected = 421

// userSender is the sender of users' requests.
const userSender = "user"

// Connections that a worker, and all users together, keep open to a controller.
const (
	workerConnections = 1
	userConnections   = 16
)

// client finds the client that a sender's requests take.
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

// closeClient closes the connections of a worker that is gone.
func (c *controllerProcess) closeClient(worker string) {
	c.mu.Lock()
	client := c.clients[worker]
	delete(c.clients, worker)
	c.mu.Unlock()
	if client != nil {
		client.CloseIdle()
	}
}

// Ask sends a request of a user or a worker.
func (c *controllerProcess) Ask(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	go func() {
		a := c.request(from, method, path, body, timeout)
		c.withWorld(func() { done(a) })
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
	if response.Status == statusMisdirected {
		client.CloseIdle() // the worker goes to another controller
	}
	traffic := c.workerTraffic
	if from == userSender {
		traffic = c.userTraffic
	}
	retry, _ := strconv.Atoi(response.RetryAfter)
	traffic.Add(len(httpwire.AppendRequest(nil, method, path, c.listen, body)), len(httpwire.AppendResponse(nil, httpwire.Reply{Status: response.Status, Body: response.Body, RetryAfter: retry, Close: response.Close})))
	return core.Answer{Status: response.Status, Body: response.Body, RetryAfter: retry}
}

// sampleUsage reads the process's use of the machine.
func (c *controllerProcess) sampleUsage() {
	if pid := c.pid(); pid != 0 {
		if used, err := readUsage(pid); err == nil {
			c.usage.addSample(pid, used, time.Now())
		}
	}
}
