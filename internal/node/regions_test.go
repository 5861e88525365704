package node

import (
	"bytes"
	"io"
	"log/slog"
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

// lockedBuffer holds log output. It may be read while the node logs.
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

// TestInvalidRegionMessages sends HTTP and then another region's messages to the address for other
// regions. The node must close each HTTP connection, and log an invalid message only once although
// the HTTP client reconnects.
func TestInvalidRegionMessages(t *testing.T) {
	cfg := loopbackSettings(t)
	addresses := loopbacktest.Addresses(t, 2)
	listen := addresses[0]
	regions := &plan.Plan{Regions: []plan.Region{
		{Name: "north", Controllers: []string{listen}},
		{Name: "south", Controllers: []string{addresses[1]}},
	}}
	log := &lockedBuffer{}
	node := New(cfg, nil, slog.New(slog.NewTextHandler(log, nil)))
	node.JoinRegions(regions, &config.OperatorSettings{Region: "north", RegionListen: listen})
	running := startNode(node)
	for range 3 {
		httpClient := running.dial(t, listen)
		if _, err := httpClient.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(httpClient); err != nil && !isReset(err) {
			t.Fatalf("connection with HTTP to the region address: got error %v, want it closed", err)
		}
	}
	link := peer.NewLink[wire.RegionMessage](listen, time.Second, 4, slog.New(slog.DiscardHandler))
	for range 5 {
		link.Send(&wire.RegionMessage{Version: wire.RegionVersion + 1, From: "south", To: "north", Run: 1, Sequence: 1})
	}
	running.dial(t, listen)
	if got := log.count("region connection closed: invalid message"); got != 1 {
		t.Errorf("log lines for invalid messages: got %d, want 1", got)
	}
}
