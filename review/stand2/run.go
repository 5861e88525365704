//go:build review2

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/brookwalk/brookwalk/internal/loopback"
)

// run is one run of a case: its record, its temporary folder and the processes that it started.
type run struct {
	program string
	dir     string
	trouble bool
	start   time.Time
	claim   *loopback.Claim

	mu        sync.Mutex
	output    *os.File
	processes map[*process]bool
}

func newRun(program, recordPath string, trouble bool) (*run, error) {
	output, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	claim, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	r := &run{program: program, dir: dir, trouble: trouble, start: time.Now(), claim: claim, output: output, processes: map[*process]bool{}}
	r.record("trouble: %v", trouble)
	return r, nil
}

// record writes a line with the time since the start to the record.
func (r *run) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.output, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes, keeps the ends of their logs in the record and removes the folder.
func (r *run) close() {
	r.mu.Lock()
	var left []*process
	for p := range r.processes {
		left = append(left, p)
	}
	r.mu.Unlock()
	for _, p := range left {
		p.kill()
	}
	if keep := os.Getenv("REVIEW2_KEEP"); keep != "" {
		fmt.Fprintln(os.Stderr, "kept:", r.dir)
	} else {
		os.RemoveAll(r.dir)
	}
	r.claim.Close()
	r.output.Close()
}

// address returns a free loopback address.
func (r *run) address() (string, error) { return r.claim.Address() }

// addresses returns free loopback addresses.
func (r *run) addresses(count int) ([]string, error) {
	list := make([]string, count)
	for i := range list {
		var err error
		if list[i], err = r.claim.Address(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// writeTOML writes a file into the run's folder and returns its path.
func (r *run) writeTOML(name string, value any) (string, error) {
	path := filepath.Join(r.dir, name)
	file, err := os.Create(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	return path, toml.NewEncoder(file).Encode(value)
}

// process is a process that the run started.
type process struct {
	run    *run
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts the program. Its log goes into a file of the folder.
func (r *run) startProcess(name string, env []string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(r.program, args...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{run: r, name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // a kill is reported as an error
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes[p] = true
	r.mu.Unlock()
	r.record("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.run.mu.Lock()
	known := p.run.processes[p]
	delete(p.run.processes, p)
	p.run.mu.Unlock()
	if !known {
		return
	}
	_ = p.cmd.Process.Kill() // fails if it has ended
	<-p.exited
	p.run.record("killed %s", p.name)
}
