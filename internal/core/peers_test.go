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
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// productionReported is how a leader of the version in production finds a task in
// a report.
func productionReported(r *wire.Report, name string) wire.Task {
	rows := slices.Clone(r.Tasks)
	slices.SortFunc(rows, func(a, b wire.Task) int { return strings.Compare(a.Task, b.Task) })
	for _, t := range rows {
		if t.Task == name {
			return t
		}
	}
	return wire.Task{}
}

// reportOf makes a report on n tasks, of which every second one is listed with
// ended earlier attempts as well, in random order.
func reportOf(n int, rng *rand.Rand) *wire.Report {
	r := &wire.Report{Machine: "n-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Session: 1, Seq: 9, Token: 5}
	for i := range n {
		name := fmt.Sprintf("job-000001/%d", i)
		r.Tasks = append(r.Tasks, wire.Task{Task: name, Attempt: 40, State: wire.TaskRunning})
		for k := range uint64(i % 4) {
			r.Tasks = append(r.Tasks, wire.Task{Task: name, Attempt: k, State: wire.TaskExited, Cause: wire.CauseStopped, Saved: k == 1})
		}
	}
	rng.Shuffle(len(r.Tasks), func(a, b int) { r.Tasks[a], r.Tasks[b] = r.Tasks[b], r.Tasks[a] })
	return r
}

// TestPresentFirst has reports of many lengths read as the version in production
// does: it finds every present attempt, and no row is lost.
func TestPresentFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rows := func(r *wire.Report) []string {
		var out []string
		for _, t := range r.Tasks {
			out = append(out, fmt.Sprint(t))
		}
		slices.Sort(out)
		return out
	}
	for n := range 200 {
		r := reportOf(n, rng)
		got, ok := decodeReport(presentFirst(kv.Encode(r)))
		if !ok {
			t.Fatal("no report")
		}
		for i := range n {
			if x := productionReported(got, fmt.Sprintf("job-000001/%d", i)); x.Attempt != 40 {
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
		if got := presentFirst([]byte(body)); string(got) != body {
			t.Errorf("%s became %s", body, got)
		}
	}
}

// TestForwardToOldLeader forwards a report: as it came to a leader that finds the
// present attempts by itself, put in order to one that has not said so.
func TestForwardToOldLeader(t *testing.T) {
	body := kv.Encode(reportOf(8, rand.New(rand.NewPCG(2, 2))))
	for version, want := range map[int][]byte{0: presentFirst(body), wire.PeerVersion: body} {
		c := New(&config.Settings{Name: "n0", Peers: []config.Peer{{Name: "n1", Zone: "b"}}}, nil, 1, nil)
		c.elect.Learn(1, "n1")
		c.peers["n1"].version = version
		c.forwards[7] = &forward{req: 1, from: &reporter{}, body: body}
		c.forwardToLeader(7)
		if len(c.out.Sends) != 1 || !bytes.Equal(c.out.Sends[0].Msg.Forward.Body, want) {
			t.Errorf("to a leader of version %d: %+v", version, c.out.Sends)
		}
	}
	if bytes.Equal(presentFirst(body), body) {
		t.Error("the report was in order before")
	}
}
