package core

import (
	"fmt"
	"math"
	"strings"
	"testing"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// leading makes a harness whose core leads and has loaded its records.
func leading(t *testing.T, change func(*config.Settings)) (*harness, *leader) {
	b := newHarness(t, someTypes)
	change(b.c.cfg)
	b.write(election.KeyTerm, "", []byte("5"))
	l := b.lead()
	l.ready = true
	return b, l
}

// record writes a job's open record and has the leader learn of it.
func record(b *harness, l *leader, j wire.Job, change func(*records.Open)) {
	if j.Class == "" {
		j.Class, j.Team, j.Shape, j.Priority, j.CPUs, j.MemGB = "c", "vision", wire.ShapeArray, wire.PriorityIdle, 4, 1
	}
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	rec := records.Open{Job: j, At: b.c.wall}
	if change != nil {
		change(&rec)
	}
	key := records.OpenKey(j.ID)
	b.write(key, "", kv.Encode(rec))
	l.noteOpen(j.ID, b.store[key].Version, rec)
}

// TestClaim raises a job to the highest priority, and the earliest deadline less
// the estimates on the way, of any job that needs it, also where it runs
// already; what its dependents lose, it loses.
func TestClaim(t *testing.T) {
	b, l := leading(t, func(*config.Settings) {})
	due := 900.0
	record(b, l, wire.Job{ID: "job-1"}, nil)
	m := l.machine("n-000001")
	l.bind(l.jobs["job-1"], 0, m)
	record(b, l, wire.Job{ID: "job-2", Awaits: []string{"job-1"}}, func(r *records.Open) { r.Job.EstimateS = 50 })
	record(b, l, wire.Job{ID: "job-3", Awaits: []string{"job-2"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimateS = wire.PriorityUrgent, &due, 20
	})
	end := float64(b.c.wall)/1000 + due
	for id, want := range map[string]float64{"job-1": end - 70, "job-2": end - 20, "job-3": end} {
		if j := l.jobs[id]; j.rank != priorityRank[wire.PriorityUrgent] || math.Abs(j.due-want) > 1e-3 {
			t.Errorf("%s: rank %d, due %.0f s before the end, want %.0f", id, j.rank, end-j.due, end-want)
		}
	}
	if m.usedByRank[priorityRank[wire.PriorityUrgent]].CPUs != 4 || m.usedByRank[0].CPUs != 0 {
		t.Errorf("the machine counts %v by priority", m.usedByRank)
	}
	l.forget(l.jobs["job-3"])
	if j := l.jobs["job-1"]; j.rank != 0 || !math.IsInf(j.due, 1) {
		t.Errorf("without its dependent: rank %d, due %v", j.rank, j.due)
	}
}

// TestWaitingHoldsNothing has a job that awaits another ask for no machine and
// no part of its team's guarantee, until its record says that it may go on.
func TestWaitingHoldsNothing(t *testing.T) {
	b, l := leading(t, func(*config.Settings) {})
	record(b, l, wire.Job{ID: "job-1"}, nil)
	record(b, l, wire.Job{ID: "job-2", Awaits: []string{"job-1"}}, nil) // 4 of 8 CPUs guaranteed
	record(b, l, wire.Job{ID: "job-3"}, nil)
	l.guarantee()
	if !l.jobs["job-1"].within || l.jobs["job-2"].within || !l.jobs["job-3"].within {
		t.Error("within the guarantee: jobs 1 and 3, not the waiting one before it")
	}
	if n := len(l.jobs["job-2"].pendingTasks()); n != 0 {
		t.Errorf("%d tasks of a waiting job may be placed", n)
	}
	since := l.jobs["job-2"].since
	j := l.jobs["job-1"]
	j.done, j.tasks[0].done, l.records.dirty = 1, true, true
	b.run(2e9)
	if len(l.jobs["job-2"].pendingTasks()) != 1 || !strings.Contains(string(b.store[records.OpenKey("job-2")].Value), `"ra":`) {
		t.Errorf("it does not go on: %s", b.store[records.OpenKey("job-2")].Value)
	}
	if l.jobs["job-2"].since <= since {
		t.Error("its waiting counts from its submission")
	}
}

// TestDependentsEndFirst cancels a chain and a diamond: at no moment is a job's
// end on record while one that needs it is open, in however small steps.
func TestDependentsEndFirst(t *testing.T) {
	b, l := leading(t, func(s *config.Settings) { s.Deployment.State.TxnOps = 2 })
	needs := map[string][]string{"job-2": {"job-1"}, "job-3": {"job-1"}, "job-4": {"job-2", "job-3"}, "job-5": {"job-4"}}
	record(b, l, wire.Job{ID: "job-1"}, nil)
	for _, id := range sortedKeys(needs) {
		record(b, l, wire.Job{ID: id, Awaits: needs[id]}, nil)
	}
	over := func(id string) bool { return b.store[records.FinalKey(id)].Key != "" }
	b.watch = func() {
		for id, before := range needs {
			for _, a := range before {
				if over(a) && !over(id) {
					t.Errorf("%s is over before %s", a, id)
				}
			}
		}
	}
	record(b, l, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Cancelled, r.AskedAt = true, b.c.wall })
	b.run(2e9)
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4", "job-5"} {
		if !over(id) || b.store[records.OpenKey(id)].Key != "" {
			t.Errorf("%s is not over", id)
		}
	}
}

// TestNeededIsNotTold does not take a leader's word for a job that others need:
// while it cannot read, it does not know of the latest of them.
func TestNeededIsNotTold(t *testing.T) {
	b := newHarness(t, someTypes)
	b.write(election.KeyTerm, "", []byte("5"))
	id := "job-000412"
	if a := b.ask("POST", "/submissions", body()); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	if a := b.ask("POST", "/submissions", named(9, `["`+id+`"]`)); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	b.c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
	b.c.peers["n1"] = &peerState{}
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
	b.nextReq++
	b.step(Request{ID: b.nextReq, Method: "POST", Path: "/submissions/" + id + "/cancel"})
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: b.store[election.KeyTerm].Version}}})
	if a := b.answers[b.nextReq]; a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("answered %d %s, want 503 and when to come back", a.Status, a.Body)
	}
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Over: []wire.JobEnd{{ID: id, Status: string(wire.StatusCancelled), Tasks: 16}}}}})
	if a := b.ask("POST", "/submissions/"+id+"/cancel", ""); a.Status != 200 {
		t.Errorf("answered %d %s once its end is on record", a.Status, a.Body)
	}
}

// TestPlacementsAreShed ends a job that has more placement records than go into
// one transaction: none is left.
func TestPlacementsAreShed(t *testing.T) {
	b, l := leading(t, func(s *config.Settings) {
		s.Deployment.State.TxnOps, s.Deployment.State.ValueKB = 5, 1
	})
	record(b, l, wire.Job{ID: "job-1", Tasks: 100}, nil)
	j := l.jobs["job-1"]
	for i := range j.chunks {
		b.write(j.chunks[i].key, "", []byte(`{"n":1}`))
		j.chunks[i].version = b.store[j.chunks[i].key].Version
	}
	if len(j.chunks) < 10 {
		t.Fatalf("%d records", len(j.chunks))
	}
	for i := range j.tasks {
		l.markDone(j, i)
	}
	b.run(2e9)
	if b.store[records.FinalKey("job-1")].Key == "" {
		t.Error("the job is not over")
	}
	for k := range b.store {
		if strings.HasPrefix(k, records.PrefixPlace) {
			t.Errorf("%s is left", k)
		}
	}
}

// TestLayoutChanges moves a job from numbered records to those that name their
// range. A copy of an earlier write of the numbered record, carried out late,
// must fail: it would bring back what the new records have overtaken.
func TestLayoutChanges(t *testing.T) {
	b, l := leading(t, func(s *config.Settings) {
		s.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
		s.Deployment.State.Next = &config.State{ValueKB: 1}
	})
	b.c.peers["n1"] = &peerState{}
	record(b, l, wire.Job{ID: "job-1", Tasks: 100}, nil)
	j := l.jobs["job-1"]
	for i := range j.tasks[:60] {
		m := l.machine(fmt.Sprintf("n-%06d", i))
		j.tasks[i] = task{attempt: uint64(i + 1), zone: "a", session: 1, ours: true}
		j.nextAttempt = uint64(i + 2)
		l.bind(j, i, m)
		l.markDirty(j, i, false)
	}
	b.run(1e9)
	late := ""
	for _, c := range b.commits {
		if strings.Contains(c, `"put":"p/job-1/0"`) {
			late = c
		}
	}
	if late == "" || strings.Contains(strings.Join(b.commits, "\n"), "p/job-1/0-") {
		t.Fatalf("while a controller has the earlier version, its layout is written: %v", sortedKeys(b.store))
	}
	// The answer to that write was lost, and it may still come: as a first one
	// would, on the condition that no record exists.
	delete(b.store, "p/job-1/0")
	j.chunks[0].version, j.chunks[0].dirty, j.chunks[0].due = 0, true, 0
	l.records.dirty = true
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersion}}})
	b.run(1e9)
	if status, _ := b.commit([]byte(late)); status != 409 {
		t.Errorf("the late copy is answered %d, want 409", status)
	}
	named := 0
	for k, it := range b.store {
		if strings.HasPrefix(k, "p/job-1/") {
			named++
			if len(it.Value) > 1024 || !strings.Contains(k, "-1") && !strings.Contains(k, "-2") && strings.Count(k, "-") < 2 {
				t.Errorf("%s: %d bytes", k, len(it.Value))
			}
		}
	}
	if named < 5 {
		t.Errorf("%d records", named)
	}
	// A next leader finds all of it.
	n := newLeader(b.c, election.Mandate{Term: 6, TermVersion: l.mandate.TermVersion, Lease: 1})
	record(b, n, wire.Job{ID: "job-1", Tasks: 100}, nil)
	var found []loadedPlace
	for _, k := range sortedKeys(b.store) {
		if strings.HasPrefix(k, records.PrefixPlace) {
			r, ok := records.ParsePlaceKey(k, b.c.numberedTasks())
			p := loadedPlace{PlaceRange: r, key: k, version: b.store[k].Version}
			if !ok || stdjson.Unmarshal(b.store[k].Value, &p.rec) != nil {
				t.Fatalf("%s is not read", k)
			}
			found = append(found, p)
		}
	}
	n.adopt(n.jobs["job-1"], found)
	if got := n.jobs["job-1"]; got.placed != 60 || got.nextAttempt != 61 || got.numbered {
		t.Errorf("a next leader finds %d tasks placed, next attempt %d, numbered %v", got.placed, got.nextAttempt, got.numbered)
	}
}

// TestAdoptPrefersRanges reads records of both layouts that disagree: those that
// name their range stand above the numbered ones.
func TestAdoptPrefersRanges(t *testing.T) {
	b, l := leading(t, func(s *config.Settings) { s.Deployment.State.Next = &config.State{ValueKB: 1} })
	record(b, l, wire.Job{ID: "job-1", Tasks: 30}, nil)
	j := l.jobs["job-1"]
	l.adopt(j, []loadedPlace{
		{key: "p/job-1/0", version: 5, PlaceRange: records.PlaceRange{From: 0, To: 128, Numbered: true}, rec: records.Placement{Next: 40, Done: []int{3}, Tasks: []records.PlacedTask{
			{Task: 1, Attempt: 1, Machine: "n-000001", Zone: "a", Session: 1}, {Task: 20, Attempt: 2, Machine: "n-000001", Zone: "a", Session: 1}}}},
		{key: "p/job-1/0-12", version: 9, PlaceRange: records.PlaceRange{From: 0, To: 12}, rec: records.Placement{Next: 50, Tasks: []records.PlacedTask{
			{Task: 2, Attempt: 45, Machine: "n-000002", Zone: "b", Session: 3}}}},
	})
	if j.tasks[1].machine != nil || j.tasks[2].machine == nil || j.tasks[2].machine.name != "n-000002" || j.tasks[20].machine == nil || !j.tasks[3].done || j.nextAttempt != 50 {
		t.Errorf("read as %+v", j.tasks[:21])
	}
	for i := range j.tasks {
		if ch := j.chunkOf(i); i < ch.from || i >= ch.to || strings.Count(ch.key, "-") != 2 {
			t.Errorf("task %d is covered by %s", i, ch.key)
		}
	}
	if keys := j.placeKeys(); len(keys) != 2 {
		t.Errorf("records to delete at the end: %v", keys)
	}
}

// TestPower has a job queue by the rank of its dependent at once, and stop other
// work by it only once the chain has less time left than the job takes.
func TestPower(t *testing.T) {
	b, l := leading(t, func(*config.Settings) {})
	due := 100.0
	record(b, l, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Job.EstimateS = 30 })
	record(b, l, wire.Job{ID: "job-2", Awaits: []string{"job-1"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimateS = wire.PriorityUrgent, &due, 20
	})
	j, urgent := l.jobs["job-1"], priorityRank[wire.PriorityUrgent]
	if j.rank != urgent || l.preemptionRank(j) != 0 {
		t.Errorf("with 50 s to spare of 30: rank %d, stops by %d", j.rank, l.preemptionRank(j))
	}
	b.c.wall += 25_000
	if l.preemptionRank(j) != urgent {
		t.Errorf("with 25 s to spare of 30 it stops by %d", l.preemptionRank(j))
	}
	if l.preemptionRank(l.jobs["job-2"]) != urgent {
		t.Error("a job's own priority counts at all times")
	}
}
