package sim

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// mutation changes the output of a core so that it violates a rule.
type mutation func(c *controller, out *core.Output)

// mutatedScenario is the scenario that runs with mutated cores.
const mutatedScenario = soakSetup + `
until 120
at 1 submit job-000001 team=t tasks=4 cpus=0.5 run=30 image_gb=0
at 1 submit job-000002 shape=service team=t priority=critical tasks=4 cpus=0.5 image_gb=0 apart
at 1 submit job-000003 shape=service team=u tasks=2 cpus=4 gpus=2
at 50 cancel job-000003
`

// dependentsOfCancelled adds a job that is cancelled while it runs, and jobs that depend on it,
// directly and indirectly.
const dependentsOfCancelled = `
at 1 submit job-000006 team=u tasks=2 cpus=0.5 run=300 image_gb=0
at 50 cancel job-000006
at 2 submit job-000004 team=t cpus=0.5 run=300 image_gb=0 awaits=job-000006
at 3 submit job-000005 cpus=0.5 image_gb=0 awaits=job-000004
`

// dependentOfDone adds a job that depends on one that completes during the scenario.
const dependentOfDone = "at 2 submit job-000004 team=t cpus=0.5 run=300 image_gb=0 awaits=job-000001\n"

// TestCheckerReportsMutations tests that the checker detects broken cores: each mutation makes the
// cores violate one rule, which the checker must report.
func TestCheckerReportsMutations(t *testing.T) {
	for _, tc := range []struct {
		rule   string
		mutate mutation
		extra  string // lines of the scenario
	}{
		{"ran_twice", startOnSecondMachine, ""},
		{"not_done", changeAnswers("job-000002", 200, `"status":"running"`, `"status":"done"`), ""},
		{"forgotten", changeAnswers("job-000001", 404, "", ""), ""},
		{"went_back", changeAnswers("job-000002", 200, `"status":"running"`, `"status":"withdrawn"`), ""},
		{"ran_cancelled", stopNoTasks, ""},
		{"started_cancelled", restartCancelled, ""},
		{"unanswered", changeAnswers("job-000002", 503, "", ""), ""},
		{"left_waiting", misplaceRecords, "until 220\nat 1 submit job-000004 team=t cpus=0.5"},
		{"left_waiting", misplaceRecords, "at 1 submit job-000004 shape=gang team=t tasks=2 cpus=0.5 together"},
		{"accepted_impossible", changeStatus(400, 201), "at 10 odd_requests for=60"},
		{"accepted_impossible", changeStatus(422, 201), "at 10 odd_requests for=60"},
		{"wrong_answer", changeStatus(422, 400), "at 10 odd_requests for=60"},
		{"forgotten", changeStatus(200, 201), "at 10 odd_requests for=60"},
		{"too_early", startOnAllMachines("job-000004/0", 20*time.Second, 28*time.Second), dependentOfDone},
		{"orphaned", changeAnswers("job-000005", 200, `"status":"withdrawn"`, `"status":"pending"`), dependentsOfCancelled},
		{"ran_cancelled", startOnAllMachines("job-000004/0", 85*time.Second, 95*time.Second), dependentsOfCancelled},
		{"went_back", changeAnswers("job-000004", 200, `"status":"running"`, `"status":"withdrawn"`), dependentOfDone},
		{"went_back", startingAt(95*time.Second, changeAnswers("job-000004", 200, `"status":"running"`, `"status":"withdrawn"`)), dependentOfDone + "at 80 cancel job-000001"},
		{"forgotten", changeAnswers("job-000004", 422, "", ""), "at 12 submit job-000004 awaits=job-000001,job-000001"},
		{"left_waiting", misplaceRecords, "until 260\n" + dependentOfDone},
		{"limits", padTransactions, "next txn_ops=5"},
		{"started_again", useOneToken, "at 5 repeat_calls share=1 to=workers delay=50 for=30"},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			scenario := parseScenario(t, mutatedScenario+tc.extra)
			world := scenario.newWorld(slog.New(slog.DiscardHandler))
			world.mutate = tc.mutate
			failures := strings.Join(scenario.finish(world), "\n")
			if !strings.Contains(failures, tc.rule) {
				t.Errorf("no violation of rule %s was reported; reported: %s", tc.rule, failures)
			}
		})
	}
}

// startingAt applies a mutation from a time on.
func startingAt(from time.Duration, mutate mutation) mutation {
	return func(c *controller, out *core.Output) {
		if c.world.now >= from {
			mutate(c, out)
		}
	}
}

// replaceText replaces text in a body.
func replaceText(body []byte, from, to string) []byte {
	return []byte(strings.ReplaceAll(string(body), from, to))
}

// changeStatus replaces one status by another in all answers.
func changeStatus(from, to int) mutation {
	return func(_ *controller, out *core.Output) {
		for i := range out.Answers {
			if out.Answers[i].Status == from {
				out.Answers[i].Status = to
			}
		}
	}
}

// changeAnswers sets the status of all answers that contain a text, and replaces text in them. It
// applies from 10 s on.
func changeAnswers(text string, status int, from, to string) mutation {
	return func(c *controller, out *core.Output) {
		for i := range out.Answers {
			answer := &out.Answers[i]
			if c.world.now > 10*time.Second && strings.Contains(string(answer.Body), text) {
				answer.Status = status
				answer.Body = replaceText(answer.Body, from, to)
			}
		}
	}
}

// sortedMachinesUp returns the machines that are up, sorted by name.
func sortedMachinesUp(w *World) []*machine {
	var up []*machine
	for _, name := range w.cloud.machineNames() {
		if m := w.cloud.machines[name]; !m.removed && m.upAt < w.now {
			up = append(up, m)
		}
	}
	return up
}

// startOnSecondMachine executes the start commands of direct requests on a second machine too, 20 s
// later.
func startOnSecondMachine(c *controller, out *core.Output) {
	for _, call := range out.Calls {
		if call.Path != commandsPath || !strings.Contains(string(call.Body), `"run"`) {
			continue
		}
		var commands []wire.Command
		for _, text := range strings.Split(string(call.Body), `"shard":"`)[1:] {
			commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: text[:strings.IndexByte(text, '"')], Attempt: 99})
		}
		commanded := c.world.cloud.byAddress[call.Address]
		c.world.after(20*time.Second, func() {
			others := sortedMachinesUp(c.world)
			if i := slices.IndexFunc(others, func(m *machine) bool { return m != commanded }); i >= 0 {
				others[i].execute(commands)
			}
		})
	}
}

// startOnAllMachines sends start commands for a task to all machines that are up, between two
// times.
func startOnAllMachines(task string, from, to time.Duration) mutation {
	return func(c *controller, _ *core.Output) {
		if c.world.now < from || c.world.now > to {
			return
		}
		for _, m := range sortedMachinesUp(c.world) {
			m.execute([]wire.Command{{Verb: wire.VerbStart, Task: task, Attempt: 77}})
		}
	}
}

// restartCancelled starts a task of a cancelled job again.
func restartCancelled(c *controller, _ *core.Output) {
	if c.world.now <= 53*time.Second || c.world.now >= 54*time.Second {
		return
	}
	for _, name := range c.world.cloud.machineNames() {
		if m := c.world.cloud.machines[name]; m.machineType == "big" {
			m.execute([]wire.Command{{Verb: wire.VerbStart, Task: "job-000003/0", Attempt: 77}})
		}
	}
}

// stopNoTasks suppresses the stop commands of tasks and the return of machines, and answers that
// the job is cancelled while its tasks still run. The answer is needed for a violation: until a
// user is told of the cancellation, tasks of the job may run.
func stopNoTasks(_ *controller, out *core.Output) {
	for i := range out.Calls {
		call := &out.Calls[i]
		call.Body = replaceText(call.Body, `"kill"`, `"none"`)
		if call.Path == "/machines/return" {
			call.Path = "/nowhere"
		}
	}
	for i := range out.Answers {
		answer := &out.Answers[i]
		answer.Body = replaceText(answer.Body, `"kill"`, `"none"`)
		if answer.Status == 503 && strings.Contains(string(answer.Body), "being stopped") {
			answer.Status, answer.Body = 200, []byte(`{"nameId":"job-000003","status":"withdrawn"}`)
		}
	}
}

// misplaceRecords stores the record of an accepted job under a key that leaders do not read, so the
// job never starts. Dropped start commands would not cause starvation: their machines count as
// unreachable and are returned, so there is no steady room.
func misplaceRecords(_ *controller, out *core.Output) {
	for i := range out.Calls {
		out.Calls[i].Body = replaceText(out.Calls[i].Body, `"o/job-000004"`, `"x/job-000004"`)
	}
}

// padTransactions adds writes without effect to transactions, beyond the limit on operations.
func padTransactions(_ *controller, out *core.Output) {
	for i := range out.Calls {
		call := &out.Calls[i]
		var txn wire.Txn
		if call.Path != "/commit" || json.Unmarshal(call.Body, &txn) != nil {
			continue
		}
		for len(txn.Writes) < 6 {
			txn.Writes = append(txn.Writes, wire.Write{Delete: fmt.Sprintf("none/%d", len(txn.Writes))})
		}
		call.Body = encode(txn)
	}
}

// fencingToken matches the fencing token of a message to a worker.
var fencingToken = regexp.MustCompile(`"helm":\d+`)

// useOneToken sends all messages to workers under the same fencing token.
func useOneToken(_ *controller, out *core.Output) {
	for i := range out.Calls {
		out.Calls[i].Body = fencingToken.ReplaceAll(out.Calls[i].Body, []byte(`"helm":1`))
	}
	for i := range out.Answers {
		out.Answers[i].Body = fencingToken.ReplaceAll(out.Answers[i].Body, []byte(`"helm":1`))
	}
}
