package peer

import (
	"bytes"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// readMessages reads count messages from a connection, in reads that end within messages.
func readMessages(t *testing.T, conn net.Conn, count int) []*wire.PeerMessage {
	t.Helper()
	decoder := NewDecoder[wire.PeerMessage]()
	var messages []*wire.PeerMessage
	buf := make([]byte, 777)
	for len(messages) < count {
		size, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decoder.Feed(buf[:size])
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, decoded...)
	}
	return messages
}

// TestLinkDelivers checks that messages sent over a TCP connection arrive complete and in order.
func TestLinkDelivers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	link := NewLink[wire.PeerMessage](listener.Addr().String(), 5*time.Second, 64, slog.New(slog.DiscardHandler))
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
	for i, m := range readMessages(t, conn, 40) {
		id := uint64(i/2 + 1)
		if i%2 == 0 && (m.Forward == nil || m.Forward.ID != id || !bytes.Equal(m.Forward.Body, body)) {
			t.Fatalf("message %d: got %+v, want the Forward that was sent", i, m)
		}
		if i%2 == 1 && (m.Digest == nil || m.Digest.Term != id || len(m.Digest.Jobs) != 1) {
			t.Fatalf("message %d: got %+v, want the Digest that was sent", i, m)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, input []byte) {
		decoder := NewDecoder[wire.PeerMessage]()
		for len(input) > 0 {
			size := min(len(input), 3)
			if _, err := decoder.Feed(input[:size]); err != nil {
				return
			}
			input = input[size:]
		}
	})
}
