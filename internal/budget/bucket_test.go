package budget

import (
	"testing"
	"time"
)

// TestRefusedCallerTakesNoTokens checks that a caller that is refused does not pay: it once starved
// every later provisioning request, since each refused request deepened the debt.
func TestRefusedCallerTakesNoTokens(t *testing.T) {
	bucket := New(8, 8)
	now := time.Unix(1e9, 0)
	for i := range 8 {
		if wait, ok := bucket.ReserveAt(now, 1, time.Second); !ok || wait > 0 {
			t.Fatalf("token %d of the burst: wait %v, ok %v", i, wait, ok)
		}
	}
	for range 1000 {
		if _, ok := bucket.ReserveAt(now, 1, 50*time.Millisecond); ok {
			t.Fatal("an empty bucket gave a token")
		}
	}
	if wait, ok := bucket.ReserveAt(now.Add(125*time.Millisecond), 1, 0); !ok || wait != 0 {
		t.Fatalf("a token's time later: wait %v, ok %v", wait, ok)
	}
}

// TestWaitsAddUp checks that callers wait behind each other.
func TestWaitsAddUp(t *testing.T) {
	bucket := New(10, 1)
	now := time.Unix(1e9, 0)
	for caller := range 4 {
		want := time.Duration(caller) * 100 * time.Millisecond
		wait, ok := bucket.ReserveAt(now, 1, time.Second)
		if !ok || wait.Round(time.Millisecond) != want {
			t.Fatalf("caller %d: wait %v, ok %v, want %v", caller, wait, ok, want)
		}
	}
}

// TestUrgentUse checks that urgent use is missing for the others, at most a burst of it.
func TestUrgentUse(t *testing.T) {
	bucket := New(10, 2)
	now := time.Unix(1e9, 0)
	for range 10 {
		bucket.SpendAt(now, 1)
	}
	if wait, ok := bucket.ReserveAt(now, 1, time.Second); !ok || wait.Round(time.Millisecond) != 300*time.Millisecond {
		t.Fatalf("after urgent use: wait %v, ok %v", wait, ok)
	}
}
