package core

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// graph is a dependency graph of a test's jobs.
type graph struct {
	order        []string            // job IDs, in submission order
	dependencies map[string][]string // by job ID
}

// add adds a job and returns its ID.
func (g *graph) add(id string, dependencies ...string) string {
	if g.dependencies == nil {
		g.dependencies = map[string][]string{}
	}
	g.order = append(g.order, id)
	g.dependencies[id] = dependencies
	return id
}

// edges returns the total number of dependencies.
func (g *graph) edges() int {
	n := 0
	for _, dependencies := range g.dependencies {
		n += len(dependencies)
	}
	return n
}

// worstCaseGraphs returns the graphs that are the most expensive to process: a long chain, a job
// with many dependents, a job with many dependencies, and layers, which have many more paths than
// jobs.
func worstCaseGraphs() map[string]*graph {
	chain, manyDependents, manyDependencies, layers := &graph{}, &graph{}, &graph{}, &graph{}
	last := chain.add("job-1000")
	root := manyDependents.add("job-1000")
	var all []string
	for n := range 400 {
		id := fmt.Sprintf("job-%d", 1001+n)
		last = chain.add(id, last)
		manyDependents.add(id, root)
		all = append(all, manyDependencies.add(id))
	}
	manyDependencies.add("job-9999", all...)
	before := []string{layers.add("job-1000")}
	for n := range 100 {
		var layer []string
		for k := range 3 {
			layer = append(layer, layers.add(fmt.Sprintf("job-%d", 1001+3*n+k), before...))
		}
		before = layer
	}
	layers.add("job-9999", before...)
	return map[string]*graph{"a chain": chain, "many dependents": manyDependents, "many dependencies": manyDependencies, "layers": layers}
}

// addGraph adds the jobs of a graph to a leader, with different estimated run times.
func addGraph(harness *harness, leader *leader, g *graph) {
	for n, id := range g.order {
		addRecord(harness, leader, wire.Job{ID: id, Dependencies: g.dependencies[id]}, func(r *records.Open) { r.Job.EstimatedRunS = float64(1 + n%3) })
	}
}

// TestInheritanceCost submits a job with a deadline and a priority that depends on the last job of
// a large graph, and cancels it. The cost of inheritance must be proportional to the number of jobs
// and dependencies, not to the number of paths: the layered graph has too many paths to follow.
func TestInheritanceCost(t *testing.T) {
	due := 1e6
	for name, g := range worstCaseGraphs() {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addGraph(harness, leader, g)
			before := leader.dependencies.EdgesVisited()
			if most := 20 * (len(g.order) + g.edges()); before > most {
				t.Errorf("visited %d edges to add %d jobs with %d dependencies, want at most %d", before, len(g.order), g.edges(), most)
			}
			tail := g.order[len(g.order)-1]
			addRecord(harness, leader, wire.Job{ID: "job-10000", Dependencies: []string{tail}}, func(r *records.Open) {
				r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
			})
			want := wantInherited(harness, leader, g, tail, due)
			for _, id := range g.order {
				job := leader.Jobs[id]
				deadline, inherits := want[id]
				if inherits != (job.Level == cluster.PriorityLevel[wire.PriorityUrgent]) || inherits && math.Abs(job.Deadline-deadline) > 1e-3 {
					t.Fatalf("%s: got level %d, deadline %f, want inherited %v, deadline %f", id, job.Level, job.Deadline, inherits, deadline)
				}
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("inheritance: visited %d edges, want at most %d", steps, most)
			}
			before = leader.dependencies.EdgesVisited()
			addRecord(harness, leader, wire.Job{ID: "job-10000", Dependencies: []string{tail}}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
			for _, id := range g.order {
				if job := leader.Jobs[id]; job.Level != 0 || !math.IsInf(job.Deadline, 1) {
					t.Fatalf("%s without the dependent: got level %d, deadline %f, want level 0, no deadline", id, job.Level, job.Deadline)
				}
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 5*(len(g.order)+g.edges()); steps > most {
				t.Errorf("removal of what was inherited: visited %d edges, want at most %d", steps, most)
			}
		})
	}
}

// wantInherited computes the deadlines that the direct and indirect dependencies of the added job
// inherit, by job ID.
func wantInherited(harness *harness, leader *leader, g *graph, tail string, due float64) map[string]float64 {
	want := map[string]float64{tail: float64(harness.core.wallClockMS)/1000 + due - 20}
	for n := len(g.order) - 1; n >= 0; n-- {
		id := g.order[n]
		deadline, ok := want[id]
		if !ok {
			continue
		}
		start := deadline - leader.Jobs[id].EstimatedRunS
		for _, dependency := range g.dependencies[id] {
			if earliest, ok := want[dependency]; !ok || start < earliest {
				want[dependency] = start
			}
		}
	}
	return want
}

// TestCancelCost cancels the root of large graphs, under the current leader or a new leader that
// reads the cancellation from the record. Every dependent must end before the root does, with no
// more transactions than needed for the ends: with one transaction per job, a chain would take
// longer than cancel_s if the store responds slowly.
func TestCancelCost(t *testing.T) {
	for name, g := range worstCaseGraphs() {
		for leader, cancel := range map[string]func(*harness, *leader, string) *leader{
			"current leader": cancelUnderLeader,
			"next leader":    startNextLeader,
		} {
			for _, maxWrites := range []int{16, 5, 2} {
				t.Run(fmt.Sprintf("%s/%d writes/%s", name, maxWrites, leader), func(t *testing.T) {
					checkCancelCost(t, g, maxWrites, cancel)
				})
			}
		}
	}
}

// cancelUnderLeader cancels a job under the current leader.
func cancelUnderLeader(harness *harness, leader *leader, job string) *leader {
	addRecord(harness, leader, wire.Job{ID: job}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
	return leader
}

// checkCancelCost cancels the root of a graph with cancel, which returns the leader that processes
// the cancellation.
func checkCancelCost(t *testing.T, g *graph, maxWrites int, cancel func(harness *harness, current *leader, job string) *leader) {
	t.Helper()
	harness, current := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.Next = &config.StoreLimits{TxnOps: maxWrites} })
	addGraph(harness, current, g)
	root := g.order[0]
	cancelled := g.withDependents(root)
	harness.afterCommit = func() {
		if !harness.hasEnded(root) {
			return
		}
		for id := range cancelled {
			if !harness.hasEnded(id) {
				t.Fatalf("root %s has ended before its dependent %s", root, id)
			}
		}
	}
	harness.commits = nil
	stepsBefore := map[*leader]int{current: current.dependencies.EdgesVisited()} // zero for a new leader
	current = cancel(harness, current, root)
	harness.run(5 * time.Second)
	for _, id := range g.order {
		if harness.hasEnded(id) != cancelled[id] {
			t.Fatalf("end of %s recorded: got %v, want %v", id, harness.hasEnded(id), cancelled[id])
		}
	}
	if ends, most := countEndTransactions(harness), (len(cancelled)+maxWrites/2-1)/(maxWrites/2)+1; ends > most {
		t.Errorf("got %d transactions for %d ends, want at most %d", ends, len(cancelled), most)
	}
	if steps, most := current.dependencies.EdgesVisited()-stepsBefore[current], 20*(len(g.order)+g.edges()); steps > most {
		t.Errorf("visited %d edges to cancel a graph of %d jobs with %d dependencies, want at most %d", steps, len(g.order), g.edges(), most)
	}
}

// withDependents returns a job and all its direct and indirect dependents.
func (g *graph) withDependents(job string) map[string]bool {
	found := map[string]bool{job: true}
	for _, id := range g.order {
		for _, dependency := range g.dependencies[id] {
			if found[dependency] {
				found[id] = true
			}
		}
	}
	return found
}

// countEndTransactions returns the number of transactions sent that contain the end of a job.
func countEndTransactions(harness *harness) int {
	count := 0
	for _, commit := range harness.commits {
		if strings.Contains(commit, `"put":"f/`) {
			count++
		}
	}
	return count
}

// startNextLeader replaces a leader by a new one that applies all open records. If cancelled is not
// empty, that job's cancellation is recorded first.
func startNextLeader(harness *harness, old *leader, cancelled string) *leader {
	old.steppedDown = true
	leader := newLeader(harness.core, election.Leadership{FirstToken: 5, Term: 5 + testTokensPerTerm, TermVersion: harness.store[election.KeyTerm].Version, Lease: 1})
	harness.core.leader = leader
	for _, key := range sortedKeys(harness.store) {
		id, open := strings.CutPrefix(key, records.PrefixOpen)
		if !open {
			continue
		}
		if id == cancelled {
			harness.requestCancellation(id, harness.core.wallClockMS)
		}
		leader.applyOpenRecord(id, harness.store[key].Version, harness.openRecord(id))
	}
	leader.startDeciding()
	return leader
}

// TestDependencyEndCost ends the jobs of large graphs one by one. The cost of each end must be
// proportional to the job's number of dependents.
func TestDependencyEndCost(t *testing.T) {
	for name, g := range worstCaseGraphs() {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			addGraph(harness, leader, g)
			before := leader.dependencies.EdgesVisited()
			for _, id := range g.order {
				if j := leader.Jobs[id]; j.AwaitingDependencies && !j.DependenciesDone {
					t.Fatalf("%s waits although all its dependencies are done", id)
				}
				j := leader.Jobs[id]
				j.AwaitingDependencies, j.DependenciesDone = false, false // as if its open record had a ReadyAt
				leader.dependencies.DropDependencies(id)
				delete(leader.Jobs, id)
				leader.dependencyEnded(id, wire.StatusDone)
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("visited %d edges, want at most %d", steps, most)
			}
			if !leader.dependencies.Empty() {
				t.Error("dependency graph is not empty after all jobs have ended")
			}
		})
	}
}

// TestEndRecordingIsRetried cancels a chain while the store refuses most transactions, or commits
// them but the response is lost or reports a failure. Every job must end, and none before its
// dependents.
func TestEndRecordingIsRetried(t *testing.T) {
	for name, answer := range map[string]func(carryOut func() int) int{
		"429":                    func(func() int) int { return 429 },
		"503":                    func(func() int) int { return 503 },
		"no response":            func(func() int) int { return 0 },
		"committed, no response": func(carryOut func() int) int { carryOut(); return 0 },
		"committed, then 503":    func(carryOut func() int) int { carryOut(); return 503 },
	} {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			g := &graph{}
			last := g.add("job-1000")
			for n := range 40 {
				last = g.add(fmt.Sprintf("job-%d", 1001+n), last)
			}
			addGraph(harness, leader, g)
			sent := 0
			harness.intercept = func(_ *wire.Txn, carryOut func() int) int {
				if sent++; sent%3 != 0 {
					return answer(carryOut)
				}
				return carryOut()
			}
			harness.afterCommit = func() {
				for id, dependencies := range g.dependencies {
					for _, dependency := range dependencies {
						if harness.hasEnded(dependency) && !harness.hasEnded(id) {
							t.Fatalf("%s has ended before its dependent %s", dependency, id)
						}
					}
				}
			}
			addRecord(harness, leader, wire.Job{ID: "job-1000"}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
			harness.run(30 * time.Second)
			for _, id := range g.order {
				if !harness.hasEnded(id) {
					t.Fatalf("%s has not ended", id)
				}
			}
		})
	}
}

// twoControllers returns two controllers that share a store: the first is the leader, the other one
// only serves users.
func twoControllers(t *testing.T) (harness *harness, leader *leader, other *harness) {
	t.Helper()
	harness, leader = newLeadingHarness(t, func(*config.Settings) {})
	other = newHarness(t, testMachineTypes)
	other.core.settings.Name = "n1"
	other.store, other.revision = harness.store, harness.revision
	return harness, leader, other
}

// syncRevision advances one harness's store revision to that of another one that shares its store.
func syncRevision(to, from *harness) { to.revision = max(to.revision, from.revision) }

// TestAcceptanceRaces changes a dependency's record between the time when another controller reads
// it and the commit of that controller's acceptance of a dependent. The acceptance must take the
// change into account, and repeated submissions must get the same answer as the first one.
func TestAcceptanceRaces(t *testing.T) {
	for _, tc := range []struct {
		name   string
		race   func(harness *harness)
		status wire.JobState // of the answer
		// dependencies are the recorded ones; "-" if there is no open record.
		dependencies string
	}{
		{"done", func(harness *harness) {
			harness.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"done","n":1}`))
		}, "pending", ""},
		{"cancelled and ended", func(harness *harness) {
			harness.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"withdrawn","n":1}`))
		}, "withdrawn", "-"},
		{"being cancelled", func(harness *harness) { harness.requestCancellation(jobID(1), 1) }, "withdrawn", "-"},
		{"rewritten unchanged", func(harness *harness) {
			harness.write(records.OpenKey(jobID(1)), "", harness.store[records.OpenKey(jobID(1))].Value)
		}, "pending", jobID(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, _, other := twoControllers(t)
			if a := harness.request("POST", "/submissions", submissionBody("nameId", `"`+jobID(1)+`"`)); a.Status != 201 {
				t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
			}
			syncRevision(other, harness)
			raced := false
			other.intercept = func(txn *wire.Txn, carryOut func() int) int {
				if !raced && len(txn.Writes) > 0 {
					raced = true
					tc.race(other)
				}
				return carryOut()
			}
			for _, status := range []int{201, 200} {
				a := other.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`))
				if a.Status != status || !strings.Contains(string(a.Body), `"status":"`+string(tc.status)+`"`) {
					t.Fatalf("submission of the dependent: got %d %s, want %d %s", a.Status, a.Body, status, tc.status)
				}
			}
			if !raced {
				t.Fatal("no transaction with writes was sent")
			}
			syncRevision(harness, other)
			if a := harness.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`)); a.Status != 200 || !strings.Contains(string(a.Body), string(tc.status)) {
				t.Errorf("repeated submission to the leader: got %d %s, want 200 and the same job status", a.Status, a.Body)
			}
			_, open := harness.store[records.OpenKey(jobID(2))]
			got := strings.Join(harness.openRecord(jobID(2)).Job.Dependencies, ",")
			if open != (tc.dependencies != "-") || open && got != tc.dependencies {
				t.Errorf("dependent: got open record %v, recorded dependencies %q, want those of the test case", open, got)
			}
		})
	}
}

// TestEndRacesAcceptance has another controller accept a dependent just before the leader's
// transaction with the job's end or cancellation is committed. That transaction conflicts, and the
// leader reads the record again.
func TestEndRacesAcceptance(t *testing.T) {
	for name, cancelled := range map[string]bool{"done": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			harness, leader, other := twoControllers(t)
			addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
			syncRevision(other, harness)
			accepted := false
			harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
				if !accepted && len(txn.Writes) > 0 {
					accepted = true
					syncRevision(other, harness)
					if a := other.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`)); a.Status != 201 {
						t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
					}
					syncRevision(harness, other)
				}
				return carryOut()
			}
			if cancelled {
				harness.step(Request{ID: 999, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			} else {
				leader.markDone(leader.Jobs[jobID(1)], 0)
			}
			harness.run(time.Second)
			if item := harness.store[records.OpenKey(jobID(2))]; item.Key != "" { // as through the watch
				leader.applyOpenRecord(jobID(2), item.Version, harness.openRecord(jobID(2)))
			}
			harness.run(3 * time.Second)
			switch dependent := leader.Jobs[jobID(2)]; {
			case !accepted || !harness.hasEnded(jobID(1)):
				t.Errorf("dependent accepted: %v, end of the dependency recorded: %v, want both", accepted, harness.hasEnded(jobID(1)))
			case cancelled && !harness.hasEnded(jobID(2)):
				t.Error("the dependent has not ended after the cancellation of its dependency")
			case !cancelled && (dependent == nil || dependent.AwaitingDependencies):
				t.Error("the dependent is not ready after its dependency is done")
			}
		})
	}
}

// runInStep runs a function in a step of the core, so that the calls it requests are made.
func runInStep(harness *harness, f func()) {
	harness.core.lastCallID++
	harness.core.pendingCalls[harness.core.lastCallID] = func(Result) { f() }
	harness.step(Result{ID: harness.core.lastCallID})
}

// TestDependenciesWithOnlyFinalRecords submits dependents of jobs that ended long ago: only their
// final records are left, and no controller has them in its cache.
func TestDependenciesWithOnlyFinalRecords(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	harness.write(records.FinalKey(jobID(1)), "", []byte(`{"s":"done","n":1}`))
	harness.write(records.FinalKey(jobID(2)), "", []byte(`{"s":"withdrawn","n":1}`))
	// The dependents' records were written before the dependencies ended, and the leader that
	// recorded those ends has stepped down.
	runInStep(harness, func() {
		addRecord(harness, leader, wire.Job{ID: jobID(3), Dependencies: []string{jobID(1)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(4), Dependencies: []string{jobID(1), jobID(2)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(5), Dependencies: []string{jobID(4), jobID(3)}}, nil)
	})
	harness.run(3 * time.Second)
	if leader.Jobs[jobID(3)].AwaitingDependencies {
		t.Error("job waits although its dependency is done")
	}
	for _, n := range []int{4, 5} {
		if !strings.Contains(string(harness.store[records.FinalKey(jobID(n))].Value), "withdrawn") {
			t.Errorf("%s is not cancelled although a dependency is", jobID(n))
		}
	}
}
