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

// During an upgrade, controllers of two versions exchange messages. The types below are copies of
// the types of the version in production (commit 1fdb220), and never change. The file
// testdata/production.gob holds the output of one of its links. testdata/chains.gob is the same for
// a later version that may run as well (commit b39e01d), whose digests have one more field; see
// LaterMessage.

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

// currentMessages holds the messages of testdata/production.gob in this version's types.
var currentMessages = []wire.PeerMessage{
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

// productionMessages holds the same messages in the types of the version in production.
var productionMessages = []PeerMessage{
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

// LaterDigest is a copy of the later version's Digest.
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

// currentVersionedMessages returns the messages of testdata/chains.gob in this version's types.
func currentVersionedMessages() []wire.PeerMessage {
	out := slices.Clone(currentMessages)
	for i := range out {
		if out[i].Digest != nil {
			d := *out[i].Digest
			d.Version = 1
			out[i].Digest = &d
		}
	}
	return out
}

// laterMessages returns the same messages in the types of the later version.
func laterMessages() []LaterMessage {
	var out []LaterMessage
	for _, m := range productionMessages {
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

// encode encodes messages as a link does: as one gob stream in which each value has a four-byte
// length prefix.
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

// TestProductionMessages checks that this version and the one in production decode each other's
// messages.
func TestProductionMessages(t *testing.T) {
	data, err := os.ReadFile("testdata/production.gob")
	if err != nil {
		t.Fatal(err)
	}
	for name, stream := range map[string][]byte{"testdata/production.gob": data, "this version": encode(t, currentMessages), "the version in production": encode(t, productionMessages)} {
		if got := decode[wire.PeerMessage](t, stream); !reflect.DeepEqual(got, currentMessages) {
			t.Errorf("messages of %s decoded by this version: got %+v, want %+v", name, got, currentMessages)
		}
		if got := decode[PeerMessage](t, stream); !reflect.DeepEqual(got, productionMessages) {
			t.Errorf("messages of %s decoded by the version in production: got %+v, want %+v", name, got, productionMessages)
		}
	}
}

// TestLaterMessages checks that this version and the later one decode each other's messages, and
// that the version in production decodes those of both.
func TestLaterMessages(t *testing.T) {
	data, err := os.ReadFile("testdata/chains.gob")
	if err != nil {
		t.Fatal(err)
	}
	for name, stream := range map[string][]byte{"testdata/chains.gob": data, "this version": encode(t, currentVersionedMessages()), "the later version": encode(t, laterMessages())} {
		if got := decode[wire.PeerMessage](t, stream); !reflect.DeepEqual(got, currentVersionedMessages()) {
			t.Errorf("messages of %s decoded by this version: got %+v, want %+v", name, got, currentVersionedMessages())
		}
		if got := decode[LaterMessage](t, stream); !reflect.DeepEqual(got, laterMessages()) {
			t.Errorf("messages of %s decoded by the later version: got %+v, want %+v", name, got, laterMessages())
		}
		// The later version may be the leader of controllers of the version in production.
		if got := decode[PeerMessage](t, stream); !reflect.DeepEqual(got, productionMessages) {
			t.Errorf("messages of %s decoded by the version in production: got %+v, want %+v", name, got, productionMessages)
		}
	}
}

// TestGobNames checks the names of types and fields that controllers send each other. Gob sends
// these names, and silently drops fields that the receiver's type does not have.
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
			t.Errorf("name of the type: got %s, want %s", typ.Name(), name)
		}
		var got []string
		for i := range typ.NumField() {
			f := typ.Field(i)
			got = append(got, f.Name+" "+strings.ReplaceAll(f.Type.String(), "wire.", ""))
		}
		for _, field := range strings.Split(fields, ", ") {
			if !slices.Contains(got, field) {
				t.Errorf("type %s: no field %q among %q", name, field, got)
			}
		}
	}
}
