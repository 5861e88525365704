package loopback

import (
	"errors"
	"net"
	"testing"
)

func newClaim(t *testing.T) *Claim {
	t.Helper()
	c, err := NewClaim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return c
}

func nextAddress(t *testing.T, c *Claim) string {
	t.Helper()
	next, err := c.Address()
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestClaimsAreDisjoint takes addresses from several claims at a time. No address may be returned
// twice, and none may have a port from the range that the system assigns.
func TestClaimsAreDisjoint(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		c := newClaim(t)
		for range 20 {
			next := nextAddress(t, c)
			if seen[next] {
				t.Errorf("address %s was returned twice", next)
			}
			seen[next] = true
			if resolved, err := net.ResolveTCPAddr("tcp4", next); err != nil || resolved.Port >= 32768 {
				t.Errorf("address %s (error %v): want a port below 32768", next, err)
			}
		}
	}
}

// TestSkipsPortInUse checks that a claim skips a port on which a process of an earlier claim still
// listens.
func TestSkipsPortInUse(t *testing.T) {
	c := newClaim(t)
	leftover, err := net.Listen("tcp4", address(c.ip, lockPort+1))
	if err != nil {
		t.Fatal(err)
	}
	defer leftover.Close()
	if next := nextAddress(t, c); next == leftover.Addr().String() {
		t.Errorf("address %s is in use, want a free one", next)
	}
}

// TestClosedClaim checks that closing a claim releases its IP address.
func TestClosedClaim(t *testing.T) {
	c := newClaim(t)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", address(c.ip, lockPort))
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}
