package sim

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// pipelinesDay writes a scenario of chains, diamonds and long lists of jobs, with
// cancellations and the troubles of meetings.
func pipelinesDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 13))
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\ncontrollers %d\n%s", seed, []int{3, 5}[rng.IntN(2)], soakSetup)
	if rng.IntN(2) == 0 {
		fmt.Fprintf(&text, "next value_kb=2 txn_ops=%d write_rps=40\nat %d limits value_kb=2 txn_ops=5 write_rps=40\n", 5+rng.IntN(2), 20+rng.IntN(100))
	}
	k := 0
	// stage writes the submission of a job that awaits others.
	stage := func(at float64, awaits []string, last bool) string {
		k++
		id := fmt.Sprintf("job-%06d", k)
		fmt.Fprintf(&text, "at %.2f submit %s team=%s image=i%d image_gb=%d", at, id, []string{"t", "u"}[rng.IntN(2)], rng.IntN(4), []int{0, 2}[rng.IntN(2)])
		switch rng.IntN(5) {
		case 0:
			fmt.Fprintf(&text, " priority=idle tasks=%d cpus=1 run=%d spot", 1+rng.IntN(40), 3+rng.IntN(10))
		case 1, 2:
			fmt.Fprintf(&text, " tasks=%d cpus=2 run=%d", 1+rng.IntN(6), 2+rng.IntN(20))
		case 3:
			fmt.Fprintf(&text, " shape=gang tasks=%d cpus=2 run=%d checkpoint=10 save=2 together", 1+rng.IntN(4), 5+rng.IntN(20))
		case 4:
			fmt.Fprintf(&text, " priority=idle tasks=%d cpus=1 gpus=1 run=%d checkpoint=5 save=1 spot", 1+rng.IntN(8), 5+rng.IntN(15))
		}
		if awaits != nil {
			fmt.Fprintf(&text, " awaits=%s", strings.Join(awaits, ","))
		}
		if last {
			fmt.Fprintf(&text, " priority=urgent due=%d%s", 30+rng.IntN(200), []string{"", "", " after"}[rng.IntN(3)])
		}
		text.WriteByte('\n')
		if rng.IntN(10) == 0 {
			fmt.Fprintf(&text, "at %.2f cancel %s\n", at+1+80*rng.Float64(), id)
		}
		return id
	}
	var old []string // of earlier pipelines
	for range 7 {
		at := 1 + 120*rng.Float64()
		ids := []string{stage(at, nil, false)}
		if old != nil && rng.IntN(3) == 0 { // needs what another pipeline makes
			ids = append(ids, old[rng.IntN(len(old))])
		}
		if rng.IntN(2) == 0 {
			at += 40 * rng.Float64()
		}
		switch rng.IntN(3) {
		case 0: // a chain
			for range rng.IntN(3) {
				ids = append(ids, stage(at, ids[len(ids)-1:], false))
			}
			ids = append(ids, stage(at, ids[len(ids)-1:], true))
		case 1: // a diamond
			x, y := stage(at, ids, false), stage(at, ids[:1], false)
			ids = append(ids, x, y, stage(at, []string{x, y}, true))
		case 2: // many before one
			for range 1 + rng.IntN(5) {
				ids = append(ids, stage(at, ids[:rng.IntN(2)], false))
			}
			ids = append(ids, stage(at, append(ids, ids[0]), true))
		}
		old = append(old, ids...)
	}
	fmt.Fprintf(&text, "at 1 submit job-000900 shape=service priority=critical tasks=4 cpus=1 apart\n")
	writeOverlappingFaults(&text, rng)
	text.WriteString("until 540\n")
	return text.String()
}

// TestPipelines plays random days on which jobs await others and troubles meet.
func TestPipelines(t *testing.T) {
	// On day 58 a leader returned machines whose last ends it could not record;
	// the next one held up the jobs, and all that awaited them, for minutes.
	seeds := []uint64{58}
	for seed := uint64(1); seed <= uint64(soakDays(15)); seed++ {
		if seed != 58 {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, pipelinesDay(seed))
		})
	}
}

// TestLoweredLimits has the state service turn away what is beyond its new
// limits and keep what it has.
func TestLoweredLimits(t *testing.T) {
	world := newWorld(defaultSettings(), 1, slog.New(slog.DiscardHandler))
	commit := func(writes, conditions, size int) int {
		var txn wire.Txn
		for i := range writes {
			value, _ := json.Marshal(strings.Repeat("x", size-2))
			txn.Writes = append(txn.Writes, wire.Write{Put: fmt.Sprintf("a/%d", i), Value: value})
		}
		for i := range conditions {
			txn.Conditions = append(txn.Conditions, wire.Condition{Key: fmt.Sprintf("none/%d", i)})
		}
		body, _ := json.Marshal(txn)
		world.now += time.Second
		got := 0
		world.store.handle("node-0", "POST", "/commit", body, func(status int, _ []byte) { got = status })
		return got
	}
	check := func(writes, conditions, size, want int) {
		t.Helper()
		if got := commit(writes, conditions, size); got != want {
			t.Errorf("%d writes of %d bytes, %d conditions: %d, want %d", writes, size, conditions, got, want)
		}
	}
	check(6, 24, 8192, 200)
	world.store.reduceLimits(config.StoreLimits{RPS: 200, WriteRPS: 4, ValueKB: 2, TxnOps: 5})
	check(1, 0, 2048, 200)
	check(1, 0, 2049, 400)
	check(6, 0, 10, 400)
	check(1, 20, 10, 200)
	check(1, 21, 10, 400)
	check(5, 0, 10, 429) // more than a second's worth
	check(4, 0, 10, 200)
	world.store.handle("node-0", "GET", "/store/a/5", nil, func(status int, body []byte) {
		if status != 200 || len(body) < 8192 {
			t.Errorf("a stored value: %d, %d bytes", status, len(body))
		}
	})
	if world.checker.violations != nil {
		t.Error(world.checker.violations)
	}
}

// TestCancelledWithDone has a job called cancelled with one that then is called
// done: only in that order is the first answer right when it is given.
func TestCancelledWithDone(t *testing.T) {
	world := newWorld(defaultSettings(), 1, slog.New(slog.DiscardHandler))
	for i, awaits := range [][]string{nil, {"job-000000"}, {"job-000001"}} {
		id := fmt.Sprintf("job-%06d", i)
		world.jobs[id] = &groundTruth{Job: wire.Job{ID: id, Tasks: 1, Dependencies: awaits}, doneTasks: map[int]bool{0: i == 0}}
		world.users.jobs[id] = &userJob{id: id, accepted: true}
	}
	tell := func(id string, status wire.JobState, faults int) {
		t.Helper()
		body, _ := json.Marshal(wire.JobStatus{ID: id, Status: status})
		world.users.recordStatus(world.users.jobs[id], body, world.now)
		if len(world.checker.violations) != faults {
			t.Errorf("%s %s: %d faults, want %d: %v", id, status, len(world.checker.violations), faults, world.checker.violations)
		}
	}
	world.users.jobs["job-000000"].cancelRequestedAt = time.Second
	world.now = 2 * time.Second
	tell("job-000002", wire.StatusCancelled, 0)
	tell("job-000000", wire.StatusDone, 1)
	if !strings.HasPrefix(world.checker.violations[0], "went_back") {
		t.Error(world.checker.violations)
	}
	tell("job-000001", wire.StatusCancelled, 2)
}
