package core

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// setPeers gives a controller peers that it has not heard yet.
func setPeers(c *Core, peers ...config.Peer) {
	c.settings.Peers = peers
	c.membership = c.newMembership()
}

// productionTask is how a leader of the version in production finds a task in
// a report.
func productionTask(r *wire.Heartbeat, name string) wire.TaskStatus {
	rows := slices.Clone(r.Tasks)
	slices.SortFunc(rows, func(a, b wire.TaskStatus) int { return strings.Compare(a.Task, b.Task) })
	for _, t := range rows {
		if t.Task == name {
			return t
		}
	}
	return wire.TaskStatus{}
}

// heartbeatOf makes a report on n tasks, of which every second one is listed with
// ended earlier attempts as well, in random order.
func heartbeatOf(n int, rng *rand.Rand) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: "n-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: 5}
	for i := range n {
		name := fmt.Sprintf("job-000001/%d", i)
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: name, Attempt: 40, State: wire.TaskRunning})
		for k := range uint64(i % 4) {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: name, Attempt: k, State: wire.TaskExited, Cause: wire.CauseStopped, Checkpointed: k == 1})
		}
	}
	rng.Shuffle(len(r.Tasks), func(a, b int) { r.Tasks[a], r.Tasks[b] = r.Tasks[b], r.Tasks[a] })
	return r
}

// TestNewestAttemptFirst has reports of many lengths read as the version in production
// does: it finds every present attempt, and no row is lost.
func TestNewestAttemptFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rows := func(r *wire.Heartbeat) []string {
		var out []string
		for _, t := range r.Tasks {
			out = append(out, fmt.Sprint(t))
		}
		slices.Sort(out)
		return out
	}
	for n := range 200 {
		r := heartbeatOf(n, rng)
		got, ok := decodeHeartbeat(newestAttemptFirst(kv.Encode(r)))
		if !ok {
			t.Fatal("no report")
		}
		for i := range n {
			if x := productionTask(got, fmt.Sprintf("job-000001/%d", i)); x.Attempt != 40 {
				t.Fatalf("of %d tasks the old leader takes attempt %d of task %d for the present one", n, x.Attempt, i)
			}
		}
		if !slices.Equal(rows(got), rows(r)) {
			t.Fatalf("rows %v, want %v", rows(got), rows(r))
		}
		got.Tasks, r.Tasks = nil, nil
		if !reflect.DeepEqual(got, r) {
			t.Fatalf("%+v, want %+v", got, r)
		}
	}
	for _, body := range []string{`{"host":"n-000001", "shards":[{"shard":"job-000001/0","launch":2}]}`, `{"host":"n-000001"}`, `[`} {
		if got := newestAttemptFirst([]byte(body)); string(got) != body {
			t.Errorf("%s became %s", body, got)
		}
	}
}

// TestForwardToOldLeader forwards a report: as it came to a leader that finds the
// present attempts by itself, put in order to one that has not said so.
func TestForwardToOldLeader(t *testing.T) {
	body := kv.Encode(heartbeatOf(8, rand.New(rand.NewPCG(2, 2))))
	for version, want := range map[int][]byte{0: newestAttemptFirst(body), wire.PeerVersion: body} {
		c := New(&config.Settings{Name: "n0", Peers: []config.Peer{{Name: "n1", Zone: "b"}}}, nil, 1, nil)
		c.election.ObserveLeader(1, "n1")
		c.onPeerMessage(&wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: version}})
		c.forwardedHeartbeats[7] = &forwardedHeartbeat{requestID: 1, worker: &membership.Worker{}, body: body}
		c.forwardToLeader(7)
		if len(c.out.PeerSends) != 1 || !bytes.Equal(c.out.PeerSends[0].Message.Forward.Body, want) {
			t.Errorf("to a leader of version %d: %+v", version, c.out.PeerSends)
		}
	}
	if bytes.Equal(newestAttemptFirst(body), body) {
		t.Error("the report was in order before")
	}
}
