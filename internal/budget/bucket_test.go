package budget

import (
	"testing"
	"time"
)

// A caller that is turned away must not pay: it once starved every later
// rental, since each refused request deepened the debt.
func TestRefusedCallerTakesNoTokens(t *testing.T) {
	bucket := New(8, 8)
	now := time.Unix(1e9, 0)
	for i := 0; i < 8; i++ {
		if wait, ok := bucket.ReserveAt(now, 1, false, time.Second); !ok || wait > 0 {
			t.Fatalf("token %d of the burst: wait %v, ok %v", i, wait, ok)
		}
	}
	for i := 0; i < 1000; i++ {
		if _, ok := bucket.ReserveAt(now, 1, false, 50*time.Millisecond); ok {
			t.Fatal("an empty bucket gave a token")
		}
	}
	if wait, ok := bucket.ReserveAt(now.Add(125*time.Millisecond), 1, false, 0); !ok || wait != 0 {
		t.Fatalf("a token's time later: wait %v, ok %v", wait, ok)
	}
}

func TestWaitsAddUp(t *testing.T) {
	bucket := New(10, 1)
	now := time.Unix(1e9, 0)
	for i, want := range []time.Duration{0, 100, 200, 300} {
		wait, ok := bucket.ReserveAt(now, 1, false, time.Second)
		if !ok || wait.Round(time.Millisecond) != want*time.Millisecond {
			t.Fatalf("taker %d: wait %v, ok %v", i, wait, ok)
		}
	}
	if wait, ok := bucket.ReserveAt(now, 1, true, 0); !ok || wait != 0 {
		t.Fatalf("an urgent taker waits %v", wait)
	}
}
