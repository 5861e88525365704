package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// TestHealth asks controllers that the state service does not answer whether
// they take users. One that is alone with that does not, be it that the others
// reach the service or that it hears none of them; in a general outage all do.
func TestHealth(t *testing.T) {
	for _, tc := range []struct {
		name   string
		peers  func(b *harness) // what is heard of the others, several times a second
		status int
	}{
		{"the others reach it", func(b *harness) { heardFrom(b, true) }, 503},
		{"the others do not reach it", func(b *harness) { heardFrom(b, false) }, 200},
		{"the others are not heard", func(*harness) {}, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t, someTypes)
			b.c.cfg.Peers = []config.Peer{{Name: "n1", Zone: "b"}}
			b.c.peers["n1"] = &peerState{}
			heardFrom(b, true)
			b.down = true
			for end := b.now + 2*b.c.ttl(); b.now < end; {
				tc.peers(b)
				b.run(200 * time.Millisecond)
			}
			if a := b.ask("GET", "/healthz", ""); a.Status != tc.status {
				t.Errorf("answered %d, want %d", a.Status, tc.status)
			}
			b.down = false
			heardFrom(b, true)
			b.run(b.c.ttl())
			if a := b.ask("GET", "/healthz", ""); a.Status != 200 {
				t.Errorf("answered %d once the service is back, want 200", a.Status)
			}
		})
	}
}

func heardFrom(b *harness, storeOK bool) {
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{StoreOK: storeOK}}})
}
