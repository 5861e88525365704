package cancellation

import (
	"slices"
	"testing"
	"time"
)

const (
	patience = 2 * time.Second
	memory   = 30 * time.Second
)

// waitingFor is a set in which two requests wait for a job, a second apart.
func waitingFor(job string) *Registry {
	w := New(patience, memory)
	w.Add(job, 7, 1, 10*time.Second)
	w.Add(job, 5, 2, 11*time.Second)
	return w
}

func expect(t *testing.T, what string, got []RequestID, want ...RequestID) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: requests %v, want %v", what, got, want)
	}
}

func TestEndAnswersEachRequestOnce(t *testing.T) {
	w := waitingFor("a")
	w.Add("b", 1, 3, 10*time.Second)
	if v := w.Version("a"); v != 7 {
		t.Errorf("version %d, want the highest", v)
	}
	expect(t, "end", w.End("a"), 1, 2)
	expect(t, "second end", w.End("a"))
	expect(t, "end of a job that nobody asked about", w.End("c"))
	if jobs := w.Jobs(); !slices.Equal(jobs, []string{"b"}) || w.Version("a") != 0 {
		t.Errorf("remembered: %v", jobs)
	}
}

func TestDismissKeepsTheCancellation(t *testing.T) {
	w := waitingFor("a")
	expect(t, "dismissed", w.Dismiss("a"), 1, 2)
	expect(t, "dismissed again", w.Dismiss("a"))
	if w.NeedsConfirmation("a") || w.Version("a") != 7 {
		t.Errorf("wanted %v, version %d", w.NeedsConfirmation("a"), w.Version("a"))
	}
	w.Add("a", 8, 3, 12*time.Second)
	if !w.NeedsConfirmation("a") {
		t.Error("not wanted by a user who came back")
	}
	expect(t, "end", w.End("a"), 3)
}

func TestExpire(t *testing.T) {
	w := waitingFor("a")
	expect(t, "before", w.Expire(10*time.Second+patience-1))
	expect(t, "first", w.Expire(10*time.Second+patience), 1)
	expect(t, "second", w.Expire(11*time.Second+patience), 2)
	w.Expire(11*time.Second + memory)
	if len(w.Jobs()) != 1 {
		t.Error("forgotten too early")
	}
	w.Expire(11*time.Second + memory + 1)
	if len(w.Jobs()) != 0 {
		t.Error("not forgotten")
	}
}

func TestConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name      string
		meanwhile func(w *Registry) []RequestID
		answered  []RequestID // of them, meanwhile
		succeeded bool
		settled   []RequestID
		left      int // jobs remembered afterwards
	}{
		{"succeeds", nil, nil, true, []RequestID{1, 2}, 0},
		{"fails", nil, nil, false, []RequestID{1, 2}, 1},
		{"nobody is dismissed meanwhile", func(w *Registry) []RequestID { return w.Dismiss("a") }, nil, true, []RequestID{1, 2}, 0},
		{"no wait is over meanwhile", func(w *Registry) []RequestID { return w.Expire(time.Hour) }, nil, true, []RequestID{1, 2}, 0},
		{"the job's end comes first", func(w *Registry) []RequestID { return w.End("a") }, []RequestID{1, 2}, true, nil, 0},
		{"the job's end comes first, then a question", func(w *Registry) []RequestID {
			ids := w.End("a")
			w.Add("a", 9, 3, time.Minute)
			return ids
		}, []RequestID{1, 2}, true, nil, 1},
		{"another user asks meanwhile", func(w *Registry) []RequestID {
			w.Add("a", 9, 3, time.Minute)
			return nil
		}, nil, true, []RequestID{1, 2, 3}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := waitingFor("a")
			c := w.Confirm("a")
			if w.NeedsConfirmation("a") {
				t.Error("wanted while it is being confirmed")
			}
			if tc.meanwhile != nil {
				expect(t, "meanwhile", tc.meanwhile(w), tc.answered...)
			}
			expect(t, "settled", w.Settle(c, tc.succeeded), tc.settled...)
			if n := len(w.Jobs()); n != tc.left {
				t.Errorf("%d jobs remembered, want %d", n, tc.left)
			}
		})
	}
}
