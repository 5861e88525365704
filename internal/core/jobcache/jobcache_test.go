package jobcache

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPutOpenEvictsTheOldest keeps the newest open jobs, however often they are replaced.
func TestPutOpenEvictsTheOldest(t *testing.T) {
	c := New(2)
	c.PutOpen("a", &OpenJob{Version: 1})
	c.PutOpen("b", &OpenJob{Version: 2})
	c.PutOpen("b", &OpenJob{Version: 3})
	c.PutOpen("c", &OpenJob{Version: 4})
	if c.Open("a") != nil {
		t.Error("the oldest job is not evicted")
	}
	if b := c.Open("b"); b == nil || b.Version != 3 {
		t.Errorf("b is known as %+v, want version 3", b)
	}
	if c.Open("c") == nil {
		t.Error("the newest job is evicted")
	}
}

// TestPutOpenAfterForget never evicts the job that is added, though its name is in the order
// from before it was forgotten.
func TestPutOpenAfterForget(t *testing.T) {
	c := New(1)
	c.PutOpen("a", &OpenJob{Version: 1})
	c.ForgetOpen("a")
	c.PutOpen("a", &OpenJob{Version: 2})
	if a := c.Open("a"); a == nil || a.Version != 2 {
		t.Errorf("known as %+v, want version 2", a)
	}
}

// TestPutFinal forgets the open record, and evicts the oldest final one.
func TestPutFinal(t *testing.T) {
	c := New(1)
	done := records.Final{Status: wire.StatusDone, Tasks: 3}
	c.PutOpen("a", &OpenJob{Version: 1})
	c.PutFinal("a", done)
	if c.Open("a") != nil {
		t.Error("an ended job is still open")
	}
	if final, ended := c.Final("a"); !ended || final != done {
		t.Errorf("known as %+v, %v", final, ended)
	}
	c.PutFinal("b", done)
	if _, ended := c.Final("a"); ended {
		t.Error("the oldest final record is not evicted")
	}
}

// TestPutNewer keeps what was learned while a read was under way.
func TestPutNewer(t *testing.T) {
	for _, tc := range []struct {
		name      string
		meanwhile func(c *Cache)
		version   uint64 // of the open job that is known then; 0 for none
		ended     bool
	}{
		{"nothing", func(*Cache) {}, 5, false},
		{"an older version", func(c *Cache) { c.PutOpen("a", &OpenJob{Version: 4}) }, 5, false},
		{"a newer version", func(c *Cache) { c.PutOpen("a", &OpenJob{Version: 6}) }, 6, false},
		{"the end", func(c *Cache) { c.PutFinal("a", records.Final{Status: wire.StatusDone}) }, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(10)
			tc.meanwhile(c)
			open, final := c.PutNewer("a", &OpenJob{Version: 5})
			if (final != nil) != tc.ended {
				t.Errorf("ended: %v, want %v", final != nil, tc.ended)
			}
			if tc.version == 0 {
				if open != nil || c.Open("a") != nil {
					t.Error("an ended job is open again")
				}
				return
			}
			if open == nil || open.Version != tc.version || c.Open("a") != open {
				t.Errorf("known as %+v, want version %d", open, tc.version)
			}
		})
	}
}
