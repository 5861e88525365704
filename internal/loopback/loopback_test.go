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

// TestClaimsAreApart takes addresses from several claims at a time. No address is handed out twice, and
// none has a port of the range that the system assigns.
func TestClaimsAreApart(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		c := newClaim(t)
		for range 20 {
			next := nextAddress(t, c)
			if seen[next] {
				t.Errorf("%s was handed out twice", next)
			}
			seen[next] = true
			if resolved, err := net.ResolveTCPAddr("tcp4", next); err != nil || resolved.Port >= 32768 {
				t.Errorf("%s: port of the system's range, %v", next, err)
			}
		}
	}
}

// TestLeftOverListener skips a port on which a process of an earlier claim still listens.
func TestLeftOverListener(t *testing.T) {
	c := newClaim(t)
	left, err := net.Listen("tcp4", address(c.ip, lockPort+1))
	if err != nil {
		t.Fatal(err)
	}
	defer left.Close()
	if next := nextAddress(t, c); next == left.Addr().String() {
		t.Errorf("%s is in use", next)
	}
}

// TestClosedClaim closes a claim. Its IP address is free again.
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
