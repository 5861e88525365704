package sim

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// misbehavingController is a Process that accepts every job and commands every worker to start the
// first task of each job.
type misbehavingController struct {
	live *Live
	jobs []string
}

func (*misbehavingController) Start() {}
func (*misbehavingController) Kill()  {}

// Request answers from another goroutine, as a real process does.
func (c *misbehavingController) Request(from, method, path string, body []byte, _ time.Duration, done func(core.Answer)) {
	answer := core.Answer{Status: 200}
	if path == heartbeatPath {
		list := wire.CommandList{FencingToken: 1}
		for _, id := range c.jobs {
			list.Commands = append(list.Commands, wire.Command{Verb: wire.VerbStart, Task: id + "/0", Attempt: 1})
		}
		answer.Body = encode(list)
	} else if method == "POST" {
		var job wire.Job
		decode(body, &job)
		c.jobs = append(c.jobs, job.ID)
		answer.Body = encode(wire.JobStatus{ID: job.ID, Status: wire.StatusPending})
	}
	go c.live.Do(func() { done(answer) })
}

// TestLiveChecksRules runs a live world with a controller that makes two workers run the same task.
// The checker has to report it.
func TestLiveChecksRules(t *testing.T) {
	settings := defaultSettings()
	settings.Deployment.Size = 1
	settings.Deployment.Workers.ReportS = 0.05
	live := NewLive(LiveConfig{
		Settings: settings, Log: slog.New(slog.DiscardHandler),
		Types:         []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 8, PullGBPerS: 100, Zones: settings.Deployment.Zones}},
		Capacity:      []Capacity{{Type: "small", Zone: "east", Count: 2, Up: 2}},
		WorkerAddress: func(machine string) string { return machine },
	})
	live.Attach(0, &misbehavingController{live: live})
	live.Submit(LiveJob{Job: wire.Job{ID: "job-000001", Team: "t", Shape: wire.ShapeService, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img"}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	live.After(0, func() { stopOnViolation(live, stop) })
	live.Run(ctx, time.Minute)
	var violations []string
	live.Do(func() { violations = live.Counts().Violations })
	if len(violations) == 0 || !strings.HasPrefix(violations[0], "ran_twice") {
		t.Errorf("violations: got %v, want ran_twice first", violations)
	}
}

// stopOnViolation ends a run as soon as a rule is violated.
func stopOnViolation(l *Live, stop func()) {
	if len(l.Counts().Violations) > 0 {
		stop()
		return
	}
	l.After(10*time.Millisecond, func() { stopOnViolation(l, stop) })
}
