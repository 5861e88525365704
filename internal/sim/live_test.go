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

// lawless is a controller that accepts every job and has every worker start the
// first task of each.
type lawless struct {
	live *Live
	jobs []string
}

func (*lawless) Start() {}
func (*lawless) Kill()  {}

// Ask answers from another goroutine, as a process does.
func (c *lawless) Ask(from, method, path string, body []byte, _ time.Duration, done func(core.Answer)) {
	a := core.Answer{Status: 200}
	if path == "/checkin" {
		orders := wire.Orders{Token: 1}
		for _, id := range c.jobs {
			orders.Commands = append(orders.Commands, wire.Command{Verb: wire.VerbStart, Task: id + "/0", Attempt: 1})
		}
		a.Body, _ = json.Marshal(orders)
	} else if method == "POST" {
		var j wire.Job
		json.Unmarshal(body, &j)
		c.jobs = append(c.jobs, j.ID)
		a.Body, _ = json.Marshal(wire.JobStatus{ID: j.ID, Status: wire.StatusPending})
	}
	go c.live.Do(func() { done(a) })
}

// TestLiveJudgesRules plays a live world around a controller that has two workers run
// one task. The judge has to find it.
func TestLiveJudgesRules(t *testing.T) {
	cfg := defaults()
	cfg.Deployment.Size = 1
	cfg.Deployment.Workers.ReportS = 0.05
	live := NewLive(LiveConfig{Settings: cfg, Log: slog.New(slog.DiscardHandler),
		Types:      []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 8, FetchGBPS: 100, Zones: cfg.Deployment.Zones}},
		Stock:      []Stock{{Type: "small", Zone: "east", Count: 2, Up: 2}},
		WorkerAddr: func(machine string) string { return machine }})
	live.Attach(0, &lawless{live: live})
	live.Submit(LiveJob{Job: wire.Job{ID: "job-000001", Team: "t", Shape: wire.ShapeService, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img"}})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var broken []string
	live.After(0, func() { stopOnceBroken(live, stop) })
	live.Run(ctx, time.Minute)
	live.Do(func() { broken = live.Counts().Broken })
	if len(broken) == 0 || !strings.HasPrefix(broken[0], "ran_twice") {
		t.Errorf("found %v, want ran_twice", fmt.Sprint(broken))
	}
}

// stopOnceBroken ends a run as soon as a rule is broken.
func stopOnceBroken(l *Live, stop func()) {
	if len(l.Counts().Broken) > 0 {
		stop()
		return
	}
	l.After(10*time.Millisecond, func() { stopOnceBroken(l, stop) })
}
