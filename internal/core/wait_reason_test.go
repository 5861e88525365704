package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// TestWaitReasons checks that the reason why a job waits is logged at level info once the job has
// waited for logWaitAfter: each reason once, and at a limited rate.
func TestWaitReasons(t *testing.T) {
	leader := newForecastLeader(t)
	var out bytes.Buffer
	leader.core.log = slog.New(slog.NewTextHandler(&out, nil))
	job := pendingCandidate(wire.Job{ID: "job-1", CPUs: 2, MemGB: 1}, 3).Job
	start := leader.core.now
	job.WaitingSinceMS = leader.core.wallClockMS
	for _, step := range []struct {
		at     time.Duration
		reason cluster.WaitReason
		logged bool
	}{
		{0, cluster.WaitForMachines, false},
		{10 * time.Second, cluster.WaitNoOffer, false},
		{31 * time.Second, cluster.WaitNoOffer, true},
		{32 * time.Second, cluster.WaitNoOffer, false},
		{40 * time.Second, cluster.WaitTeamLimit, false}, // too soon after the last line
		{62 * time.Second, cluster.WaitTeamLimit, true},
		{200 * time.Second, cluster.WaitTeamLimit, false},
	} {
		out.Reset()
		leader.core.now, leader.core.wallClockMS = start+step.at, job.WaitingSinceMS+step.at.Milliseconds()
		leader.logWait(job, step.reason)
		if logged := strings.Contains(out.String(), string(step.reason)); logged != step.logged {
			t.Errorf("reason logged after %v: got %v, want %v; log: %s", step.at, logged, step.logged, out.String())
		}
	}
}

// TestPlanLogsWaitReason checks the wait reason that a plan logs for a candidate.
func TestPlanLogsWaitReason(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(leader *leader, c *candidate)
		want  cluster.WaitReason
	}{
		{"a machine is provisioned", func(*leader, *candidate) {}, cluster.WaitForMachines},
		{"a machine is booting", func(leader *leader, _ *candidate) { bootingMachine(leader, "n-1", "large", "a") }, cluster.WaitForMachines},
		{"the team is at its limit", func(leader *leader, _ *candidate) { leader.core.team("vision").CPUsMax = 1 }, cluster.WaitTeamLimit},
		{"no capacity", func(leader *leader, _ *candidate) { refuseZone(leader, "a"); refuseZone(leader, "b") }, cluster.WaitNoOffer},
		{"other tasks are being preempted", func(_ *leader, c *candidate) { c.ReservedTasks = 1 }, cluster.WaitForPreemption},
	} {
		leader := newForecastLeader(t)
		c := pendingCandidate(wire.Job{ID: "job-1", CPUs: 2, MemGB: 1}, 1)
		tc.setUp(leader, c)
		plan := newScaleOutPlan(leader)
		plan.packPending([]*candidate{c}, map[string]topology.Resources{})
		if got := c.Job.WaitLog.LastReason; got != tc.want {
			t.Errorf("%s: wait reason: got %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestPlanLogsPurposes checks that a plan logs the purposes of a provisioned machine and of an
// idle machine that is kept, each once.
func TestPlanLogsPurposes(t *testing.T) {
	leader := newForecastLeader(t)
	var out bytes.Buffer
	leader.core.log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	idle := bootingMachine(leader, "n-1", "small", "b")
	idle.LastHeartbeat, idle.FencingToken = leader.core.now, leader.leadership.FirstToken
	c := pendingCandidate(wire.Job{ID: "job-000007", CPUs: 1, MemGB: 1}, 1)
	other := pendingCandidate(wire.Job{ID: "job-000008", CPUs: 4, MemGB: 1}, 1)
	for range 2 {
		leader.planScaleOut([]*candidate{c, other}, map[string]topology.Resources{})
	}
	for _, want := range []string{`msg="idle machine kept" machine=n-1 purpose=job-000007`, `msg="provisioning requested" type=large zone=a spot=false count=1 purpose=job-000008`} {
		if n := strings.Count(out.String(), want); n != 1 {
			t.Errorf("got %d log lines with %s, want 1, in\n%s", n, want, out.String())
		}
	}
}
