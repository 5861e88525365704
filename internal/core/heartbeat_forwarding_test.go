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

// oldLeaderAttempt returns the row that a leader of the version in production treats as a task's
// current attempt.
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

// randomHeartbeat returns a heartbeat with a number of tasks, some of which are also listed with
// ended earlier attempts, in random order.
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

// sortedRows formats the rows of a heartbeat in an order that does not depend on theirs.
func sortedRows(heartbeat *wire.Heartbeat) []string {
	var rows []string
	for _, row := range heartbeat.Tasks {
		rows = append(rows, fmt.Sprint(row))
	}
	slices.Sort(rows)
	return rows
}

// TestNewestAttemptFirst checks heartbeats with different numbers of tasks as a leader of the
// version in production reads them: it finds every current attempt, and no row is lost.
func TestNewestAttemptFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for tasks := range 200 {
		want := randomHeartbeat(tasks, random)
		got, ok := decodeHeartbeat(newestAttemptFirst(kv.Encode(want)))
		if !ok {
			t.Fatal("sorted heartbeat cannot be decoded")
		}
		for i := range tasks {
			if found := oldLeaderAttempt(got, fmt.Sprintf("job-000001/%d", i)); found.Attempt != 40 {
				t.Fatalf("heartbeat with %d tasks: old leader finds attempt %d of task %d, want 40", tasks, found.Attempt, i)
			}
		}
		if !slices.Equal(sortedRows(got), sortedRows(want)) {
			t.Fatalf("rows: got %v, want %v", sortedRows(got), sortedRows(want))
		}
		got.Tasks, want.Tasks = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("heartbeat without rows: got %+v, want %+v", got, want)
		}
	}
}

// TestNewestAttemptFirstKeepsOthers checks that bodies that list no task twice are not changed.
func TestNewestAttemptFirstKeepsOthers(t *testing.T) {
	for _, body := range []string{`{"host":"n-000001", "shards":[{"shard":"job-000001/0","launch":2}]}`, `{"host":"n-000001"}`, `[`} {
		if got := newestAttemptFirst([]byte(body)); string(got) != body {
			t.Errorf("body %s: got %s, want it unchanged", body, got)
		}
	}
}

// TestForwardToOldLeader checks that a heartbeat is forwarded unchanged to a leader whose version
// finds the current attempts itself, and sorted to a leader of an older or unknown version.
func TestForwardToOldLeader(t *testing.T) {
	body := kv.Encode(randomHeartbeat(8, rand.New(rand.NewPCG(2, 2))))
	if bytes.Equal(newestAttemptFirst(body), body) {
		t.Fatal("test heartbeat is already sorted")
	}
	for version, want := range map[int][]byte{0: newestAttemptFirst(body), wire.PeerVersion: body} {
		t.Run(fmt.Sprintf("version %d", version), func(t *testing.T) {
			c := New(&config.Settings{Name: "n0", Peers: []config.Peer{{Name: "n1", Zone: "b"}}}, nil, 1, nil)
			c.election.ObserveLeader(1, "n1")
			c.onPeerMessage(&wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: version}})
			c.forwardedHeartbeats[7] = &forwardedHeartbeat{requestID: 1, worker: &membership.Worker{}, body: body}
			c.forwardToLeader(7)
			if len(c.out.PeerSends) != 1 || !bytes.Equal(c.out.PeerSends[0].Message.Forward.Body, want) {
				t.Errorf("sent %+v, want one forwarded heartbeat, sorted only for version 0", c.out.PeerSends)
			}
		})
	}
}

// follower drives controller n0 in zone a, whose peers are n1 and n2.
type follower struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  Output // of the last step
}

// newFollower returns a follower that has just received a digest of n1, the leader of term 5.
func newFollower(t *testing.T) *follower {
	t.Helper()
	return newFollowerProcess(t, 1)
}

// newFollowerProcess is newFollower for the process with a given incarnation.
func newFollowerProcess(t *testing.T, incarnation uint64) *follower {
	t.Helper()
	settings := &config.Settings{
		Name: "n0", Zone: "a", Peers: []config.Peer{{Name: "n1", Zone: "b"}, {Name: "n2", Zone: "c"}},
		Deployment: config.Deployment{Workers: config.WorkerTimings{ReportS: 1.5, LeaseS: 10}},
	}
	f := &follower{t: t, core: New(settings, nil, incarnation, nil), now: time.Minute}
	f.receiveDigest("n1", wire.Digest{Version: wire.PeerVersion, Term: 5, Leader: true, HearsLeader: true})
	return f
}

// step runs a step with an input, and returns its answers.
func (f *follower) step(in Input) []Answer {
	f.out = f.core.Step(f.now, time.Unix(1e9, 0).Add(f.now), in)
	return f.out.Answers
}

// receiveDigest delivers a digest of a peer.
func (f *follower) receiveDigest(from string, digest wire.Digest) {
	f.step(PeerInput{Message: &wire.PeerMessage{From: from, Digest: &digest}})
}

// heartbeat delivers a heartbeat of a worker with one task that has seen a fencing token, and
// returns the answers.
func (f *follower) heartbeat(requestID, fencingToken uint64) []Answer {
	body := kv.Encode(&wire.Heartbeat{
		Machine: "n-000001", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: fencingToken,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}},
	})
	return f.step(Request{ID: requestID, Method: "POST", Path: "/checkin", Body: body})
}

// forwarded returns the heartbeat that the last step forwarded to a controller. There must be
// exactly one.
func (f *follower) forwarded(to string) *wire.Forward {
	f.t.Helper()
	var found []*wire.Forward
	for _, send := range f.out.PeerSends {
		if send.To == to && send.Message.Forward != nil {
			found = append(found, send.Message.Forward)
		}
	}
	if len(found) != 1 {
		f.t.Fatalf("got %d heartbeats forwarded to %s, want 1", len(found), to)
	}
	return found[0]
}

// TestForward checks that a heartbeat is forwarded to the leader, and that the worker gets the
// leader's answer once, and no other controller's answer.
func TestForward(t *testing.T) {
	f := newFollower(t)
	if answers := f.heartbeat(7, 5); len(answers) != 0 {
		t.Fatalf("before the leader's reply: got answers %+v, want none", answers)
	}
	forward := f.forwarded("n1")
	reply := func(from string) []Answer {
		message := &wire.PeerMessage{From: from, Reply: &wire.Reply{ID: forward.ID, Status: http.StatusOK, Body: []byte(`{"helm":5}`)}}
		return f.step(PeerInput{Message: message})
	}
	if answers := reply("n2"); len(answers) != 0 {
		t.Errorf("after a reply of another controller: got answers %+v, want none", answers)
	}
	answers := reply("n1")
	if len(answers) != 1 || answers[0].ID != 7 || answers[0].Status != http.StatusOK || string(answers[0].Body) != `{"helm":5}` {
		t.Errorf("after the leader's reply: got answers %+v, want its status and body for request 7", answers)
	}
	if answers := reply("n1"); len(answers) != 0 {
		t.Errorf("after a second reply of the leader: got answers %+v, want none", answers)
	}
}

// TestReplyToEarlierProcess guards against a worker that executes commands for another machine: a
// controller that is back within a second takes the leader's reply to its earlier process for the reply to
// a heartbeat of its own.
func TestReplyToEarlierProcess(t *testing.T) {
	for _, incarnations := range [][2]uint64{{1, 2}, {1<<32 + 1, 1<<32 + 2}, {1 << 63, 7}} {
		earlier, later := newFollowerProcess(t, incarnations[0]), newFollowerProcess(t, incarnations[1])
		for request := range uint64(100) {
			earlier.heartbeat(request, 5)
			later.heartbeat(request, 5)
			reply := &wire.Reply{ID: earlier.forwarded("n1").ID, Status: http.StatusOK, Body: []byte(`{"helm":5}`)}
			if answers := later.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Reply: reply}}); len(answers) != 0 {
				t.Fatalf("incarnations %v: answered request %d with the reply to the earlier process", incarnations, answers[0].ID)
			}
		}
	}
}

// TestForwardToNextLeader checks that a waiting heartbeat is forwarded again when the leader
// changes, and only then.
func TestForwardToNextLeader(t *testing.T) {
	f := newFollower(t)
	f.heartbeat(7, 5)
	first := f.forwarded("n1")
	f.receiveDigest("n1", wire.Digest{Version: wire.PeerVersion, Term: 5, Leader: true, HearsLeader: true})
	if len(f.out.PeerSends) != 0 {
		t.Errorf("after another digest of the same leader: sent %+v, want nothing", f.out.PeerSends)
	}
	f.receiveDigest("n2", wire.Digest{Version: wire.PeerVersion, Term: 6, Leader: true, HearsLeader: true})
	if second := f.forwarded("n2"); second.ID != first.ID || !bytes.Equal(second.Body, first.Body) {
		t.Errorf("forwarded %+v to the first leader and %+v to the next one, want the same", first, second)
	}
}

// TestForwardTimesOut checks the answer to a heartbeat that the leader did not answer in time: an
// extension of the worker's lease if the worker has seen a term, an error otherwise.
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
				t.Fatalf("before the timeout: got answers %+v, want none", answers)
			}
			f.now++
			answers := f.step(Tick{})
			if len(answers) != 1 || answers[0].Status != tc.wantStatus {
				t.Fatalf("at the timeout: got answers %+v, want one with status %d", answers, tc.wantStatus)
			}
			if tc.wantStatus == http.StatusOK {
				checkExtension(t, answers[0].Body, tc.fencingToken)
			}
		})
	}
}

// checkExtension checks that an answer only extends a lease: it has the worker's fencing token and
// no commands.
func checkExtension(t *testing.T, body []byte, fencingToken uint64) {
	t.Helper()
	var commands wire.CommandList
	if err := json.Unmarshal(body, &commands); err != nil {
		t.Fatal(err)
	}
	if commands.FencingToken != fencingToken || len(commands.Commands) != 0 {
		t.Errorf("lease extension: got %+v, want fencing token %d and no commands", commands, fencingToken)
	}
}

// TestHeartbeatWithoutLeader checks how a follower without contact with the leader handles
// heartbeats: it extends the worker's lease, or holds the heartbeat of a worker that has seen no
// term, or redirects the worker to a peer that has contact with the leader.
func TestHeartbeatWithoutLeader(t *testing.T) {
	f := newFollower(t)
	f.now += 2 * time.Second
	answers := f.heartbeat(7, 5)
	if len(answers) != 1 || answers[0].Status != http.StatusOK {
		t.Fatalf("worker that has seen a term: got answers %+v, want a lease extension", answers)
	}
	checkExtension(t, answers[0].Body, 5)
	if answers := f.heartbeat(8, 0); len(answers) != 0 || len(f.core.forwardedHeartbeats) != 1 {
		t.Errorf("worker that has seen no term: got answers %+v, want the heartbeat to wait", answers)
	}
	f.receiveDigest("n2", wire.Digest{HearsLeader: true})
	answers = f.heartbeat(9, 5)
	if len(answers) != 1 || answers[0].Status != http.StatusMisdirectedRequest {
		t.Fatalf("with a peer that has contact with the leader: got answers %+v, want a redirection", answers)
	}
	if want := kv.Encode(wire.Redirect{Controller: "n2"}); !bytes.Equal(answers[0].Body, want) {
		t.Errorf("redirection: got %s, want %s", answers[0].Body, want)
	}
}

// TestForwardToFollower checks that a follower refuses a heartbeat that another controller forwards
// to it.
func TestForwardToFollower(t *testing.T) {
	f := newFollower(t)
	f.step(PeerInput{Message: &wire.PeerMessage{From: "n2", Forward: &wire.Forward{ID: 3, Body: []byte("{}")}}})
	sends := f.out.PeerSends
	if len(sends) != 1 || sends[0].To != "n2" || sends[0].Message.Reply == nil {
		t.Fatalf("sent %+v, want one reply to n2", sends)
	}
	if reply := sends[0].Message.Reply; reply.ID != 3 || reply.Status != http.StatusServiceUnavailable || string(reply.Body) != "{}" {
		t.Errorf("reply: got %+v, want ID 3, status 503 and an empty object", reply)
	}
}

// TestDigestParts checks that a leader splits the task counts of many jobs over several messages,
// and that a follower combines them.
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
			t.Errorf("part %d: got %d jobs, more %v, want at most maxDigestJobs jobs, more only after part 0", i, len(digest.Jobs), digest.More)
		}
		f.receiveDigest("n1", digest)
	}
	if parts := len(harness.core.out.PeerSends); parts != 3 || len(f.core.jobCounts) != jobs {
		t.Errorf("got %d parts and %d jobs on the follower, want 3 and %d", parts, len(f.core.jobCounts), jobs)
	}
}
