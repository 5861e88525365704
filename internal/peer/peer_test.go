package peer

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// TestLinkDelivers sends messages over a real connection and feeds them in pieces.
func TestLinkDelivers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	link := NewLink[wire.PeerMessage](listener.Addr().String(), 5*time.Second, 64, slog.New(slog.NewTextHandler(io.Discard, nil)))
	body := bytes.Repeat([]byte("x"), 5000)
	for i := uint64(1); i <= 20; i++ {
		link.Send(&wire.PeerMessage{From: "a", Forward: &wire.Forward{ID: i, Body: body}})
		link.Send(&wire.PeerMessage{From: "a", Digest: &wire.Digest{Term: i, Jobs: []wire.JobCount{{ID: "job-000001", Done: 1}}}})
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	decoder := NewDecoder[wire.PeerMessage]()
	var got []*wire.PeerMessage
	buf := make([]byte, 777)
	for len(got) < 40 {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		ms, err := decoder.Feed(buf[:n])
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, ms...)
	}
	for i, m := range got {
		id := uint64(i/2 + 1)
		if i%2 == 0 && (m.Forward == nil || m.Forward.ID != id || !bytes.Equal(m.Forward.Body, body)) {
			t.Fatalf("message %d: %+v", i, m)
		}
		if i%2 == 1 && (m.Digest == nil || m.Digest.Term != id || len(m.Digest.Jobs) != 1) {
			t.Fatalf("message %d: %+v", i, m)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		decoder := NewDecoder[wire.PeerMessage]()
		for len(in) > 0 {
			n := min(len(in), 3)
			if _, err := decoder.Feed(in[:n]); err != nil {
				return
			}
			in = in[n:]
		}
	})
}
