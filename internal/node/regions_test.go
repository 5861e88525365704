package node

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/loopback/loopbacktest"
	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), text)
}

// TestRegionStreams has a stranger and another region's controller connect to the address for
// other regions: the stranger's stream ends with one log line however often it comes, the other
// one is kept open.
func TestRegionStreams(t *testing.T) {
	cfg := testSettings(t)
	addresses := loopbacktest.Addresses(t, 2)
	listen := addresses[0]
	p := &plan.Plan{Regions: []plan.Region{{Name: "north", Controllers: []string{listen}}, {Name: "south", Controllers: []string{addresses[1]}}}}
	log := &lockedBuffer{}
	node := New(cfg, nil, slog.New(slog.NewTextHandler(log, nil)))
	node.JoinRegions(p, &config.Operator{Region: "north", RegionListen: listen})
	failed := make(chan error, 1)
	go func() { failed <- node.Run() }()
	dial := func() net.Conn {
		for {
			select {
			case err := <-failed:
				t.Fatal(err)
			default:
			}
			if conn, err := net.Dial("tcp4", listen); err == nil {
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				return conn
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for range 3 {
		stranger := dial()
		if _, err := stranger.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(stranger); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatalf("the stranger's stream stays open: %v", err)
		}
		stranger.Close()
	}
	link := peer.NewLink[wire.RegionMessage](listen, time.Second, 4, slog.New(slog.DiscardHandler))
	for range 5 {
		link.Send(&wire.RegionMessage{Version: wire.RegionVersion + 1, From: "south", To: "north", Run: 1, Sequence: 1})
	}
	ours := dial()
	defer ours.Close()
	if got := log.count("region stream refused"); got != 1 {
		t.Errorf("%d log lines of strangers' streams, want 1", got)
	}
}
