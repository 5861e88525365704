package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// misbehavingController is a controller that accepts every job and has every worker start the
// first task of each.
type misbehavingController struct {
	live *Live
	jobs []string
}

func (*misbehavingController) Start() {}
func (*misbehavingController) Kill()  {}

// Ask answers from another goroutine, as a process does.
func (c *misbehavingController) Ask(from, method, path string, body []byte, _ time.Duration, done func(core.Answer)) {
	answer := core.Answer{Status: 200}
	if path == "/checkin" {
		orders := wire.CommandList{FencingToken: 1}
		for _, id := range c.jobs {
			orders.Commands = append(orders.Commands, wire.Command{Verb: wire.VerbStart, Task: id + "/0", Attempt: 1})
		}
		answer.Body, _ = json.Marshal(orders)
	} else if method == "POST" {
		var j wire.Job
		json.Unmarshal(body, &j)
		c.jobs = append(c.jobs, j.ID)
		answer.Body, _ = json.Marshal(wire.JobStatus{ID: j.ID, Status: wire.StatusPending})
	}
	go c.live.Do(func() { done(answer) })
}

// TestLiveChecksRules plays a live world around a controller that has two workers run
// one task. The judge has to find it.
func TestLiveChecksRules(t *testing.T) {
	cfg := defaultSettings()
	cfg.Deployment.Size = 1
	cfg.Deployment.Workers.ReportS = 0.05
	live := NewLive(LiveConfig{Settings: cfg, Log: slog.New(slog.DiscardHandler),
		Types:         []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 8, PullGBPerS: 100, Zones: cfg.Deployment.Zones}},
		Stock:         []Stock{{Type: "small", Zone: "east", Count: 2, Up: 2}},
		WorkerAddress: func(machine string) string { return machine }})
	live.Attach(0, &misbehavingController{live: live})
	live.Submit(LiveJob{Job: wire.Job{ID: "job-000001", Team: "t", Shape: wire.ShapeService, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img"}})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var broken []string
	live.After(0, func() { stopOnViolation(live, stop) })
	live.Run(ctx, time.Minute)
	live.Do(func() { broken = live.Counts().Violations })
	if len(broken) == 0 || !strings.HasPrefix(broken[0], "ran_twice") {
		t.Errorf("found %v, want ran_twice", fmt.Sprint(broken))
	}
}

// stopOnViolation ends a run as soon as a rule is broken.
func stopOnViolation(l *Live, stop func()) {
	if len(l.Counts().Violations) > 0 {
		stop()
		return
	}
	l.After(10*time.Millisecond, func() { stopOnViolation(l, stop) })
}
