package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// What operators read of why a job waits: each reason once it has waited for long,
// not more often than every so often.
func TestWaitReasons(t *testing.T) {
	l := newForecastLeader(t)
	var out bytes.Buffer
	l.c.log = slog.New(slog.NewTextHandler(&out, nil))
	j := planCandidate(wire.Job{ID: "job-1", CPUs: 2, MemGB: 1}, 3).job
	start := l.c.now
	j.since = l.c.wall
	for _, step := range []struct {
		at   time.Duration
		why  waitReason
		told bool
	}{
		{0, waitMachines, false},
		{10 * time.Second, waitNoOffer, false},
		{31 * time.Second, waitNoOffer, true},
		{32 * time.Second, waitNoOffer, false},
		{40 * time.Second, waitLimit, false}, // too soon after the last line
		{62 * time.Second, waitLimit, true},
		{200 * time.Second, waitLimit, false},
	} {
		out.Reset()
		l.c.now, l.c.wall = start+step.at, j.since+step.at.Milliseconds()
		l.noteWait(j, step.why)
		if told := strings.Contains(out.String(), string(step.why)); told != step.told {
			t.Errorf("after %v: told %v, want %v (%s)", step.at, told, step.told, out.String())
		}
	}
}

// The plan names the reason that holds for a candidate.
func TestPlanNamesWaitReason(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(l *leader, c *candidate)
		want  waitReason
	}{
		{"a machine is rented", func(*leader, *candidate) {}, waitMachines},
		{"a machine boots", func(l *leader, _ *candidate) { planMachine(l, "n-1", "large", "a") }, waitMachines},
		{"the limit", func(l *leader, _ *candidate) { l.c.team("vision").CPUsMax = 1 }, waitLimit},
		{"no capacity", func(l *leader, _ *candidate) { refuse(l, "a"); refuse(l, "b") }, waitNoOffer},
		{"room is made", func(_ *leader, c *candidate) { c.reserved = 1 }, waitStops},
	} {
		l := newForecastLeader(t)
		c := planCandidate(wire.Job{ID: "job-1", CPUs: 2, MemGB: 1}, 1)
		tc.setUp(l, c)
		p := newRentalPlan(l)
		p.packPending([]*candidate{c}, map[string]topology.Resources{})
		if got := c.job.wait.noted; got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// A rented machine and one that is kept are logged with what they are for.
func TestPlanNamesPurposes(t *testing.T) {
	l := newForecastLeader(t)
	var out bytes.Buffer
	l.c.log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	idle := planMachine(l, "n-1", "small", "b")
	idle.heard, idle.token = l.c.now, l.mandate.Term
	c := planCandidate(wire.Job{ID: "job-000007", CPUs: 1, MemGB: 1}, 1)
	other := planCandidate(wire.Job{ID: "job-000008", CPUs: 4, MemGB: 1}, 1)
	for range 2 {
		l.plan([]*candidate{c, other}, map[string]topology.Resources{})
	}
	for _, want := range []string{`msg="empty machine kept" machine=n-1 for=job-000007`, `msg=rent type=large zone=a spot=false count=1 for=job-000008`} {
		if n := strings.Count(out.String(), want); n != 1 {
			t.Errorf("%d lines %s in\n%s", n, want, out.String())
		}
	}
}
