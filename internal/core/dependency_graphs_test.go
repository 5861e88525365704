package core

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// graph is what jobs await, by job, in the order in which they are submitted.
type graph struct {
	order  []string
	awaits map[string][]string
}

func (g *graph) add(id string, awaits ...string) string {
	if g.awaits == nil {
		g.awaits = map[string][]string{}
	}
	g.order = append(g.order, id)
	g.awaits[id] = awaits
	return id
}

func (g *graph) edges() int {
	n := 0
	for _, a := range g.awaits {
		n += len(a)
	}
	return n
}

// costlyGraphs returns the shapes that cost the most: long, wide either way, and
// layered, where the paths are many more than the jobs.
func costlyGraphs() map[string]*graph {
	chain, needed, needing, layers := &graph{}, &graph{}, &graph{}, &graph{}
	last := chain.add("job-1000")
	root := needed.add("job-1000")
	var all []string
	for n := range 400 {
		id := fmt.Sprintf("job-%d", 1001+n)
		last = chain.add(id, last)
		needed.add(id, root)
		all = append(all, needing.add(id))
	}
	needing.add("job-9999", all...)
	before := []string{layers.add("job-1000")}
	for n := range 100 {
		var layer []string
		for k := range 3 {
			layer = append(layer, layers.add(fmt.Sprintf("job-%d", 1001+3*n+k), before...))
		}
		before = layer
	}
	layers.add("job-9999", before...)
	return map[string]*graph{"a chain": chain, "one that all need": needed, "one that needs all": needing, "layers": layers}
}

// recordGraph has a leader learn of a graph's jobs, with estimates that differ.
func recordGraph(b *harness, l *leader, g *graph) {
	for n, id := range g.order {
		addRecord(b, l, wire.Job{ID: id, Dependencies: g.awaits[id]}, func(r *records.Open) { r.Job.EstimatedRunS = float64(1 + n%3) })
	}
}

// TestClaimsCost submits a deadline and a priority behind large graphs, and takes
// them away again. What it costs goes by the jobs and what they await, not by the
// paths: of these, layers have more than can ever be followed.
func TestClaimsCost(t *testing.T) {
	due := 1e6
	for name, g := range costlyGraphs() {
		t.Run(name, func(t *testing.T) {
			b, l := newLeadingHarness(t, func(*config.Settings) {})
			recordGraph(b, l, g)
			before := l.dependencies.Steps()
			if most := 20 * (len(g.order) + g.edges()); before > most {
				t.Errorf("%d steps for %d jobs that await %d, want at most %d", before, len(g.order), g.edges(), most)
			}
			tail := g.order[len(g.order)-1]
			addRecord(b, l, wire.Job{ID: "job-10000", Dependencies: []string{tail}}, func(r *records.Open) {
				r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
			})
			want := wantInherited(b, l, g, tail, due)
			for _, id := range g.order {
				j := l.Jobs[id]
				w, claimed := want[id]
				if claimed != (j.Level == cluster.PriorityLevel[wire.PriorityUrgent]) || claimed && math.Abs(j.Deadline-w) > 1e-3 {
					t.Fatalf("%s: rank %d, due %f, want %v %f", id, j.Level, j.Deadline, claimed, w)
				}
			}
			if steps, most := l.dependencies.Steps()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("the claim took %d steps, want at most %d", steps, most)
			}
			before = l.dependencies.Steps()
			addRecord(b, l, wire.Job{ID: "job-10000", Dependencies: []string{tail}}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, b.core.wallClockMS })
			for _, id := range g.order {
				if j := l.Jobs[id]; j.Level != 0 || !math.IsInf(j.Deadline, 1) {
					t.Fatalf("%s without the claim: rank %d, due %f", id, j.Level, j.Deadline)
				}
			}
			if steps, most := l.dependencies.Steps()-before, 5*(len(g.order)+g.edges()); steps > most {
				t.Errorf("to take it back took %d steps, want at most %d", steps, most)
			}
		})
	}
}

// wantInherited works out by when the jobs before a job have to be done.
func wantInherited(b *harness, l *leader, g *graph, tail string, due float64) map[string]float64 {
	want := map[string]float64{tail: float64(b.core.wallClockMS)/1000 + due - 20}
	for n := len(g.order) - 1; n >= 0; n-- {
		id := g.order[n]
		if w, ok := want[id]; ok {
			for _, a := range g.awaits[id] {
				if have, ok := want[a]; !ok || w-l.Jobs[id].EstimatedRunS < have {
					want[a] = w - l.Jobs[id].EstimatedRunS
				}
			}
		}
	}
	return want
}

// TestCancelCost cancels the root of large graphs, also under a leader that finds
// the request on record. Every job that needs it is over before the root is, in as
// few transactions as the ends fill: a chain that took one for each job would
// take longer than cancel_s where the state service answers slowly.
func TestCancelCost(t *testing.T) {
	for name, g := range costlyGraphs() {
		for _, next := range []bool{false, true} {
			for _, ops := range []int{16, 5, 2} {
				t.Run(fmt.Sprintf("%s/%d changes/next leader %v", name, ops, next), func(t *testing.T) {
					b, l := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.Next = &config.StoreLimits{TxnOps: ops} })
					recordGraph(b, l, g)
					root := g.order[0]
					before := l.dependencies.Steps()
					needs := map[string]bool{root: true}
					for _, id := range g.order {
						for _, a := range g.awaits[id] {
							needs[id] = needs[id] || needs[a]
						}
					}
					b.afterCommit = func() {
						if b.store[records.FinalKey(root)].Key == "" {
							return
						}
						for id := range needs {
							if b.store[records.FinalKey(id)].Key == "" {
								t.Fatalf("%s is over before %s", root, id)
							}
						}
					}
					b.commits = nil
					if next {
						l = nextLeader(b, l, root)
						before = 0
					} else {
						addRecord(b, l, wire.Job{ID: root}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, b.core.wallClockMS })
					}
					b.run(5 * time.Second)
					for _, id := range g.order {
						if over := b.store[records.FinalKey(id)].Key != ""; over != needs[id] {
							t.Fatalf("%s is over: %v, want %v", id, over, needs[id])
						}
					}
					ends := 0
					for _, c := range b.commits {
						if strings.Contains(c, `"put":"f/`) {
							ends++
						}
					}
					if most := (len(needs)+ops/2-1)/(ops/2) + 1; ends > most {
						t.Errorf("%d transactions for %d ends, want at most %d", ends, len(needs), most)
					}
					if steps, most := l.dependencies.Steps()-before, 20*(len(g.order)+g.edges()); steps > most {
						t.Errorf("%d steps for %d jobs that await %d, want at most %d", steps, len(g.order), g.edges(), most)
					}
				})
			}
		}
	}
}

// nextLeader has a new leader load the records, of which one tells that its user
// wants it cancelled.
func nextLeader(b *harness, old *leader, cancelled string) *leader {
	old.steppedDown = true
	l := newLeader(b.core, election.Leadership{Term: 5, TermVersion: b.store[election.KeyTerm].Version, Lease: 1})
	b.core.leader = l
	for _, key := range sortedKeys(b.store) {
		id, open := strings.CutPrefix(key, records.PrefixOpen)
		if !open {
			continue
		}
		var rec records.Open
		stdjson.Unmarshal(b.store[key].Value, &rec)
		if id == cancelled {
			rec.Cancelled, rec.CancelRequestedAt = true, b.core.wallClockMS
			b.write(key, "", kv.Encode(rec))
		}
		l.applyOpenRecord(id, b.store[key].Version, rec)
	}
	l.takeUpWork()
	return l
}

// TestEndsCost has the jobs that one needs end one by one, and the one that many
// need: each end costs what hangs on it.
func TestEndsCost(t *testing.T) {
	for name, g := range costlyGraphs() {
		t.Run(name, func(t *testing.T) {
			b, l := newLeadingHarness(t, func(*config.Settings) {})
			recordGraph(b, l, g)
			before := l.dependencies.Steps()
			for _, id := range g.order {
				if j := l.Jobs[id]; j.Waiting && !j.DependenciesDone {
					t.Fatalf("%s still waits though all before it are done", id)
				}
				j := l.Jobs[id]
				j.Waiting, j.DependenciesDone = false, false // as when its record says that it goes on
				l.dependencies.Drop(id)
				delete(l.Jobs, id)
				l.dependencyEnded(id, wire.StatusDone)
			}
			if steps, most := l.dependencies.Steps()-before, 3*(len(g.order)+g.edges()); steps > most {
				t.Errorf("%d steps, want at most %d", steps, most)
			}
			if !l.dependencies.Empty() {
				t.Error("entries are left behind")
			}
		})
	}
}

// TestEndsAgain cancels a chain while the state service turns transactions away,
// or carries them out without an answer: every job is over in the end, and none
// before its dependents.
func TestEndsAgain(t *testing.T) {
	for name, answer := range map[string]func(carryOut func() int) int{
		"429":                  func(func() int) int { return 429 },
		"503":                  func(func() int) int { return 503 },
		"no answer":            func(func() int) int { return 0 },
		"done without answer":  func(carryOut func() int) int { carryOut(); return 0 },
		"done, then a failure": func(carryOut func() int) int { carryOut(); return 503 },
	} {
		t.Run(name, func(t *testing.T) {
			b, l := newLeadingHarness(t, func(*config.Settings) {})
			g := &graph{}
			last := g.add("job-1000")
			for n := range 40 {
				last = g.add(fmt.Sprintf("job-%d", 1001+n), last)
			}
			recordGraph(b, l, g)
			sent := 0
			b.intercept = func(_ *wire.Txn, carryOut func() int) int {
				if sent++; sent%3 != 0 {
					return answer(carryOut)
				}
				return carryOut()
			}
			b.afterCommit = func() {
				for id, awaits := range g.awaits {
					for _, a := range awaits {
						if b.store[records.FinalKey(a)].Key != "" && b.store[records.FinalKey(id)].Key == "" {
							t.Fatalf("%s is over before %s", a, id)
						}
					}
				}
			}
			addRecord(b, l, wire.Job{ID: "job-1000"}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, b.core.wallClockMS })
			b.run(30 * time.Second)
			for _, id := range g.order {
				if b.store[records.FinalKey(id)].Key == "" {
					t.Fatalf("%s is not over", id)
				}
			}
		})
	}
}

// twoControllers are two of them at one state service: the first leads and the other
// only serves users.
func twoControllers(t *testing.T) (b *harness, l *leader, other *harness) {
	b, l = newLeadingHarness(t, func(*config.Settings) {})
	other = newHarness(t, testMachineTypes)
	other.core.settings.Name = "n1"
	other.store, other.revision = b.store, b.revision
	return b, l, other
}

// syncRevision lets one controller see what another has written.
func syncRevision(to, from *harness) { to.revision = max(to.revision, from.revision) }

// TestAcceptanceRaces has an awaited job end, or its user call it off, after
// another controller has read it and before that one's acceptance is carried out.
// Of the two, one sees the other; the repeat is answered as the first.
func TestAcceptanceRaces(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(b *harness)
		status wire.JobState // of the answer
		awaits string        // as recorded; "-" for no open record
	}{
		{"done", func(b *harness) {
			b.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"done","n":1}`))
		}, "pending", ""},
		{"cancelled and over", func(b *harness) {
			b.write(records.FinalKey(jobID(1)), records.OpenKey(jobID(1)), []byte(`{"s":"withdrawn","n":1}`))
		}, "withdrawn", "-"},
		{"called off", func(b *harness) {
			var rec records.Open
			stdjson.Unmarshal(b.store[records.OpenKey(jobID(1))].Value, &rec)
			rec.Cancelled, rec.CancelRequestedAt = true, 1
			b.write(records.OpenKey(jobID(1)), "", kv.Encode(rec))
		}, "withdrawn", "-"},
		{"written for another reason", func(b *harness) {
			b.write(records.OpenKey(jobID(1)), "", b.store[records.OpenKey(jobID(1))].Value)
		}, "pending", jobID(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, _, other := twoControllers(t)
			if a := b.request("POST", "/submissions", body("nameId", `"`+jobID(1)+`"`)); a.Status != 201 {
				t.Fatalf("%d %s", a.Status, a.Body)
			}
			syncRevision(other, b)
			happened := false
			other.intercept = func(txn *wire.Txn, carryOut func() int) int {
				if !happened && len(txn.Writes) > 0 {
					happened = true
					tc.happen(other)
				}
				return carryOut()
			}
			for _, status := range []int{201, 200} {
				a := other.request("POST", "/submissions", submissionAwaiting(2, `["`+jobID(1)+`"]`))
				if a.Status != status || !strings.Contains(string(a.Body), `"status":"`+string(tc.status)+`"`) {
					t.Fatalf("answered %d %s, want %d %s", a.Status, a.Body, status, tc.status)
				}
			}
			if !happened {
				t.Fatal("nothing was written")
			}
			syncRevision(b, other)
			if a := b.request("POST", "/submissions", submissionAwaiting(2, `["`+jobID(1)+`"]`)); a.Status != 200 || !strings.Contains(string(a.Body), string(tc.status)) {
				t.Errorf("the repeat elsewhere is answered %d %s", a.Status, a.Body)
			}
			it, open := b.store[records.OpenKey(jobID(2))]
			var rec records.Open
			stdjson.Unmarshal(it.Value, &rec)
			if got := strings.Join(rec.Job.Dependencies, ","); open != (tc.awaits != "-") || open && got != tc.awaits {
				t.Errorf("open %v, awaits %q", open, got)
			}
		})
	}
}

// TestEndRacesAcceptance has a leader about to record a job's end, or that its
// user called it off, while another controller accepts a dependent. The one that
// comes second fails and looks again.
func TestEndRacesAcceptance(t *testing.T) {
	for name, cancelled := range map[string]bool{"done": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			b, l, other := twoControllers(t)
			addRecord(b, l, wire.Job{ID: jobID(1)}, nil)
			syncRevision(other, b)
			accepted := false
			b.intercept = func(txn *wire.Txn, carryOut func() int) int {
				if !accepted && len(txn.Writes) > 0 {
					accepted = true
					syncRevision(other, b)
					if a := other.request("POST", "/submissions", submissionAwaiting(2, `["`+jobID(1)+`"]`)); a.Status != 201 {
						t.Fatalf("%d %s", a.Status, a.Body)
					}
					syncRevision(b, other)
				}
				return carryOut()
			}
			if cancelled {
				b.step(Request{ID: 999, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			} else {
				l.markDone(l.Jobs[jobID(1)], 0)
			}
			b.run(time.Second)
			if it := b.store[records.OpenKey(jobID(2))]; it.Key != "" { // as the watch tells
				var rec records.Open
				stdjson.Unmarshal(it.Value, &rec)
				l.applyOpenRecord(jobID(2), it.Version, rec)
			}
			b.run(3 * time.Second)
			f := string(b.store[records.FinalKey(jobID(1))].Value)
			switch j := l.Jobs[jobID(2)]; {
			case !accepted || f == "":
				t.Errorf("accepted %v, the first is over: %q", accepted, f)
			case cancelled && b.store[records.FinalKey(jobID(2))].Key == "":
				t.Error("the dependent is not over")
			case !cancelled && (j == nil || j.Waiting):
				t.Error("the dependent does not go on")
			}
		})
	}
}

// runInStep runs a function as an input of the core, so that what it asks for is sent.
func runInStep(b *harness, f func()) {
	b.core.nextCall++
	b.core.pendingCalls[b.core.nextCall] = func(Result) { f() }
	b.step(Result{ID: b.core.nextCall})
}

// TestAwaitsLongOver names jobs that were over long ago: of these only the final
// record is left, and no controller remembers it.
func TestAwaitsLongOver(t *testing.T) {
	b, l := newLeadingHarness(t, func(*config.Settings) {})
	b.write(records.FinalKey(jobID(1)), "", []byte(`{"s":"done","n":1}`))
	b.write(records.FinalKey(jobID(2)), "", []byte(`{"s":"withdrawn","n":1}`))
	// A record that names them was written before they were over, and the leader
	// that saw them end is not there any more.
	runInStep(b, func() {
		addRecord(b, l, wire.Job{ID: jobID(3), Dependencies: []string{jobID(1)}}, nil)
		addRecord(b, l, wire.Job{ID: jobID(4), Dependencies: []string{jobID(1), jobID(2)}}, nil)
		addRecord(b, l, wire.Job{ID: jobID(5), Dependencies: []string{jobID(4), jobID(3)}}, nil)
	})
	b.run(3 * time.Second)
	if l.Jobs[jobID(3)].Waiting {
		t.Error("a job whose awaited one is done waits")
	}
	for _, n := range []int{4, 5} {
		if !strings.Contains(string(b.store[records.FinalKey(jobID(n))].Value), "withdrawn") {
			t.Errorf("%s is not cancelled with the job it needs", jobID(n))
		}
	}
}
