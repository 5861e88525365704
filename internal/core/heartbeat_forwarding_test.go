package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// presentAttempt is the attempt that a leader of the version in production takes for a task's
// present one.
func oldLeaderAttempt(heartbeat *wire.Heartbeat, task string) wire.TaskStatus {
	rows := slices.Clone(heartbeat.Tasks)
	slices.SortFunc(rows, func(a, b wire.TaskStatus) int { return strings.Compare(a.Task, b.Task) })
	for _, row := range rows {
		if row.Task == task {
			return row
		}
	}
	return wire.TaskStatus{}
}

// heartbeatOf makes a heartbeat with a number of tasks, some of which are listed with ended
// earlier attempts as well, in random order.
func randomHeartbeat(tasks int, random *rand.Rand) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Machine: "n-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: 5}
	for i := range tasks {
		task := fmt.Sprintf("job-000001/%d", i)
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task, Attempt: 40, State: wire.TaskRunning})
		for attempt := range uint64(i % 4) {
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
				Task: task, Attempt: attempt, State: wire.TaskExited, Cause: wire.CauseStopped, Checkpointed: attempt == 1,
			})
		}
	}
	random.Shuffle(len(heartbeat.Tasks), func(a, b int) {
		heartbeat.Tasks[a], heartbeat.Tasks[b] = heartbeat.Tasks[b], heartbeat.Tasks[a]
	})
	return heartbeat
}

// sortedRows prints the rows of a heartbeat in an order of their own.
func sortedRows(heartbeat *wire.Heartbeat) []string {
	var rows []string
	for _, row := range heartbeat.Tasks {
		rows = append(rows, fmt.Sprint(row))
	}
	slices.Sort(rows)
	return rows
}

// TestNewestAttemptFirst reads heartbeats of many lengths as the version in production does: it
// finds every present attempt, and no row is lost.
func TestNewestAttemptFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for tasks := range 200 {
		want := randomHeartbeat(tasks, random)
		got, ok := decodeHeartbeat(newestAttemptFirst(kv.Encode(want)))
		if !ok {
			t.Fatal("not a heartbeat")
		}
		for i := range tasks {
			if present := oldLeaderAttempt(got, fmt.Sprintf("job-000001/%d", i)); present.Attempt != 40 {
				t.Fatalf("of %d tasks the old leader takes attempt %d of task %d for the present one", tasks, present.Attempt, i)
			}
		}
		if !slices.Equal(sortedRows(got), sortedRows(want)) {
			t.Fatalf("rows %v, want %v", sortedRows(got), sortedRows(want))
		}
		got.Tasks, want.Tasks = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, want %+v", got, want)
		}
	}
}

// TestNewestAttemptFirstKeepsOthers leaves bodies unchanged that list no task twice.
func TestNewestAttemptFirstKeepsOthers(t *testing.T) {
	for _, body := range []string{`{"host":"n-000001", "shards":[{"shard":"job-000001/0","launch":2}]}`, `{"host":"n-000001"}`, `[`} {
		if got := newestAttemptFirst([]byte(body)); string(got) != body {
			t.Errorf("%s became %s", body, got)
		}
	}
}

// TestForwardToOldLeader forwards a heartbeat: as it came to a leader that finds the present
// attempts by itself, sorted to one that has not said so.
func TestForwardToOldLeader(t *testing.T) {
	body := kv.Encode(randomHeartbeat(8, rand.New(rand.NewPCG(2, 2))))
	if bytes.Equal(newestAttemptFirst(body), body) {
		t.Fatal("the heartbeat was sorted before")
	}
	for version, want := range map[int][]byte{0: newestAttemptFirst(body), wire.PeerVersion: body} {
		t.Run(fmt.Sprintf("version %d", version), func(t *testing.T) {
			c := New(&config.Settings{Name: "n0", Peers: []config.Peer{{Name: "n1", Zone: "b"}}}, nil, 1, nil)
			c.election.ObserveLeader(1, "n1")
			c.onPeerMessage(&wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: version}})
			c.forwardedHeartbeats[7] = &forwardedHeartbeat{requestID: 1, worker: &membership.Worker{}, body: body}
			c.forwardToLeader(7)
			if len(c.out.PeerSends) != 1 || !bytes.Equal(c.out.PeerSends[0].Message.Forward.Body, want) {
				t.Errorf("sent %+v", c.out.PeerSends)
			}
		})
	}
}

// follower is controller n0 of zone a, whose peers are n1 and n2.
type follower struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  Output // of the last step
}

// newFollower makes a follower that has just heard that n1 leads under term 5.
func newFollower(t *testing.T) *follower {
	t.Helper()
	settings := &config.Settings{
		Name: "n0", Zone: "a", Peers: []config.Peer{{Name: "n1", Zone: "b"}, {Name: "n2", Zone: "c"}},
		Deployment: config.Deployment{Workers: config.WorkerTimings{ReportS: 1.5, LeaseS: 10}},
	}
	f := &follower{t: t, core: New(settings, nil, 1, nil), now: time.Minute}
	f.receiveDigest("n1", wire.Digest{Version: wire.PeerVersion, Term: 5, Leader: true, HearsLeader: true})
	return f
}

// step feeds an input, and returns the answers that it leads to.
func (f *follower) step(in Input) []Answer {
	f.out = f.core.Step(f.now, time.Unix(1e9, 0).Add(f.now), in)
	return f.out.Answers
}

// hear feeds a digest of a peer.
func (f *follower) receiveDigest(from string, digest wire.Digest) {
	f.step(PeerInput{Message: &wire.PeerMessage{From: from, Digest: &digest}})
}

// heartbeat feeds a heartbeat of a worker with one task, under a fencing token.
func (f *follower) heartbeat(requestID, fencingToken uint64) []Answer {
	body := kv.Encode(&wire.Heartbeat{
		Machine: "n-000001", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: fencingToken,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}},
	})
	return f.step(Request{ID: requestID, Method: "POST", Path: "/checkin", Body: body})
}

// forwarded returns the only heartbeat that the last step has forwarded to a controller.
func (f *follower) forwarded(to string) *wire.Forward {
	f.t.Helper()
	var found []*wire.Forward
	for _, send := range f.out.PeerSends {
		if send.To == to && send.Message.Forward != nil {
			found = append(found, send.Message.Forward)
		}
	}
	if len(found) != 1 {
		f.t.Fatalf("%d heartbeats forwarded to %s, want 1", len(found), to)
	}
	return found[0]
}

// TestForward passes a heartbeat on to the leader, and only the leader's answer back.
func TestForward(t *testing.T) {
	f := newFollower(t)
	if answers := f.heartbeat(7, 5); len(answers) != 0 {
		t.Fatalf("answered %+v before the leader", answers)
	}
	forward := f.forwarded("n1")
	reply := func(from string) []Answer {
		message := &wire.PeerMessage{From: from, Reply: &wire.Reply{ID: forward.ID, Status: http.StatusOK, Body: []byte(`{"helm":5}`)}}
		return f.step(PeerInput{Message: message})
	}
	if answers := reply("n2"); len(answers) != 0 {
		t.Errorf("the answer of a controller that was not asked was passed on: %+v", answers)
	}
	answers := reply("n1")
	if len(answers) != 1 || answers[0].ID != 7 || answers[0].Status != http.StatusOK || string(answers[0].Body) != `{"helm":5}` {
		t.Errorf("answered %+v", answers)
	}
	if answers := reply("n1"); len(answers) != 0 {
		t.Errorf("answered again: %+v", answers)
	}
}

// TestForwardToNextLeader forwards a heartbeat that waits again when the leader changes, and
// only then.
func TestForwardToNextLeader(t *testing.T) {
	f := newFollower(t)
	f.heartbeat(7, 5)
	first := f.forwarded("n1")
	f.receiveDigest("n1", wire.Digest{Version: wire.PeerVersion, Term: 5, Leader: true, HearsLeader: true})
	if len(f.out.PeerSends) != 0 {
		t.Errorf("sent again: %+v", f.out.PeerSends)
	}
	f.receiveDigest("n2", wire.Digest{Version: wire.PeerVersion, Term: 6, Leader: true, HearsLeader: true})
	if second := f.forwarded("n2"); second.ID != first.ID || !bytes.Equal(second.Body, first.Body) {
		t.Errorf("forwarded %+v, then %+v", first, second)
	}
}

// TestForwardTimesOut answers a heartbeat that the leader has not answered in time: with an
// extension of the worker's lease if the worker has seen a term.
func TestForwardTimesOut(t *testing.T) {
	for _, tc := range []struct {
		name         string
		fencingToken uint64
		wantStatus   int
	}{
		{"the worker has seen a term", 5, http.StatusOK},
		{"the worker has seen none", 0, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFollower(t)
			f.heartbeat(7, tc.fencingToken)
			f.now += forwardTimeout - 1
			if answers := f.step(Tick{}); len(answers) != 0 {
				t.Fatalf("answered too early: %+v", answers)
			}
			f.now++
			answers := f.step(Tick{})
			if len(answers) != 1 || answers[0].Status != tc.wantStatus {
				t.Fatalf("answered %+v, want status %d", answers, tc.wantStatus)
			}
			if tc.wantStatus == http.StatusOK {
				checkExtension(t, answers[0].Body, tc.fencingToken)
			}
		})
	}
}

// checkExtension checks that an answer extends a lease: it has no commands.
func checkExtension(t *testing.T, body []byte, fencingToken uint64) {
	t.Helper()
	var commands wire.CommandList
	if err := json.Unmarshal(body, &commands); err != nil {
		t.Fatal(err)
	}
	if commands.FencingToken != fencingToken || len(commands.Commands) != 0 {
		t.Errorf("answered %+v, want no commands under token %d", commands, fencingToken)
	}
}

// TestHeartbeatWithoutLeader sends heartbeats to a follower that does not hear the leader.
func TestHeartbeatWithoutLeader(t *testing.T) {
	f := newFollower(t)
	f.now += 2 * time.Second
	answers := f.heartbeat(7, 5)
	if len(answers) != 1 || answers[0].Status != http.StatusOK {
		t.Fatalf("answered %+v, want an extension", answers)
	}
	checkExtension(t, answers[0].Body, 5)
	if answers := f.heartbeat(8, 0); len(answers) != 0 || len(f.core.forwardedHeartbeats) != 1 {
		t.Errorf("answered %+v to a worker that has seen no term, want it to wait", answers)
	}
	f.receiveDigest("n2", wire.Digest{HearsLeader: true})
	answers = f.heartbeat(9, 5)
	if len(answers) != 1 || answers[0].Status != http.StatusMisdirectedRequest {
		t.Fatalf("answered %+v, want a redirection", answers)
	}
	if want := kv.Encode(wire.Redirect{Controller: "n2"}); !bytes.Equal(answers[0].Body, want) {
		t.Errorf("redirected by %s, want %s", answers[0].Body, want)
	}
}

// TestForwardToFollower refuses a heartbeat that is forwarded to a controller which does not
// lead.
func TestForwardToFollower(t *testing.T) {
	f := newFollower(t)
	f.step(PeerInput{Message: &wire.PeerMessage{From: "n2", Forward: &wire.Forward{ID: 3, Body: []byte("{}")}}})
	sends := f.out.PeerSends
	if len(sends) != 1 || sends[0].To != "n2" || sends[0].Message.Reply == nil {
		t.Fatalf("sent %+v", sends)
	}
	if reply := sends[0].Message.Reply; reply.ID != 3 || reply.Status != http.StatusServiceUnavailable || string(reply.Body) != "{}" {
		t.Errorf("replied %+v", reply)
	}
}

// TestDigestParts splits the counts of many jobs over messages, which a follower puts together.
func TestDigestParts(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	jobs := 2*maxDigestJobs + 1
	for i := range jobs {
		id := fmt.Sprintf("job-%06d", i)
		addRecord(harness, leader, wire.Job{ID: id}, nil)
		leader.Jobs[id].TasksDone = 1
	}
	harness.core.out = Output{}
	harness.core.jobCountsDueAt = 0
	harness.core.sendDigests()
	f := newFollower(t)
	for i, send := range harness.core.out.PeerSends {
		digest := *send.Message.Digest
		if len(digest.Jobs) > maxDigestJobs || digest.More != (i > 0) {
			t.Errorf("part %d has %d jobs, continues: %v", i, len(digest.Jobs), digest.More)
		}
		f.receiveDigest("n1", digest)
	}
	if parts := len(harness.core.out.PeerSends); parts != 3 || len(f.core.jobCounts) != jobs {
		t.Errorf("%d parts, %d of %d jobs", parts, len(f.core.jobCounts), jobs)
	}
}
