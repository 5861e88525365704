package budget

import (
	"testing"
	"time"
)

// TestRefusedCallerTakesNoTokens checks that a refused reservation takes no tokens. When it did,
// each refused request increased the bucket's debt, and all later provisioning requests starved.
func TestRefusedCallerTakesNoTokens(t *testing.T) {
	bucket := New(8, 8)
	now := time.Unix(1e9, 0)
	for i := range 8 {
		if wait, ok := bucket.ReserveAt(now, 1, time.Second); !ok || wait > 0 {
			t.Fatalf("token %d of the burst: got wait %v, ok %v, want 0, true", i, wait, ok)
		}
	}
	for range 1000 {
		if _, ok := bucket.ReserveAt(now, 1, 50*time.Millisecond); ok {
			t.Fatal("reservation from an empty bucket succeeded, want it refused")
		}
	}
	if wait, ok := bucket.ReserveAt(now.Add(125*time.Millisecond), 1, 0); !ok || wait != 0 {
		t.Fatalf("after the refill time of one token: got wait %v, ok %v, want 0, true", wait, ok)
	}
}

// TestWaitsAddUp checks that each caller waits for the tokens of all callers before it.
func TestWaitsAddUp(t *testing.T) {
	bucket := New(10, 1)
	now := time.Unix(1e9, 0)
	for caller := range 4 {
		want := time.Duration(caller) * 100 * time.Millisecond
		wait, ok := bucket.ReserveAt(now, 1, time.Second)
		if !ok || wait.Round(time.Millisecond) != want {
			t.Fatalf("caller %d: got wait %v, ok %v, want %v, true", caller, wait, ok, want)
		}
	}
}

// TestUrgentUse checks that SpendAt delays later callers, by a debt of at most one burst.
func TestUrgentUse(t *testing.T) {
	bucket := New(10, 2)
	now := time.Unix(1e9, 0)
	for range 10 {
		bucket.SpendAt(now, 1)
	}
	if wait, ok := bucket.ReserveAt(now, 1, time.Second); !ok || wait.Round(time.Millisecond) != 300*time.Millisecond {
		t.Fatalf("reservation after SpendAt: got wait %v, ok %v, want 300ms, true", wait, ok)
	}
}
