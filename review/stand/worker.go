//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// jobSpec is a job as its user submitted it, and how its tasks behave.
type jobSpec struct {
	ID      string
	Tasks   int
	CPUs    float64
	GPUs    float64
	MemGB   float64
	Image   string
	ImageGB float64
	Run     time.Duration // 0: until it is stopped
}

// timings are the workers' settings.
type timings struct {
	report, lease time.Duration
}

type wireTask struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"launch"`
	Status  string `json:"status"`
	Cause   string `json:"cause,omitempty"`
}

type wireReport struct {
	Host     string     `json:"host"`
	Endpoint string     `json:"endpoint"`
	Hull     string     `json:"hull"`
	Berth    string     `json:"berth"`
	Standby  bool       `json:"standby"`
	Watch    uint64     `json:"watch"`
	Tally    uint64     `json:"tally"`
	Helm     uint64     `json:"helm"`
	Warning  *float64   `json:"warningS"`
	Shards   []wireTask `json:"shards"`
}

type wireOrder struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"shard"`
	Attempt uint64  `json:"launch"`
	Respite float64 `json:"respiteS"`
}

type wireOrders struct {
	Helm   *uint64     `json:"helm"`
	Watch  *uint64     `json:"watch"`
	Orders []wireOrder `json:"orders"`
	Bridge string      `json:"bridge"`
}

// workerTask is an attempt of a task on a machine.
type workerTask struct {
	wireTask
	spec    *jobSpec
	readyAt time.Time // when its image is there
	endsAt  time.Time // when it completes; zero for never
	onIt    bool      // it counts as being on the machine
}

// fleet holds what all workers share.
type fleet struct {
	record  *recorder
	timings timings
	nodes   []*node

	mu    sync.Mutex
	specs map[string]*jobSpec
	done  map[string]bool               // completed tasks
	on    map[string]map[*worker]uint64 // attempts on machines, by task
}

// upload makes a job's description known to the workers: its user submits it.
func (f *fleet) upload(spec *jobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[spec.ID] = spec
}

// begin notes that a task is on a machine from now on, and checks the rule ran_twice.
func (f *fleet) begin(w *worker, t *workerTask) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other, attempt := range f.on[t.Task] {
		if other != w {
			f.record.breaks("ran_twice: %s (launch %d) starts on %s while it is on %s (launch %d)", t.Task, t.Attempt, w.name, other.name, attempt)
		}
	}
	if f.on[t.Task] == nil {
		f.on[t.Task] = map[*worker]uint64{}
	}
	f.on[t.Task][w] = t.Attempt
	f.record.line("%s: %s launch %d starts", w.name, t.Task, t.Attempt)
}

// isDone reports whether a task has completed: its result is kept.
func (f *fleet) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (f *fleet) setDone(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done[task] = true
}

// end notes that a task is no longer on a machine.
func (f *fleet) end(w *worker, t *workerTask, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.on[t.Task], w)
	f.record.line("%s: %s launch %d ends: %s", w.name, t.Task, t.Attempt, why)
}

// worker is the worker of one machine.
type worker struct {
	fleet                *fleet
	name, hull, zone     string
	spot                 bool
	cpus, gpus, memGB    float64
	address              string
	server               *http.Server
	client               *http.Client
	holdAnswer, holdCall func() time.Duration // how long answers to reports, and to commands, are held up

	mu        sync.Mutex
	gone      bool
	watch     uint64
	tally     uint64
	helm      uint64
	answered  time.Time // when the last answered report was sent
	tasks     []*workerTask
	images    map[string]bool
	target    int // index of the controller
	changed   bool
	nextAt    time.Time
	lastAt    time.Time
	reporting bool
	moving    bool // it waits before it reports to another controller
}

// fetchGBPerS is how fast a machine fetches an image, as the cloud says.
const fetchGBPerS = 2.0

// startWorker starts the worker of a machine that is up.
func (f *fleet) startWorker(name, hull, zone string, spot bool, cpus, gpus, memGB float64) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	none := func() time.Duration { return 0 }
	w := &worker{
		fleet: f, name: name, hull: hull, zone: zone, spot: spot, cpus: cpus, gpus: gpus, memGB: memGB,
		address: listener.Addr().String(), client: &http.Client{}, holdAnswer: none, holdCall: none,
		watch: 1, answered: time.Now(), images: map[string]bool{},
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(listener) //nolint:errcheck // ends with the machine
	f.record.line("%s: up (%s in %s)", name, hull, zone)
	go w.run()
	return w, nil
}

// stop ends the machine with all that is on it.
func (w *worker) stop() {
	w.mu.Lock()
	w.gone = true
	w.killAll("machine gone")
	w.mu.Unlock()
	w.server.Close()
}

// killAll kills and forgets all tasks. The lock is held.
func (w *worker) killAll(why string) {
	for _, t := range w.tasks {
		w.leave(t, why)
	}
	w.tasks = nil
}

// leave takes a task off the machine. The lock is held.
func (w *worker) leave(t *workerTask, why string) {
	if t.onIt {
		t.onIt = false
		w.fleet.end(w, t, why)
	}
}

// exit ends a task. The lock is held.
func (w *worker) exit(t *workerTask, cause string) {
	w.leave(t, cause)
	t.Status, t.Cause = "ended", cause
	w.changed = true
}

// run advances the worker until its machine is gone.
func (w *worker) run() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

// advance advances the tasks, the lease and the reports. The lock is held.
func (w *worker) advance(now time.Time) {
	if now.Sub(w.answered) > w.fleet.timings.lease {
		w.fleet.record.line("%s: lease ended, session %d", w.name, w.watch+1)
		w.killAll("lease ended")
		w.watch++
		w.answered, w.changed = now, true
	}
	for _, t := range w.tasks {
		w.advanceTask(t, now)
	}
	due := now.After(w.nextAt) || w.changed && now.Sub(w.lastAt) >= 500*time.Millisecond && !w.moving
	if due && !w.reporting {
		w.reporting, w.moving, w.changed, w.lastAt = true, false, false, now
		go w.report(w.newReport(), w.watch, w.target, now)
	}
}

func (w *worker) advanceTask(t *workerTask, now time.Time) {
	switch {
	case t.Status == "pulling" && now.After(t.readyAt):
		w.images[t.spec.Image] = true
		t.Status, t.onIt = "running", true
		if t.spec.Run > 0 {
			t.endsAt = now.Add(t.spec.Run)
		}
		w.changed = true
		w.fleet.begin(w, t)
		if w.fleet.isDone(t.Task) {
			w.exit(t, "done")
		}
	case t.Status == "running" && !t.endsAt.IsZero() && now.After(t.endsAt):
		w.fleet.setDone(t.Task)
		w.exit(t, "done")
	}
}

// newReport returns the worker's report. The lock is held.
func (w *worker) newReport() []byte {
	w.tally++
	report := wireReport{
		Host: w.name, Endpoint: w.address, Hull: w.hull, Berth: w.zone, Standby: w.spot,
		Watch: w.watch, Tally: w.tally, Helm: w.helm, Shards: []wireTask{},
	}
	for _, t := range w.tasks {
		report.Shards = append(report.Shards, t.wireTask)
	}
	encoded, _ := json.Marshal(report)
	return encoded
}

// report sends a report and handles its answer.
func (w *worker) report(body []byte, watch uint64, target int, sent time.Time) {
	status, answer := w.post(w.fleet.nodes[target].listen, body)
	if hold := w.holdAnswer(); hold > 0 && status == 200 && len(answer.Orders) > 0 {
		w.fleet.record.line("%s: an answer with commands is held up until %v after the report: %s", w.name, hold, shown(answer.Orders))
		time.Sleep(time.Until(sent.Add(hold)))
	}
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.reporting = false
	w.nextAt = sent.Add(w.fleet.timings.report * time.Duration(75+w.tally*7919%50) / 100)
	switch status {
	case 200:
		w.accept(answer, watch, sent)
	case 421:
		w.redirect(answer, target, now)
	default:
		w.move((target+1)%len(w.fleet.nodes), now.Add(time.Second))
	}
}

// move makes the worker report to another controller, from a time on. The lock is held.
func (w *worker) move(target int, from time.Time) { w.target, w.nextAt, w.moving = target, from, true }

// shown lists commands for the record.
func shown(orders []wireOrder) string {
	var parts []string
	for _, order := range orders {
		parts = append(parts, fmt.Sprintf("%s %s launch %d", order.Verb, order.Task, order.Attempt))
	}
	return strings.Join(parts, ", ")
}

func (w *worker) post(address string, body []byte) (int, wireOrders) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/checkin", bytes.NewReader(body))
	if err != nil {
		return 0, wireOrders{}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, wireOrders{}
	}
	defer response.Body.Close()
	var orders wireOrders
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &orders) != nil && response.StatusCode == 200 {
		return 0, wireOrders{}
	}
	return response.StatusCode, orders
}

// accept handles an answer with status 200. The lock is held.
func (w *worker) accept(answer wireOrders, watch uint64, sent time.Time) {
	if answer.Helm == nil || *answer.Helm < w.helm || watch != w.watch || w.gone {
		return
	}
	w.observe(*answer.Helm)
	if sent.After(w.answered) {
		w.answered = sent
	}
	w.execute("report answer", answer.Orders)
}

func (w *worker) redirect(answer wireOrders, target int, now time.Time) {
	for i, n := range w.fleet.nodes {
		if n.name == answer.Bridge && i != target {
			w.move(i, now.Add(100*time.Millisecond))
			return
		}
	}
	w.move((target+1)%len(w.fleet.nodes), now.Add(time.Second))
}

// observe notes a token. The lock is held.
func (w *worker) observe(helm uint64) {
	if helm > w.helm {
		w.helm, w.changed = helm, true
	}
}

// serve serves direct commands.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := w.direct(r.URL.Path, body)
	time.Sleep(w.holdCall())
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	out.WriteHeader(status)
	out.Write(answer) //nolint:errcheck // the controller may be gone
}

func (w *worker) direct(path string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 200
	if path == "/do" {
		var orders wireOrders
		switch {
		case json.Unmarshal(body, &orders) != nil || orders.Helm == nil || orders.Watch == nil:
			return 400, []byte("{}")
		case *orders.Helm < w.helm || *orders.Watch != w.watch:
			status = 409
		default:
			w.observe(*orders.Helm)
			w.execute("/do", orders.Orders)
		}
	}
	return status, w.newReport()
}

// execute executes commands in order. The lock is held.
func (w *worker) execute(from string, orders []wireOrder) {
	for _, order := range orders {
		t := w.find(order.Task, order.Attempt)
		switch {
		case order.Verb == "run" && t == nil:
			w.fleet.record.line("%s: run %s launch %d by %s", w.name, order.Task, order.Attempt, from)
			w.startTask(order)
		case order.Verb == "kill" && t != nil && t.Status != "ended":
			w.fleet.record.line("%s: kill %s launch %d by %s", w.name, order.Task, order.Attempt, from)
			w.exit(t, "halted")
		case order.Verb == "reap" && t != nil && t.Status == "ended":
			w.fleet.record.line("%s: reap %s launch %d by %s", w.name, order.Task, order.Attempt, from)
			w.remove(t)
		}
	}
}

func (w *worker) find(task string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.Task == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *worker) remove(gone *workerTask) {
	var kept []*workerTask
	for _, t := range w.tasks {
		if t != gone {
			kept = append(kept, t)
		}
	}
	w.tasks, w.changed = kept, true
}

// startTask executes a run command for an attempt that the worker does not have. The lock is held.
func (w *worker) startTask(order wireOrder) {
	jobID, _, _ := strings.Cut(order.Task, "/")
	w.fleet.mu.Lock()
	spec := w.fleet.specs[jobID]
	w.fleet.mu.Unlock()
	t := &workerTask{wireTask: wireTask{Task: order.Task, Attempt: order.Attempt, Status: "pulling"}, spec: spec}
	here, free := w.check(order.Task, spec)
	w.tasks, w.changed = append(w.tasks, t), true
	sort.Slice(w.tasks, func(a, b int) bool { return w.tasks[a].Task < w.tasks[b].Task })
	switch {
	case spec == nil:
		w.exit(t, "no_such")
	case here:
		w.exit(t, "in_use")
	case !free:
		w.exit(t, "full")
	default:
		t.readyAt = time.Now()
		if !w.images[spec.Image] {
			t.readyAt = t.readyAt.Add(time.Duration(spec.ImageGB / fetchGBPerS * float64(time.Second)))
		}
	}
}

// check reports whether another attempt of a task is on the machine, and whether there is room.
func (w *worker) check(task string, spec *jobSpec) (here, free bool) {
	cpus, gpus, memGB := w.cpus, w.gpus, w.memGB
	for _, t := range w.tasks {
		if t.Status == "ended" {
			continue
		}
		here = here || t.Task == task
		cpus, gpus, memGB = cpus-t.spec.CPUs, gpus-t.spec.GPUs, memGB-t.spec.MemGB
	}
	return here, spec != nil && spec.CPUs <= cpus && spec.GPUs <= gpus && spec.MemGB <= memGB
}
