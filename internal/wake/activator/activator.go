// Package activator runs the state machine of package wake in a process: it accepts requests to
// models over HTTP, and calls the key-value store and the model servers for the state machine.
//
// It owns the sockets, the clock and the lock of the state machine, which makes all decisions.
// The wake command of cmd/brookwalk starts it, next to each controller.
package activator

import (
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/wake"
)

// Config holds an activator's settings.
type Config struct {
	Name         string // of the controller
	Incarnation  uint64 // must differ from that of any other run of the program
	Listen       string // address for requests to models; with port 0, a free port is chosen
	StoreAddress string // of the key-value store
	Registry     *wake.Registry
	// RequestTimeout bounds how long a request waits for its answer. A request may ask for a
	// shorter time.
	RequestTimeout time.Duration
	Log            *slog.Logger
}

// Server is a running activator.
type Server struct {
	config    Config
	startTime time.Time
	listener  *httpserve.Server
	done      chan struct{} // closed when the server stops

	storeClient  *httpwire.Client
	watchClient  *httpwire.Client
	forwardSlots budget.Semaphore // one for each request being forwarded to a model server

	mu             sync.Mutex // protects the state machine and the fields below
	controller     *wake.Controller
	pendingReplies map[uint64]func(httpserve.Response) // by request ID
	lastRequestID  uint64
	stopped        bool
	modelClients   map[string]*httpwire.Client // by address
}

const (
	// maxForwards bounds the requests being forwarded to model servers; each uses a socket.
	maxForwards = 64
	// maxIdleConnections bounds the idle connections kept open to the store and to each model
	// server.
	maxIdleConnections = 8
	// ticksPerLease is how many ticks the state machine gets within a controller's lease.
	ticksPerLease = 64
)

// HTTP methods of the protocols.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

// Start starts an activator.
func Start(config Config) (*Server, error) {
	s := &Server{
		config:         config,
		startTime:      time.Now(),
		done:           make(chan struct{}),
		storeClient:    &httpwire.Client{Addr: config.StoreAddress, MaxIdle: maxIdleConnections},
		watchClient:    &httpwire.Client{Addr: config.StoreAddress, MaxIdle: 1},
		forwardSlots:   budget.NewSemaphore(maxForwards),
		pendingReplies: map[uint64]func(httpserve.Response){},
		modelClients:   map[string]*httpwire.Client{},
	}
	s.controller = wake.New(config.Name, config.Incarnation, config.Registry, s, s, s, config.Log)
	var err error
	if s.listener, err = httpserve.Listen(config.Listen, &httpserve.Traffic{}, s.handleRequest); err != nil {
		return nil, err
	}
	go s.tickLoop()
	return s, nil
}

// Addr is the address for requests to models.
func (s *Server) Addr() string { return s.listener.Addr() }

// Stop stops the server at once, as if the process were killed: waiting requests get no answer.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.done)
	s.listener.CloseAll()
	s.storeClient.CloseIdle()
	s.watchClient.CloseIdle()
	for _, client := range s.modelClients {
		client.CloseIdle()
	}
}

// leaseMultiple returns a multiple of the duration of a controller's lease.
func (s *Server) leaseMultiple(factor float64) time.Duration {
	return time.Duration(factor * s.config.Registry.LeaseSeconds * float64(time.Second))
}

func (s *Server) tickLoop() {
	ticker := time.NewTicker(s.leaseMultiple(1.0 / ticksPerLease))
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.withLock(s.controller.Tick)
		}
	}
}

// withLock calls f with the state machine locked, unless the server has stopped.
func (s *Server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		f()
	}
}

// handleRequest handles POST /models/MODEL/KEY. The query wait=SECONDS sets a shorter timeout.
func (s *Server) handleRequest(request *httpwire.Request, reply func(httpserve.Response)) {
	model, key, ok := parsePath(request)
	if !ok {
		reply(httpserve.Response{Status: httpstatus.BadRequest, Body: []byte(`{"error":"expected POST /models/MODEL/KEY"}`)})
		return
	}
	timeout := s.requestTimeout(request.Query)
	s.withLock(func() {
		s.lastRequestID++
		s.pendingReplies[s.lastRequestID] = reply
		s.controller.Handle(&wake.Request{
			ID:             s.lastRequestID,
			Model:          model,
			IdempotencyKey: key,
			Body:           request.Body,
			Deadline:       s.Now() + timeout,
		})
	})
}

// parsePath returns the model and the idempotency key that a request names.
func parsePath(request *httpwire.Request) (model, key string, ok bool) {
	parts := strings.Split(request.Path, "/")
	if request.Method != methodPost || len(parts) != 4 || parts[1] != "models" || parts[3] == "" {
		return "", "", false
	}
	return parts[2], parts[3], true
}

// requestTimeout returns how long a request with the given query waits for its answer. A query
// that cannot be parsed is ignored.
func (s *Server) requestTimeout(query string) time.Duration {
	timeout := s.config.RequestTimeout
	values, err := url.ParseQuery(query)
	if err != nil {
		return timeout
	}
	if seconds, err := strconv.ParseFloat(values.Get("wait"), 64); err == nil && seconds > 0 {
		timeout = min(timeout, time.Duration(seconds*float64(time.Second)))
	}
	return timeout
}

// Now returns the time since the start, by a monotonic clock.
func (s *Server) Now() time.Duration { return time.Since(s.startTime) }

// Reply sends the answer to a request. It is called with the state machine locked.
func (s *Server) Reply(id uint64, answer wake.Reply) {
	reply := s.pendingReplies[id]
	delete(s.pendingReplies, id)
	if reply == nil {
		return
	}
	body := answer.Body
	if answer.Status != wake.StatusServed {
		body = []byte(`{"error":"` + errorText(answer.Status) + `"}`)
	}
	reply(httpserve.Response{Status: int(answer.Status), Body: body, RetryAfter: answer.RetryAfterSeconds})
}

// errorText returns the error in the answer to a request that was not served.
func errorText(status wake.Status) string {
	switch status {
	case wake.StatusNotFound:
		return "no such model"
	case wake.StatusUnavailable:
		return "too many wait for this model"
	case wake.StatusTimeout:
		return "the model was not ready in time"
	case wake.StatusServed:
	}
	return ""
}

// callTimeout bounds the calls to the store.
func (s *Server) callTimeout() time.Duration { return s.leaseMultiple(0.5) }

// call sends a request from a goroutine of its own and calls done with the answer, with the state
// machine locked. The status is httpstatus.NoAnswer if no answer came in time.
func (s *Server) call(client *httpwire.Client, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	go func() {
		response, err := client.Do(method, path, body, timeout)
		s.withLock(func() {
			if err != nil {
				done(httpstatus.NoAnswer, nil)
				return
			}
			done(response.Status, response.Body)
		})
	}()
}
