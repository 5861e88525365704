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

// graph is the jobs of a test and their dependencies.
type graph struct {
	order        []string // of submission
	dependencies map[string][]string
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

// edges counts the dependencies of all jobs.
func (g *graph) edges() int {
	n := 0
	for _, dependencies := range g.dependencies {
		n += len(dependencies)
	}
	return n
}

// costlyGraphs returns the shapes that cost the most: long, wide either way, and
// layered, where the paths are many more than the jobs.
func costlyGraphs() map[string]*graph {
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
	return map[string]*graph{"a chain": chain, "one that all need": manyDependents, "one that needs all": manyDependencies, "layers": layers}
}

// recordGraph makes the jobs of a graph known to a leader, with estimates that differ.
func recordGraph(harness *harness, leader *leader, g *graph) {
	for n, id := range g.order {
		addRecord(harness, leader, wire.Job{ID: id, Dependencies: g.dependencies[id]}, func(r *records.Open) { r.Job.EstimatedRunS = float64(1 + n%3) })
	}
}

// TestInheritanceCost submits a job with a deadline and a priority behind large graphs, and cancels it.
// The cost of inheritance grows with the jobs and their dependencies, not with the paths: of
// these, layers have more than can ever be followed.
func TestInheritanceCost(t *testing.T) {
	due := 1e6
	for name, g := range costlyGraphs() {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			recordGraph(harness, leader, g)
			before := leader.dependencies.EdgesVisited()
			if most := 20 * (len(g.order) + g.edges()); before > most {
				t.Errorf("%d steps for %d jobs with %d dependencies, want at most %d", before, len(g.order), g.edges(), most)
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
					t.Fatalf("%s: level %d, deadline %f, want %v %f", id, job.Level, job.Deadline, inherits, deadline)
				}
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("inheritance took %d steps, want at most %d", steps, most)
			}
			before = leader.dependencies.EdgesVisited()
			addRecord(harness, leader, wire.Job{ID: "job-10000", Dependencies: []string{tail}}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
			for _, id := range g.order {
				if job := leader.Jobs[id]; job.Level != 0 || !math.IsInf(job.Deadline, 1) {
					t.Fatalf("%s without the dependent: level %d, deadline %f", id, job.Level, job.Deadline)
				}
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 5*(len(g.order)+g.edges()); steps > most {
				t.Errorf("to take it back took %d steps, want at most %d", steps, most)
			}
		})
	}
}

// wantInherited works out the deadlines that the dependencies of a job inherit.
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

// TestCancelCost cancels the root of large graphs, also under a leader that finds the request on
// record. Every dependent has ended before the root has, in as few transactions as the ends
// fill: a chain with a transaction for each job would take longer than cancel_s where the store
// answers slowly.
func TestCancelCost(t *testing.T) {
	for name, g := range costlyGraphs() {
		for leader, cancel := range map[string]func(*harness, *leader, string) *leader{
			"present leader": cancelUnderLeader,
			"next leader":    nextLeader,
		} {
			for _, maxWrites := range []int{16, 5, 2} {
				t.Run(fmt.Sprintf("%s/%d writes/%s", name, maxWrites, leader), func(t *testing.T) {
					testCancelCost(t, g, maxWrites, cancel)
				})
			}
		}
	}
}

// cancelUnderLeader makes a cancellation known to a leader.
func cancelUnderLeader(harness *harness, leader *leader, job string) *leader {
	addRecord(harness, leader, wire.Job{ID: job}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
	return leader
}

// testCancelCost cancels the root of a graph; cancel returns the leader that has to deal with it.
func testCancelCost(t *testing.T, g *graph, maxWrites int, cancel func(harness *harness, current *leader, job string) *leader) {
	t.Helper()
	harness, current := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.Next = &config.StoreLimits{TxnOps: maxWrites} })
	recordGraph(harness, current, g)
	root := g.order[0]
	cancelled := g.withDependents(root)
	harness.afterCommit = func() {
		if !harness.hasEnded(root) {
			return
		}
		for id := range cancelled {
			if !harness.hasEnded(id) {
				t.Fatalf("%s has ended before %s", root, id)
			}
		}
	}
	harness.commits = nil
	stepsBefore := map[*leader]int{current: current.dependencies.EdgesVisited()} // a new leader begins with none
	current = cancel(harness, current, root)
	harness.run(5 * time.Second)
	for _, id := range g.order {
		if harness.hasEnded(id) != cancelled[id] {
			t.Fatalf("%s has ended: %v, want %v", id, harness.hasEnded(id), cancelled[id])
		}
	}
	if ends, most := endTransactions(harness), (len(cancelled)+maxWrites/2-1)/(maxWrites/2)+1; ends > most {
		t.Errorf("%d transactions for %d ends, want at most %d", ends, len(cancelled), most)
	}
	if steps, most := current.dependencies.EdgesVisited()-stepsBefore[current], 20*(len(g.order)+g.edges()); steps > most {
		t.Errorf("%d steps for %d jobs with %d dependencies, want at most %d", steps, len(g.order), g.edges(), most)
	}
}

// withDependents returns a job and all that depend on it.
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

// endTransactions counts the transactions that were sent with a job's end.
func endTransactions(harness *harness) int {
	count := 0
	for _, commit := range harness.commits {
		if strings.Contains(commit, `"put":"f/`) {
			count++
		}
	}
	return count
}

// nextLeader makes a new leader load the records. The job that is named, if any, is cancelled
// before.
func nextLeader(harness *harness, old *leader, cancelled string) *leader {
	old.steppedDown = true
	leader := newLeader(harness.core, election.Leadership{Term: 5, TermVersion: harness.store[election.KeyTerm].Version, Lease: 1})
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

// TestEndsCost ends the dependencies of large graphs one by one: each end costs as much as it has
// dependents.
func TestEndsCost(t *testing.T) {
	for name, g := range costlyGraphs() {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			recordGraph(harness, leader, g)
			before := leader.dependencies.EdgesVisited()
			for _, id := range g.order {
				if j := leader.Jobs[id]; j.AwaitingDependencies && !j.DependenciesDone {
					t.Fatalf("%s still waits though its dependencies are done", id)
				}
				j := leader.Jobs[id]
				j.AwaitingDependencies, j.DependenciesDone = false, false // as when its record says that it is ready
				leader.dependencies.DropDependencies(id)
				delete(leader.Jobs, id)
				leader.dependencyEnded(id, wire.StatusDone)
			}
			if steps, most := leader.dependencies.EdgesVisited()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("%d steps, want at most %d", steps, most)
			}
			if !leader.dependencies.Empty() {
				t.Error("the graph is not empty")
			}
		})
	}
}

// TestEndsAreRetried cancels a chain while the store refuses transactions, or carries them out without
// an answer: every job ends, and none before its dependents.
func TestEndsAreRetried(t *testing.T) {
	for name, answer := range map[string]func(carryOut func() int) int{
		"429":                  func(func() int) int { return 429 },
		"503":                  func(func() int) int { return 503 },
		"no answer":            func(func() int) int { return 0 },
		"done without answer":  func(carryOut func() int) int { carryOut(); return 0 },
		"done, then a failure": func(carryOut func() int) int { carryOut(); return 503 },
	} {
		t.Run(name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(*config.Settings) {})
			g := &graph{}
			last := g.add("job-1000")
			for n := range 40 {
				last = g.add(fmt.Sprintf("job-%d", 1001+n), last)
			}
			recordGraph(harness, leader, g)
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
							t.Fatalf("%s has ended before %s", dependency, id)
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

// twoControllers are two controllers at one store: the first leads and the other only serves
// users.
func twoControllers(t *testing.T) (harness *harness, leader *leader, other *harness) {
	t.Helper()
	harness, leader = newLeadingHarness(t, func(*config.Settings) {})
	other = newHarness(t, testMachineTypes)
	other.core.settings.Name = "n1"
	other.store, other.revision = harness.store, harness.revision
	return harness, leader, other
}

// syncRevision lets one controller see what another has written.
func syncRevision(to, from *harness) { to.revision = max(to.revision, from.revision) }

// TestAcceptanceRaces ends or cancels a dependency after another controller has read it and before
// that one's acceptance is carried out. Of the two, one sees the other; the repeated submission
// is answered as the first.
func TestAcceptanceRaces(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(harness *harness)
		status wire.JobState // of the answer
		// dependencies are those on record; "-" for no open record.
		dependencies string
	}{
		{"done", func(harness *harness) {
			harness.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"done","n":1}`))
		}, "pending", ""},
		{"cancelled and ended", func(harness *harness) {
			harness.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"withdrawn","n":1}`))
		}, "withdrawn", "-"},
		{"being cancelled", func(harness *harness) { harness.requestCancellation(jobID(1), 1) }, "withdrawn", "-"},
		{"written for another reason", func(harness *harness) {
			harness.write(records.OpenKey(jobID(1)), "", harness.store[records.OpenKey(jobID(1))].Value)
		}, "pending", jobID(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, _, other := twoControllers(t)
			if a := harness.request("POST", "/submissions", body("nameId", `"`+jobID(1)+`"`)); a.Status != 201 {
				t.Fatalf("%d %s", a.Status, a.Body)
			}
			syncRevision(other, harness)
			happened := false
			other.intercept = func(txn *wire.Txn, carryOut func() int) int {
				if !happened && len(txn.Writes) > 0 {
					happened = true
					tc.happen(other)
				}
				return carryOut()
			}
			for _, status := range []int{201, 200} {
				a := other.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`))
				if a.Status != status || !strings.Contains(string(a.Body), `"status":"`+string(tc.status)+`"`) {
					t.Fatalf("answered %d %s, want %d %s", a.Status, a.Body, status, tc.status)
				}
			}
			if !happened {
				t.Fatal("nothing was written")
			}
			syncRevision(harness, other)
			if a := harness.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`)); a.Status != 200 || !strings.Contains(string(a.Body), string(tc.status)) {
				t.Errorf("the repeat elsewhere is answered %d %s", a.Status, a.Body)
			}
			_, open := harness.store[records.OpenKey(jobID(2))]
			got := strings.Join(harness.openRecord(jobID(2)).Job.Dependencies, ",")
			if open != (tc.dependencies != "-") || open && got != tc.dependencies {
				t.Errorf("open %v, dependencies %q", open, got)
			}
		})
	}
}

// TestEndRacesAcceptance lets another controller accept a dependent while a leader is about to
// record a job's end or cancellation. The second one conflicts and reads again.
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
						t.Fatalf("%d %s", a.Status, a.Body)
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
			if item := harness.store[records.OpenKey(jobID(2))]; item.Key != "" { // by the watch
				leader.applyOpenRecord(jobID(2), item.Version, harness.openRecord(jobID(2)))
			}
			harness.run(3 * time.Second)
			switch dependent := leader.Jobs[jobID(2)]; {
			case !accepted || !harness.hasEnded(jobID(1)):
				t.Errorf("accepted %v, the first has ended: %v", accepted, harness.hasEnded(jobID(1)))
			case cancelled && !harness.hasEnded(jobID(2)):
				t.Error("the dependent has not ended")
			case !cancelled && (dependent == nil || dependent.AwaitingDependencies):
				t.Error("the dependent does not become ready")
			}
		})
	}
}

// runInStep runs a function as an input of the core, so that its calls are sent.
func runInStep(harness *harness, f func()) {
	harness.core.nextCall++
	harness.core.pendingCalls[harness.core.nextCall] = func(Result) { f() }
	harness.step(Result{ID: harness.core.nextCall})
}

// TestDependenciesEndedLongAgo has dependencies that ended long ago: of these only the final record is left,
// and no controller remembers it.
func TestDependenciesEndedLongAgo(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	harness.write(records.FinalKey(jobID(1)), "", []byte(`{"s":"done","n":1}`))
	harness.write(records.FinalKey(jobID(2)), "", []byte(`{"s":"withdrawn","n":1}`))
	// A record that names them was written before they ended, and the leader that recorded their
	// ends has stepped down.
	runInStep(harness, func() {
		addRecord(harness, leader, wire.Job{ID: jobID(3), Dependencies: []string{jobID(1)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(4), Dependencies: []string{jobID(1), jobID(2)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(5), Dependencies: []string{jobID(4), jobID(3)}}, nil)
	})
	harness.run(3 * time.Second)
	if leader.Jobs[jobID(3)].AwaitingDependencies {
		t.Error("a job whose dependency is done waits")
	}
	for _, n := range []int{4, 5} {
		if !strings.Contains(string(harness.store[records.FinalKey(jobID(n))].Value), "withdrawn") {
			t.Errorf("%s is not cancelled with its dependency", jobID(n))
		}
	}
}
