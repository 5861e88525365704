package wire_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"os"
	"reflect"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
)

// During an upgrade controllers of two versions send each other messages. The
// types below are frozen copies of those of the version in production (commit
// 1fdb220); testdata/production.gob is what one of its links sent.

type PeerMessage struct {
	From    string
	Forward *Forward
	Reply   *Reply
	Digest  *Digest
	Ends    *Ends
}

type Forward struct {
	ID   uint64
	Body []byte
}

type Reply struct {
	ID     uint64
	Status int
	Body   []byte
}

type Digest struct {
	Term           uint64
	Leader         bool
	HearsLeader    bool
	StoreOK        bool
	HasJobs        bool
	Jobs           []JobCount
	More           bool
	Boot, EchoBoot uint64
	Clock, Echo    int64
	Kept           []Kept
	Cancelled      []Cancelled
}

type Ends struct {
	Over        []JobEnd
	Gone        []string
	TermVersion uint64
	Held        []string
}

type JobEnd struct {
	ID     string
	Status string
	Tasks  int
}

type Kept struct {
	Machine string
	AgeMS   int64
}

type Cancelled struct {
	ID      string
	Version uint64
}

type JobCount struct {
	ID            string
	Done, Running int
}

// present are the messages of testdata/production.gob in this version's types.
var present = []wire.PeerMessage{
	{From: "node-0", Forward: &wire.Forward{ID: 41, Body: []byte(`{"host":"n-000001","watch":3}`)}},
	{From: "node-1", Reply: &wire.Reply{ID: 41, Status: 200, Body: []byte(`{"helm":7,"orders":[]}`)}},
	{From: "node-1", Digest: &wire.Digest{Term: 7, Leader: true, HearsLeader: true, StoreOK: true, HasJobs: true,
		Jobs: []wire.JobCount{{ID: "job-000001", Done: 2, Running: 3}, {ID: "job-000002", Running: 1}}, More: true,
		Boot: 1<<40 + 1, EchoBoot: 1<<41 + 5, Clock: 123456789012, Echo: 98765432109,
		Kept:      []wire.Kept{{Machine: "n-000004", AgeMS: 2500}, {Machine: "n-000009", AgeMS: 1}},
		Cancelled: []wire.Cancelled{{ID: "job-000003", Version: 911}, {ID: "job-000004", Version: 912}}}},
	{From: "node-2", Ends: &wire.Ends{
		Over: []wire.JobEnd{{ID: "job-000005", Status: "done", Tasks: 240}, {ID: "job-000006", Status: "withdrawn", Tasks: 3}},
		Gone: []string{"job-000003"}, TermVersion: 707, Held: []string{"job-000004"}}},
	{From: "node-2", Digest: &wire.Digest{Term: 8, Boot: 9, Clock: 10}},
}

// frozen are the same in the types of the version in production.
var frozen = []PeerMessage{
	{From: "node-0", Forward: &Forward{ID: 41, Body: []byte(`{"host":"n-000001","watch":3}`)}},
	{From: "node-1", Reply: &Reply{ID: 41, Status: 200, Body: []byte(`{"helm":7,"orders":[]}`)}},
	{From: "node-1", Digest: &Digest{Term: 7, Leader: true, HearsLeader: true, StoreOK: true, HasJobs: true,
		Jobs: []JobCount{{ID: "job-000001", Done: 2, Running: 3}, {ID: "job-000002", Running: 1}}, More: true,
		Boot: 1<<40 + 1, EchoBoot: 1<<41 + 5, Clock: 123456789012, Echo: 98765432109,
		Kept:      []Kept{{Machine: "n-000004", AgeMS: 2500}, {Machine: "n-000009", AgeMS: 1}},
		Cancelled: []Cancelled{{ID: "job-000003", Version: 911}, {ID: "job-000004", Version: 912}}}},
	{From: "node-2", Ends: &Ends{
		Over: []JobEnd{{ID: "job-000005", Status: "done", Tasks: 240}, {ID: "job-000006", Status: "withdrawn", Tasks: 3}},
		Gone: []string{"job-000003"}, TermVersion: 707, Held: []string{"job-000004"}}},
	{From: "node-2", Digest: &Digest{Term: 8, Boot: 9, Clock: 10}},
}

// encode writes messages as a link does: one gob stream, each value behind a
// four-byte length.
func encode[M any](t *testing.T, msgs []M) []byte {
	t.Helper()
	var out []byte
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	for i := range msgs {
		buf.Reset()
		if err := enc.Encode(&msgs[i]); err != nil {
			t.Fatal(err)
		}
		out = binary.BigEndian.AppendUint32(out, uint32(buf.Len()))
		out = append(out, buf.Bytes()...)
	}
	return out
}

func decode[M any](t *testing.T, data []byte) []M {
	t.Helper()
	var out []M
	var buf bytes.Buffer
	dec := gob.NewDecoder(&buf)
	for in := bytes.NewReader(data); in.Len() > 0; {
		var n uint32
		if err := binary.Read(in, binary.BigEndian, &n); err != nil {
			t.Fatal(err)
		}
		if _, err := io.CopyN(&buf, in, int64(n)); err != nil {
			t.Fatal(err)
		}
		var m M
		if err := dec.Decode(&m); err != nil {
			t.Fatal(err)
		}
		out = append(out, m)
	}
	return out
}

func TestProductionMessages(t *testing.T) {
	data, err := os.ReadFile("testdata/production.gob")
	if err != nil {
		t.Fatal(err)
	}
	for name, stream := range map[string][]byte{"production": data, "present": encode(t, present), "frozen": encode(t, frozen)} {
		if got := decode[wire.PeerMessage](t, stream); !reflect.DeepEqual(got, present) {
			t.Errorf("this version reads of %s %+v, want %+v", name, got, present)
		}
		if got := decode[PeerMessage](t, stream); !reflect.DeepEqual(got, frozen) {
			t.Errorf("the version in production reads of %s %+v, want %+v", name, got, frozen)
		}
	}
}
