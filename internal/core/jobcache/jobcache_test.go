package jobcache

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPutOpenEvictsTheOldest checks that the oldest open job is evicted, and that replacing a job
// does not count as adding one.
func TestPutOpenEvictsTheOldest(t *testing.T) {
	c := New(2)
	c.PutOpen("a", &OpenJob{Version: 1})
	c.PutOpen("b", &OpenJob{Version: 2})
	c.PutOpen("b", &OpenJob{Version: 3})
	c.PutOpen("c", &OpenJob{Version: 4})
	if c.Open("a") != nil {
		t.Error("the oldest job is cached, want it evicted")
	}
	if b := c.Open("b"); b == nil || b.Version != 3 {
		t.Errorf("cached job b: got %+v, want version 3", b)
	}
	if c.Open("c") == nil {
		t.Error("the newest job is not cached")
	}
}

// TestPutOpenAfterRemoval adds a job again after its removal. The job must not be evicted, although
// the eviction order still contains its earlier entry.
func TestPutOpenAfterRemoval(t *testing.T) {
	c := New(1)
	c.PutOpen("a", &OpenJob{Version: 1})
	c.RemoveOpen("a")
	c.PutOpen("a", &OpenJob{Version: 2})
	if a := c.Open("a"); a == nil || a.Version != 2 {
		t.Errorf("cached job a: got %+v, want version 2", a)
	}
}

// TestPutFinal checks that PutFinal removes the open record and evicts the oldest final record.
func TestPutFinal(t *testing.T) {
	c := New(1)
	done := records.Final{Status: wire.StatusDone, Tasks: 3}
	c.PutOpen("a", &OpenJob{Version: 1})
	c.PutFinal("a", done)
	if c.Open("a") != nil {
		t.Error("the open record of an ended job is cached, want it removed")
	}
	if final, ended := c.Final("a"); !ended || final != done {
		t.Errorf("final record: got %+v, cached %v; want done with 3 tasks, true", final, ended)
	}
	c.PutFinal("b", done)
	if _, ended := c.Final("a"); ended {
		t.Error("the oldest final record is cached, want it evicted")
	}
}

// TestPutIfNewer checks that a newer record, stored while a read was in flight, is kept.
func TestPutIfNewer(t *testing.T) {
	for _, tc := range []struct {
		name      string
		meanwhile func(c *Cache)
		version   uint64 // of the open job cached afterwards; 0 for none
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
			open, final := c.PutIfNewer("a", &OpenJob{Version: 5})
			if (final != nil) != tc.ended {
				t.Errorf("final record returned: %v, want %v", final != nil, tc.ended)
			}
			if tc.version == 0 {
				if open != nil || c.Open("a") != nil {
					t.Error("the open record of an ended job is cached or returned, want none")
				}
				return
			}
			if open == nil || open.Version != tc.version || c.Open("a") != open {
				t.Errorf("open job: got %+v, want version %d returned and cached", open, tc.version)
			}
		})
	}
}
