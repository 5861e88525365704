package cancellation

import (
	"slices"
	"testing"
	"time"
)

const (
	requestTimeout = 2 * time.Second
	retention      = 30 * time.Second
)

// newTestRegistry makes a registry in which two requests wait for job "a", a second apart.
func newTestRegistry() *Registry {
	r := New(requestTimeout, retention)
	r.Add("a", 7, 1, 10*time.Second)
	r.Add("a", 5, 2, 11*time.Second)
	return r
}

func expect(t *testing.T, what string, got []RequestID, want ...RequestID) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: requests %v, want %v", what, got, want)
	}
}

func TestEndAnswersEachRequestOnce(t *testing.T) {
	r := newTestRegistry()
	r.Add("b", 1, 3, 10*time.Second)
	if v := r.Version("a"); v != 7 {
		t.Errorf("version %d, want the highest", v)
	}
	expect(t, "end", r.End("a"), 1, 2)
	expect(t, "second end", r.End("a"))
	expect(t, "end of a job that nobody asked about", r.End("c"))
	if jobs := r.Jobs(); !slices.Equal(jobs, []string{"b"}) || r.Version("a") != 0 {
		t.Errorf("remembered: %v", jobs)
	}
}

func TestDismissKeepsTheCancellation(t *testing.T) {
	r := newTestRegistry()
	expect(t, "dismissed", r.Dismiss("a"), 1, 2)
	expect(t, "dismissed again", r.Dismiss("a"))
	if r.NeedsConfirmation("a") || r.Version("a") != 7 {
		t.Errorf("needs confirmation: %v, version %d", r.NeedsConfirmation("a"), r.Version("a"))
	}
	r.Add("a", 8, 3, 12*time.Second)
	if !r.NeedsConfirmation("a") {
		t.Error("needs no confirmation for a user who came back")
	}
	expect(t, "end", r.End("a"), 3)
}

func TestExpire(t *testing.T) {
	r := newTestRegistry()
	expect(t, "before", r.Expire(10*time.Second+requestTimeout-1))
	expect(t, "first", r.Expire(10*time.Second+requestTimeout), 1)
	expect(t, "second", r.Expire(11*time.Second+requestTimeout), 2)
	r.Expire(11*time.Second + retention)
	if len(r.Jobs()) != 1 {
		t.Error("forgotten too early")
	}
	r.Expire(11*time.Second + retention + 1)
	if len(r.Jobs()) != 0 {
		t.Error("not forgotten")
	}
}

func TestConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name      string
		meanwhile func(r *Registry) []RequestID
		answered  []RequestID // of them, meanwhile
		finish    func(*Registry, *Confirmation) []RequestID
		finished  []RequestID
		left      int // jobs remembered afterwards
	}{
		{"succeeds", nil, nil, (*Registry).Confirmed, []RequestID{1, 2}, 0},
		{"fails", nil, nil, (*Registry).NotConfirmed, []RequestID{1, 2}, 1},
		{"nobody is dismissed meanwhile", func(r *Registry) []RequestID { return r.Dismiss("a") }, nil, (*Registry).Confirmed, []RequestID{1, 2}, 0},
		{"no wait is over meanwhile", func(r *Registry) []RequestID { return r.Expire(time.Hour) }, nil, (*Registry).Confirmed, []RequestID{1, 2}, 0},
		{"the job's end comes first", func(r *Registry) []RequestID { return r.End("a") }, []RequestID{1, 2}, (*Registry).Confirmed, nil, 0},
		{"the job's end comes first, then another request", func(r *Registry) []RequestID {
			ids := r.End("a")
			r.Add("a", 9, 3, time.Minute)
			return ids
		}, []RequestID{1, 2}, (*Registry).Confirmed, nil, 1},
		{"another user asks meanwhile", func(r *Registry) []RequestID {
			r.Add("a", 9, 3, time.Minute)
			return nil
		}, nil, (*Registry).Confirmed, []RequestID{1, 2, 3}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRegistry()
			confirmation := r.Confirm("a")
			if r.NeedsConfirmation("a") {
				t.Error("needs a confirmation while one is under way")
			}
			if tc.meanwhile != nil {
				expect(t, "meanwhile", tc.meanwhile(r), tc.answered...)
			}
			expect(t, "finished", tc.finish(r, confirmation), tc.finished...)
			if n := len(r.Jobs()); n != tc.left {
				t.Errorf("%d jobs remembered, want %d", n, tc.left)
			}
		})
	}
}

// TestAcknowledgeOnce keeps the first time, from which the grace period counts.
func TestAcknowledgeOnce(t *testing.T) {
	const gracePeriod, userRetryPeriod = 30 * time.Second, 60 * time.Second
	var p Progress
	p.Acknowledge(10 * time.Second)
	p.Acknowledge(20 * time.Second)
	if p.Overdue(28*time.Second, gracePeriod, userRetryPeriod) {
		t.Error("overdue at three fifths of the grace period")
	}
	if !p.Overdue(28*time.Second+1, gracePeriod, userRetryPeriod) {
		t.Error("not overdue after three fifths of the grace period")
	}
}

// TestTerminated counts from when the last task has terminated, anew after another one was found.
func TestTerminated(t *testing.T) {
	var p Progress
	p.UpdateTasks(false, 10*time.Second)
	p.UpdateTasks(false, 11*time.Second)
	if !p.Terminated() || !p.TerminatedFor(time.Second, 11*time.Second+1) {
		t.Error("not terminated since the first time that no task was left")
	}
	p.UpdateTasks(true, 12*time.Second)
	if p.Terminated() {
		t.Error("terminated with a task left")
	}
	p.UpdateTasks(false, 13*time.Second)
	if p.TerminatedFor(time.Second, 14*time.Second) {
		t.Error("terminated since before a task was found")
	}
}

// TestAnnounceOnce announces a termination once.
func TestAnnounceOnce(t *testing.T) {
	var p Progress
	if !p.Announce() || p.Announce() {
		t.Error("not announced exactly once")
	}
}
