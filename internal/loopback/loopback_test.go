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
	a, err := c.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestClaimsAreApart has several claims at a time hand out addresses: none twice, and none from
// the range of ports that the system assigns.
func TestClaimsAreApart(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		c := newClaim(t)
		for range 20 {
			a := nextAddress(t, c)
			if seen[a] {
				t.Errorf("%s was handed out twice", a)
			}
			seen[a] = true
			if at, err := net.ResolveTCPAddr("tcp4", a); err != nil || at.Port >= 32768 {
				t.Errorf("%s: port of the system's range, %v", a, err)
			}
		}
	}
}

// TestLeftOverListener has a process of an earlier claim still listen on the next port.
func TestLeftOverListener(t *testing.T) {
	c := newClaim(t)
	left, err := net.Listen("tcp4", address(c.ip, lockPort+1))
	if err != nil {
		t.Fatal(err)
	}
	defer left.Close()
	if a := nextAddress(t, c); a == left.Addr().String() {
		t.Errorf("%s is in use", a)
	}
}

// TestClosedClaim frees its IP address.
func TestClosedClaim(t *testing.T) {
	c := newClaim(t)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", address(c.ip, lockPort))
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
}
