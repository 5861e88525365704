package wire_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
)

// During an upgrade controllers of two versions send each other messages. The
// types below are frozen copies of those of the version in production (commit
// 1fdb220); testdata/production.gob is what one of its links sent.
// testdata/chains.gob is the same of the later version that may run as well
// (commit b39e01d), whose digests have one field more; see LaterMessage.

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
	{From: "node-1", Digest: &wire.Digest{
		Term: 7, Leader: true, HearsLeader: true, StoreOK: true, HasJobs: true,
		Jobs: []wire.JobCount{{ID: "job-000001", Done: 2, Running: 3}, {ID: "job-000002", Running: 1}}, More: true,
		Boot: 1<<40 + 1, EchoBoot: 1<<41 + 5, Clock: 123456789012, Echo: 98765432109,
		Kept:      []wire.Kept{{Machine: "n-000004", AgeMS: 2500}, {Machine: "n-000009", AgeMS: 1}},
		Cancelled: []wire.Cancelled{{ID: "job-000003", Version: 911}, {ID: "job-000004", Version: 912}},
	}},
	{From: "node-2", Ends: &wire.Ends{
		Over: []wire.JobEnd{{ID: "job-000005", Status: "done", Tasks: 240}, {ID: "job-000006", Status: "withdrawn", Tasks: 3}},
		Gone: []string{"job-000003"}, TermVersion: 707, Held: []string{"job-000004"},
	}},
	{From: "node-2", Digest: &wire.Digest{Term: 8, Boot: 9, Clock: 10}},
}

// frozen are the same in the types of the version in production.
var frozen = []PeerMessage{
	{From: "node-0", Forward: &Forward{ID: 41, Body: []byte(`{"host":"n-000001","watch":3}`)}},
	{From: "node-1", Reply: &Reply{ID: 41, Status: 200, Body: []byte(`{"helm":7,"orders":[]}`)}},
	{From: "node-1", Digest: &Digest{
		Term: 7, Leader: true, HearsLeader: true, StoreOK: true, HasJobs: true,
		Jobs: []JobCount{{ID: "job-000001", Done: 2, Running: 3}, {ID: "job-000002", Running: 1}}, More: true,
		Boot: 1<<40 + 1, EchoBoot: 1<<41 + 5, Clock: 123456789012, Echo: 98765432109,
		Kept:      []Kept{{Machine: "n-000004", AgeMS: 2500}, {Machine: "n-000009", AgeMS: 1}},
		Cancelled: []Cancelled{{ID: "job-000003", Version: 911}, {ID: "job-000004", Version: 912}},
	}},
	{From: "node-2", Ends: &Ends{
		Over: []JobEnd{{ID: "job-000005", Status: "done", Tasks: 240}, {ID: "job-000006", Status: "withdrawn", Tasks: 3}},
		Gone: []string{"job-000003"}, TermVersion: 707, Held: []string{"job-000004"},
	}},
	{From: "node-2", Digest: &Digest{Term: 8, Boot: 9, Clock: 10}},
}

// LaterMessage is a PeerMessage of the later version.
type LaterMessage struct {
	From    string
	Forward *Forward
	Reply   *Reply
	Digest  *LaterDigest
	Ends    *Ends
}

// LaterDigest is the frozen copy of the later version's Digest.
type LaterDigest struct {
	Version        int
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

// versioned are the messages of testdata/chains.gob in this version's types.
func versioned() []wire.PeerMessage {
	out := slices.Clone(present)
	for i := range out {
		if out[i].Digest != nil {
			d := *out[i].Digest
			d.Version = 1
			out[i].Digest = &d
		}
	}
	return out
}

// later are the same in the types of the later version.
func later() []LaterMessage {
	var out []LaterMessage
	for _, m := range frozen {
		x := LaterMessage{From: m.From, Forward: m.Forward, Reply: m.Reply, Ends: m.Ends}
		if d := m.Digest; d != nil {
			x.Digest = &LaterDigest{
				Version: 1, Term: d.Term, Leader: d.Leader, HearsLeader: d.HearsLeader, StoreOK: d.StoreOK,
				HasJobs: d.HasJobs, Jobs: d.Jobs, More: d.More, Boot: d.Boot, EchoBoot: d.EchoBoot, Clock: d.Clock,
				Echo: d.Echo, Kept: d.Kept, Cancelled: d.Cancelled,
			}
		}
		out = append(out, x)
	}
	return out
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

func TestLaterMessages(t *testing.T) {
	data, err := os.ReadFile("testdata/chains.gob")
	if err != nil {
		t.Fatal(err)
	}
	for name, stream := range map[string][]byte{"chains": data, "present": encode(t, versioned()), "later": encode(t, later())} {
		if got := decode[wire.PeerMessage](t, stream); !reflect.DeepEqual(got, versioned()) {
			t.Errorf("this version reads of %s %+v, want %+v", name, got, versioned())
		}
		if got := decode[LaterMessage](t, stream); !reflect.DeepEqual(got, later()) {
			t.Errorf("the later version reads of %s %+v, want %+v", name, got, later())
		}
		// It may lead a controller of the version in production as well.
		if got := decode[PeerMessage](t, stream); !reflect.DeepEqual(got, frozen) {
			t.Errorf("the version in production reads of %s %+v, want %+v", name, got, frozen)
		}
	}
}

// TestGobNames holds the names that cross the links: gob sends those of types
// and fields, and drops without a word what the receiver's type does not have.
func TestGobNames(t *testing.T) {
	for _, tc := range []struct {
		of   any
		want string
	}{
		{wire.PeerMessage{}, "PeerMessage: From string, Forward *Forward, Reply *Reply, Digest *Digest, Ends *Ends"},
		{wire.Forward{}, "Forward: ID uint64, Body []uint8"},
		{wire.Reply{}, "Reply: ID uint64, Status int, Body []uint8"},
		{wire.Digest{}, "Digest: Version int, Term uint64, Leader bool, HearsLeader bool, StoreOK bool, HasJobs bool, " +
			"Jobs []JobCount, More bool, Boot uint64, EchoBoot uint64, Clock int64, Echo int64, Kept []Kept, Cancelled []Cancelled"},
		{wire.Ends{}, "Ends: Over []JobEnd, Gone []string, TermVersion uint64, Held []string"},
		{wire.JobEnd{}, "JobEnd: ID string, Status string, Tasks int"},
		{wire.Kept{}, "Kept: Machine string, AgeMS int64"},
		{wire.Cancelled{}, "Cancelled: ID string, Version uint64"},
		{wire.JobCount{}, "JobCount: ID string, Done int, Running int"},
	} {
		typ := reflect.TypeOf(tc.of)
		name, fields, _ := strings.Cut(tc.want, ": ")
		if typ.Name() != name {
			t.Errorf("type %s, want %s", typ.Name(), name)
		}
		var got []string
		for i := range typ.NumField() {
			f := typ.Field(i)
			got = append(got, f.Name+" "+strings.ReplaceAll(f.Type.String(), "wire.", ""))
		}
		for _, field := range strings.Split(fields, ", ") {
			if !slices.Contains(got, field) {
				t.Errorf("%s has no field %q; it has %q", name, field, got)
			}
		}
	}
}
