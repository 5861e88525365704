package sim

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
	"golang.org/x/tools/txtar"
)

// minSeeds is how many days of a scenario are played at the least: some that
// were played with one held by the luck of its seed.
const minSeeds = 5

// TestScenarios plays every scenario file: a comment on what it guards, and
// one section a variant.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		ar := txtar.Parse(data)
		for _, f := range ar.Files {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar")+"/"+f.Name, func(t *testing.T) {
				t.Parallel()
				s, err := ParseScenario(string(f.Data))
				if err != nil {
					t.Fatal(err)
				}
				for first := s.seed; s.seed < first+uint64(max(s.seedCount, minSeeds)); s.seed++ {
					_, faults := s.Run(testLog())
					for _, fault := range faults {
						t.Errorf("seed %d: %s", s.seed, fault)
					}
				}
			})
		}
	}
}

// testLog writes everything to standard error if SIM_LOG is set.
func testLog() *slog.Logger {
	if os.Getenv("SIM_LOG") == "" {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

const soakSetup = `
team t gpus=8 gpus_max=24
team u gpus=8 gpus_max=16
type small cpus=8 gpus=0 mem=32 price=1 spot_price=0.3 boot=10 fetch=1 cap=4 spot=3
type big cpus=32 gpus=8 mem=256 price=10 spot_price=3 boot=15 fetch=4 cap=2 spot=2
wait web within=2
`

// soakDay writes a scenario of random jobs and troubles.
func soakDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 7))
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\n%suntil 330\n", seed, soakSetup)
	team := func() string { return []string{"t", "u"}[rng.IntN(2)] }
	for i := 1; i <= 24; i++ {
		at := rng.IntN(200)
		id := fmt.Sprintf("job-%06d", i)
		img := rng.IntN(4)
		switch rng.IntN(4) {
		case 0:
			fmt.Fprintf(&text, "at %d submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 image=i%d image_gb=2 apart\n", at, id, team(), 1+rng.IntN(5), img)
		case 1:
			fmt.Fprintf(&text, "at %d submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 image=i%d spot\n", at, id, team(), 1+rng.IntN(12), 10+rng.IntN(40), img)
		case 2:
			fmt.Fprintf(&text, "at %d submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 image=i%d together\n", at, id, team(), 1+rng.IntN(3), 10+rng.IntN(40), img)
		case 3:
			fmt.Fprintf(&text, "at %d submit %s team=%s tasks=%d cpus=2 run=%d image=i%d together\n", at, id, team(), 1+rng.IntN(6), 5+rng.IntN(30), img)
		}
		if rng.IntN(4) == 0 {
			fmt.Fprintf(&text, "at %d cancel %s\n", at+5+rng.IntN(60), id)
		}
	}
	who := func() string { return []string{"leader", "follower", "all", "leader"}[rng.IntN(4)] }
	side := func() string {
		return []string{"state", "workers", "nodes", "cloud", "zone:east", "zone:north", "busy"}[rng.IntN(7)]
	}
	mode := func() string { return []string{"hold", "", "oneway", "hold oneway"}[rng.IntN(4)] }
	for i := 0; i < 8; i++ {
		at := 20 + rng.IntN(200)
		d := 1 + rng.IntN(40)
		switch rng.IntN(10) {
		case 0, 1:
			fmt.Fprintf(&text, "at %d crash %s for=%g\n", at, who(), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 2, 3:
			fmt.Fprintf(&text, "at %d cut %s %s for=%d %s\n", at, []string{"leader", "follower"}[rng.IntN(2)], side(), d, mode())
		case 4:
			fmt.Fprintf(&text, "at %d outage %s for=%d\n", at, []string{"state", "cloud"}[rng.IntN(2)], d)
		case 5:
			fmt.Fprintf(&text, "at %d refuse leader for=%d\n", at, d)
		case 6:
			fmt.Fprintf(&text, "at %d copies for=%d delay=%d\n", at, d, 1+rng.IntN(30))
		case 7:
			fmt.Fprintf(&text, "at %d hang busy for=%d\n", at, d)
		case 8:
			fmt.Fprintf(&text, "at %d take busy for=%d\n", at, d)
		case 9:
			fmt.Fprintf(&text, "at %d cut zone:east zone:west for=%d %s\n", at, d, mode())
		}
	}
	return text.String()
}

// overlappingFaultsDay writes a scenario in which troubles of all kinds overlap, with three
// or five controllers, jobs of all shapes and cancellations among them.
func overlappingFaultsDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 11))
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\ncontrollers %d\n%s", seed, []int{3, 5}[rng.IntN(2)], soakSetup)
	for i := 1; i <= 36; i++ {
		at := rng.IntN(200)
		id := fmt.Sprintf("job-%06d", i)
		team := []string{"t", "u"}[rng.IntN(2)]
		img := fmt.Sprintf("image=i%d image_gb=%d", rng.IntN(4), []int{0, 2, 10}[rng.IntN(3)])
		switch rng.IntN(6) {
		case 0:
			fmt.Fprintf(&text, "at %d submit %s shape=service class=web team=%s priority=critical tasks=%d cpus=1 %s apart\n", at, id, team, 1+rng.IntN(5), img)
		case 1:
			fmt.Fprintf(&text, "at %d submit %s team=%s priority=idle tasks=%d cpus=4 gpus=1 mem=16 run=%d checkpoint=5 save=3 %s spot\n", at, id, team, 1+rng.IntN(12), 10+rng.IntN(40), img)
		case 2:
			fmt.Fprintf(&text, "at %d submit %s shape=gang team=%s priority=urgent tasks=%d cpus=6 gpus=2 mem=16 run=%d checkpoint=5 save=2 %s together\n", at, id, team, 1+rng.IntN(3), 10+rng.IntN(60), img)
		case 3:
			fmt.Fprintf(&text, "at %d submit %s team=%s tasks=%d cpus=2 run=%d %s together\n", at, id, team, 1+rng.IntN(6), 5+rng.IntN(90), img)
		case 4: // two or three tasks whose ends lie far apart for want of room
			fmt.Fprintf(&text, "at %d submit %s team=%s tasks=%d cpus=8 run=%d %s zone=%s\n", at, id, team, 2+rng.IntN(2), 20+rng.IntN(60), img, []string{"east", "west"}[rng.IntN(2)])
		case 5:
			fmt.Fprintf(&text, "at %d submit %s shape=gang team=%s tasks=%d cpus=3 run=%d %s apart\n", at, id, team, 2+rng.IntN(4), 10+rng.IntN(60), img)
		}
		if rng.IntN(5) == 0 {
			fmt.Fprintf(&text, "at %d cancel %s\n", at+5+rng.IntN(60), id)
		}
	}
	writeOverlappingFaults(&text, rng)
	text.WriteString("until 480\n")
	return text.String()
}

// writeOverlappingFaults writes troubles of all kinds that overlap.
func writeOverlappingFaults(text *strings.Builder, rng *rand.Rand) {
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	for range 10 {
		at := 20 + 200*rng.Float64()
		d := 1 + rng.IntN(45)
		who := pick("leader", "leader", "follower", "node-0", "node-1", "node-2")
		machines := pick("busy", "some share=0.3", "some count=2", "zone:east", "zone:north")
		mode := pick("hold", "", "oneway", "hold oneway")
		act := func(format string, a ...any) { fmt.Fprintf(text, "at %.2f %s\n", at, fmt.Sprintf(format, a...)) }
		switch rng.IntN(18) {
		case 0, 1:
			act("crash %s for=%g", pick("all", who), []float64{0.2, 3, 10}[rng.IntN(3)])
		case 2:
			for range 10 { // leaders change again and again
				at += 5 + 6*rng.Float64()
				act("crash leader for=%g", []float64{0.3, 4, 12}[rng.IntN(3)])
			}
		case 3, 4:
			act("cut %s %s for=%d %s", who, pick("state", "workers", "nodes", "cloud", "zone:east", "busy"), d, mode)
		case 5:
			act("cut zone:%s zone:%s for=%d %s", pick("east", "north"), pick("west", "north"), d, mode)
		case 6:
			act("outage %s for=%d", pick("state", "state", "cloud"), d)
		case 7:
			act("refuse leader for=%d", d)
			if rng.IntN(2) == 0 {
				act("cancel_now count=%d", 1+rng.IntN(4))
				at++
				act("outage state for=%d", d)
			}
		case 8:
			act("%s busy for=%d", pick("take", "hang", "kill"), d)
		case 9:
			act("late_writes share=%g for=%d", []float64{0.1, 0.3, 0.6}[rng.IntN(3)], d)
		case 10, 11:
			act("late_reports share=%g for=%d", []float64{0.1, 0.5, 1}[rng.IntN(3)], d)
		case 12:
			act("deaf %s for=%d", machines, d)
		case 13:
			act("mute %s for=%d", machines, d)
		case 14:
			act("isolate %s for=%d", who, d)
			at += float64(d) * rng.Float64()
			act("cancel_now count=%d", 1+rng.IntN(4))
		case 15:
			act("cancel_now count=%d hang=%d", 1+rng.IntN(6), []int{0, 5, 9, 20}[rng.IntN(4)])
		case 16:
			act("cancel_at_end share=%g for=%d", []float64{0.3, 1}[rng.IntN(2)], 2*d)
		case 17:
			act("odd_requests for=%d", 2*d)
		}
	}
}

// TestSoak plays random days: no rule may break, and all that can be done is
// done once the troubles are over.
func TestSoak(t *testing.T) {
	// Seed 174 once ran a task twice: a session that the leader had learned
	// from a direct answer seemed to have run out by the clock of the one
	// before. Seed 65 found no machine for a trouble to hit.
	seeds := []uint64{65, 174}
	for seed := uint64(1); seed <= uint64(soakDays(40)); seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, soakDay(seed))
		})
	}
}

// TestOverlappingFaults plays random days on which troubles meet.
func TestOverlappingFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(soakDays(25)); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, overlappingFaultsDay(seed))
		})
	}
}

// operationsDay writes a day of meetings on which, besides, machines come up late or never,
// controllers stand still, users ask many times as often, a team without a guarantee has
// work and jobs are submitted with a mistake.
func operationsDay(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 13))
	var text strings.Builder
	text.WriteString("team g\n")
	text.WriteString(overlappingFaultsDay(seed))
	for i := 101; i <= 112; i++ {
		at, id := rng.IntN(200), fmt.Sprintf("job-%06d", i)
		switch rng.IntN(3) {
		case 0:
			fmt.Fprintf(&text, "at %d submit %s team=g priority=idle tasks=%d cpus=2 run=%d checkpoint=5 save=2 image=g\n", at, id, 1+rng.IntN(30), 5+rng.IntN(30))
		case 1:
			fmt.Fprintf(&text, "at %d submit %s team=g priority=idle tasks=1 cpus=1 run=%d image=h\n", at, id, 2+rng.IntN(10))
		case 2:
			shape := []string{"array", "service", "gang"}[rng.IntN(3)]
			fmt.Fprintf(&text, "at %d submit %s shape=%s team=t priority=%s tasks=%d cpus=2 image=f fail\nat %d cancel %s\n", at, id, shape,
				[]string{"critical", "urgent", "idle"}[rng.IntN(3)], 1+rng.IntN(8), at+20+rng.IntN(150), id)
		}
	}
	for range 6 {
		at, d := 10+rng.IntN(200), 5+rng.IntN(90)
		switch rng.IntN(4) {
		case 0:
			who := []string{"leader", "follower", "all", "leader"}[rng.IntN(4)]
			if who == "all" {
				d = min(d, 25) // users try to submit for a minute
			}
			fmt.Fprintf(&text, "at %d pause %s for=%d\n", at, who, d)
		case 1:
			fmt.Fprintf(&text, "at %d lateboot share=%g factor=%d for=%d\n", at, []float64{0.3, 1}[rng.IntN(2)], 2+rng.IntN(4), d)
		case 2:
			fmt.Fprintf(&text, "at %d noboot share=%g for=%d\n", at, []float64{0.2, 0.6}[rng.IntN(2)], d)
		case 3:
			fmt.Fprintf(&text, "at %d poll_storm factor=%d for=%d\n", at, 4+rng.IntN(12), d)
		}
	}
	return text.String()
}

// TestOperations plays random days of the troubles that operators met.
func TestOperations(t *testing.T) {
	for seed := uint64(1); seed <= uint64(soakDays(25)); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDay(t, operationsDay(seed))
		})
	}
}

// playDay plays a random day: no rule may break, and all that can be done is
// done once the troubles are over.
func playDay(t *testing.T, text string) {
	s, err := ParseScenario(text)
	if err != nil {
		t.Fatal(err)
	}
	world, faults := s.Run(nil)
	for _, f := range append(faults, world.unfinishedWork()...) {
		t.Error(f)
	}
	if t.Failed() {
		t.Log(text)
	}
}

// unfinishedWork tells what a random day has left undone.
func (w *World) unfinishedWork() (faults []string) {
	add := func(format string, a ...any) { faults = append(faults, fmt.Sprintf(format, a...)) }
	for _, id := range w.users.sortedIDs() {
		j := w.users.jobs[id]
		service := w.jobs[id].Shape == wire.ShapeService
		switch {
		case !j.accepted && j.rejectionStatus == 0 && !j.excused:
			add("%s was never answered", id)
		case j.accepted && j.finalStatus == "" && !service:
			add("%s is still %s", id, j.lastStatus.Status)
		case j.accepted && j.finalStatus == "" && w.runningTasks(id) != w.jobs[id].Tasks:
			add("%s: %d of %d replicas run", id, w.runningTasks(id), w.jobs[id].Tasks)
		}
		if len(w.jobs[id].Dependencies) > 0 && j.rejectionStatus != 0 {
			add("%s was refused with %d", id, j.rejectionStatus)
		}
	}
	for id, job := range w.users.unsubmitted {
		if !w.users.neverSubmitted(job) {
			add("%s still waits to be submitted", id)
		}
	}
	return faults
}

// TestCheckerCatches shows that the checker sees a broken core: each mutation
// makes the cores do one forbidden thing, and its rule must be reported.
func TestCheckerCatches(t *testing.T) {
	scenario := soakSetup + `
until 120
at 1 submit job-000001 team=t tasks=4 cpus=0.5 run=30 image_gb=0
at 1 submit job-000002 shape=service team=t priority=critical tasks=4 cpus=0.5 image_gb=0 apart
at 1 submit job-000003 shape=service team=u tasks=2 cpus=4 gpus=2
at 50 cancel job-000003
`
	// A start goes to a second machine too, once that one is up.
	double := func(controller *controller, out *core.Output) {
		for _, call := range out.Calls {
			if call.Path != "/do" || !strings.Contains(string(call.Body), `"run"`) {
				continue
			}
			var cmds []wire.Command
			for _, t := range strings.Split(string(call.Body), `"shard":"`)[1:] {
				cmds = append(cmds, wire.Command{Verb: wire.VerbStart, Task: t[:strings.IndexByte(t, '"')], Attempt: 99})
			}
			from := controller.world.cloud.byAddress[call.Addr]
			controller.world.after(20*time.Second, func() {
				for _, name := range controller.world.cloud.machineNames() {
					if m := controller.world.cloud.machines[name]; m != from && !m.removed && m.upAt < controller.world.now {
						m.execute(cmds)
						return
					}
				}
			})
		}
	}
	answers := func(path string, status int, from, to string) func(*controller, *core.Output) {
		return func(controller *controller, out *core.Output) {
			for i := range out.Answers {
				a := &out.Answers[i]
				if controller.world.now > 10*time.Second && strings.Contains(string(a.Body), path) {
					a.Status = status
					a.Body = []byte(strings.ReplaceAll(string(a.Body), from, to))
				}
			}
		}
	}
	// Users are told before the tasks are gone, and no task is stopped. Without
	// the first nobody is told, and nothing is promised.
	noStops := func(controller *controller, out *core.Output) {
		for i := range out.Calls {
			out.Calls[i].Body = []byte(strings.ReplaceAll(string(out.Calls[i].Body), `"kill"`, `"none"`))
			if out.Calls[i].Path == "/machines/return" {
				out.Calls[i].Path = "/nowhere"
			}
		}
		for i := range out.Answers {
			a := &out.Answers[i]
			a.Body = []byte(strings.ReplaceAll(string(a.Body), `"kill"`, `"none"`))
			if a.Status == 503 && strings.Contains(string(a.Body), "being stopped") {
				a.Status, a.Body = 200, []byte(`{"nameId":"job-000003","status":"withdrawn"}`)
			}
		}
	}
	// A job is accepted and recorded where no leader looks for it. (Starts that
	// never arrive do not do: the machines pass for deaf and are returned, so
	// there is no lasting room.)
	mislaid := func(controller *controller, out *core.Output) {
		for i := range out.Calls {
			out.Calls[i].Body = []byte(strings.ReplaceAll(string(out.Calls[i].Body), `"o/job-000004"`, `"x/job-000004"`))
		}
	}
	// A task is started on all machines that have room for it.
	start := func(task string, from, to time.Duration) func(*controller, *core.Output) {
		return func(controller *controller, _ *core.Output) {
			if controller.world.now < from || controller.world.now > to {
				return
			}
			for _, name := range controller.world.cloud.machineNames() {
				if m := controller.world.cloud.machines[name]; !m.removed && m.upAt < controller.world.now {
					m.execute([]wire.Command{{Verb: wire.VerbStart, Task: task, Attempt: 77}})
				}
			}
		}
	}
	since := func(from time.Duration, f func(*controller, *core.Output)) func(*controller, *core.Output) {
		return func(controller *controller, out *core.Output) {
			if controller.world.now >= from {
				f(controller, out)
			}
		}
	}
	// Transactions carry changes that nobody needs.
	bulky := func(_ *controller, out *core.Output) {
		for i := range out.Calls {
			var t wire.Txn
			if call := &out.Calls[i]; call.Path == "/commit" && json.Unmarshal(call.Body, &t) == nil {
				for len(t.Writes) < 6 {
					t.Writes = append(t.Writes, wire.Write{Delete: fmt.Sprintf("none/%d", len(t.Writes))})
				}
				call.Body, _ = json.Marshal(t)
			}
		}
	}
	// The jobs after one that is cancelled as it runs.
	const after = "at 1 submit job-000006 team=u tasks=2 cpus=0.5 run=300 image_gb=0\n" +
		"at 50 cancel job-000006\n" +
		"at 2 submit job-000004 team=t cpus=0.5 run=300 image_gb=0 awaits=job-000006\n" +
		"at 3 submit job-000005 cpus=0.5 image_gb=0 awaits=job-000004\n"
	// A job after job-000001, which ends by itself.
	const next = "at 2 submit job-000004 team=t cpus=0.5 run=300 image_gb=0 awaits=job-000001\n"
	// A task of a cancelled job is started once more.
	restart := func(controller *controller, _ *core.Output) {
		for _, name := range controller.world.cloud.machineNames() {
			m := controller.world.cloud.machines[name]
			if m.machineType == "big" && controller.world.now > 53*time.Second && controller.world.now < 54*time.Second {
				m.execute([]wire.Command{{Verb: wire.VerbStart, Task: "job-000003/0", Attempt: 77}})
			}
		}
	}
	refusal := func(from, to int) func(*controller, *core.Output) {
		return func(_ *controller, out *core.Output) {
			for i := range out.Answers {
				if out.Answers[i].Status == from {
					out.Answers[i].Status = to
				}
			}
		}
	}
	for _, tc := range []struct {
		rule   string
		mutate func(*controller, *core.Output)
		extra  string
	}{
		{"ran_twice", double, ""},
		{"not_done", answers("job-000002", 200, `"status":"running"`, `"status":"done"`), ""},
		{"forgotten", answers("job-000001", 404, "", ""), ""},
		{"went_back", answers("job-000002", 200, `"status":"running"`, `"status":"withdrawn"`), ""},
		{"ran_cancelled", noStops, ""},
		{"started_cancelled", restart, ""},
		{"unanswered", answers("job-000002", 503, "", ""), ""},
		{"left_waiting", mislaid, "until 220\nat 1 submit job-000004 team=t cpus=0.5"},
		{"left_waiting", mislaid, "at 1 submit job-000004 shape=gang team=t tasks=2 cpus=0.5 together"},
		{"accepted_impossible", refusal(400, 201), "at 10 odd_requests for=60"},
		{"accepted_impossible", refusal(422, 201), "at 10 odd_requests for=60"},
		{"wrong_answer", refusal(422, 400), "at 10 odd_requests for=60"},
		{"forgotten", refusal(200, 201), "at 10 odd_requests for=60"},
		{"too_early", start("job-000004/0", 20*time.Second, 28*time.Second), next},
		{"orphaned", answers("job-000005", 200, `"status":"withdrawn"`, `"status":"pending"`), after},
		{"ran_cancelled", start("job-000004/0", 85*time.Second, 95*time.Second), after},
		{"went_back", answers("job-000004", 200, `"status":"running"`, `"status":"withdrawn"`), next},
		{"went_back", since(95*time.Second, answers("job-000004", 200, `"status":"running"`, `"status":"withdrawn"`)), next + "at 80 cancel job-000001"},
		{"forgotten", answers("job-000004", 422, "", ""), "at 12 submit job-000004 awaits=job-000001,job-000001"},
		{"left_waiting", mislaid, "until 260\n" + next},
		{"limits", bulky, "next txn_ops=5"},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			s, err := ParseScenario(scenario + tc.extra)
			if err != nil {
				t.Fatal(err)
			}
			world := s.newWorld(slog.New(slog.DiscardHandler))
			world.mutate = tc.mutate
			faults := strings.Join(s.finish(world), "\n")
			if !strings.Contains(faults, tc.rule) {
				t.Errorf("%s was not reported; reported: %s", tc.rule, faults)
			}
		})
	}
}
