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

// newTestRegistry returns a registry in which two requests, made a second apart, wait for job "a".
func newTestRegistry() *Registry {
	r := New(requestTimeout, retention)
	r.Add("a", 7, 1, 10*time.Second)
	r.Add("a", 5, 2, 11*time.Second)
	return r
}

func checkRequests(t *testing.T, what string, got []RequestID, want ...RequestID) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got requests %v, want %v", what, got, want)
	}
}

func TestJobEndedReturnsEachRequestOnce(t *testing.T) {
	r := newTestRegistry()
	r.Add("b", 1, 3, 10*time.Second)
	if v := r.RecordVersion("a"); v != 7 {
		t.Errorf("got version %d, want 7, the highest", v)
	}
	checkRequests(t, "end", r.JobEnded("a"), 1, 2)
	checkRequests(t, "second end", r.JobEnded("a"))
	checkRequests(t, "end of a job without a registered cancellation", r.JobEnded("c"))
	if jobs := r.Jobs(); !slices.Equal(jobs, []string{"b"}) || r.RecordVersion("a") != 0 {
		t.Errorf("got registered jobs %v, want only b, and version 0 for a", jobs)
	}
}

func TestTakeWaitersKeepsCancellation(t *testing.T) {
	r := newTestRegistry()
	checkRequests(t, "waiters taken", r.TakeWaiters("a"), 1, 2)
	checkRequests(t, "waiters taken again", r.TakeWaiters("a"))
	if r.NeedsConfirmation("a") || r.RecordVersion("a") != 7 {
		t.Errorf("got NeedsConfirmation %v and version %d, want false and 7", r.NeedsConfirmation("a"), r.RecordVersion("a"))
	}
	r.Add("a", 8, 3, 12*time.Second)
	if !r.NeedsConfirmation("a") {
		t.Error("NeedsConfirmation: got false after the user has retried, want true")
	}
	checkRequests(t, "end", r.JobEnded("a"), 3)
}

func TestExpire(t *testing.T) {
	r := newTestRegistry()
	checkRequests(t, "expired before any timeout", r.Expire(10*time.Second+requestTimeout-1))
	checkRequests(t, "expired at the first timeout", r.Expire(10*time.Second+requestTimeout), 1)
	checkRequests(t, "expired at the second timeout", r.Expire(11*time.Second+requestTimeout), 2)
	r.Expire(11*time.Second + retention)
	if len(r.Jobs()) != 1 {
		t.Error("the cancellation was removed within the retention period, want it kept")
	}
	r.Expire(11*time.Second + retention + 1)
	if len(r.Jobs()) != 0 {
		t.Error("the cancellation was kept after the retention period, want it removed")
	}
}

func TestConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name         string
		meanwhile    func(r *Registry) []RequestID
		meanwhileIDs []RequestID // returned by meanwhile
		finish       func(*Registry, *Confirmation) []RequestID
		finishIDs    []RequestID // returned by finish
		wantJobs     int         // jobs registered afterwards
	}{
		{"succeeds", nil, nil, (*Registry).ConfirmationSucceeded, []RequestID{1, 2}, 0},
		{"fails", nil, nil, (*Registry).ConfirmationFailed, []RequestID{1, 2}, 1},
		{"waiters are not taken meanwhile", func(r *Registry) []RequestID { return r.TakeWaiters("a") }, nil, (*Registry).ConfirmationSucceeded, []RequestID{1, 2}, 0},
		{"requests do not expire meanwhile", func(r *Registry) []RequestID { return r.Expire(time.Hour) }, nil, (*Registry).ConfirmationSucceeded, []RequestID{1, 2}, 0},
		{"the job's end comes first", func(r *Registry) []RequestID { return r.JobEnded("a") }, []RequestID{1, 2}, (*Registry).ConfirmationSucceeded, nil, 0},
		{"the job's end comes first, then another request", func(r *Registry) []RequestID {
			ids := r.JobEnded("a")
			r.Add("a", 9, 3, time.Minute)
			return ids
		}, []RequestID{1, 2}, (*Registry).ConfirmationSucceeded, nil, 1},
		{"another request is added meanwhile", func(r *Registry) []RequestID {
			r.Add("a", 9, 3, time.Minute)
			return nil
		}, nil, (*Registry).ConfirmationSucceeded, []RequestID{1, 2, 3}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRegistry()
			confirmation := r.BeginConfirmation("a")
			if r.NeedsConfirmation("a") {
				t.Error("NeedsConfirmation: got true while a confirmation is in progress, want false")
			}
			if tc.meanwhile != nil {
				checkRequests(t, "meanwhile", tc.meanwhile(r), tc.meanwhileIDs...)
			}
			checkRequests(t, "finished", tc.finish(r, confirmation), tc.finishIDs...)
			if n := len(r.Jobs()); n != tc.wantJobs {
				t.Errorf("got %d registered jobs, want %d", n, tc.wantJobs)
			}
		})
	}
}

// TestAcknowledgeOnce checks that the grace period counts from the first acknowledgement.
func TestAcknowledgeOnce(t *testing.T) {
	const gracePeriod, userRetryPeriod = 30 * time.Second, 60 * time.Second
	var p Progress
	p.Acknowledge(10 * time.Second)
	p.Acknowledge(20 * time.Second)
	if p.Overdue(28*time.Second, gracePeriod, userRetryPeriod) {
		t.Error("got overdue at three fifths of the grace period, want not overdue")
	}
	if !p.Overdue(28*time.Second+1, gracePeriod, userRetryPeriod) {
		t.Error("got not overdue after three fifths of the grace period, want overdue")
	}
}

// TestTerminated checks that the time without tasks counts from the termination of the last task,
// and starts again if another task is found later.
func TestTerminated(t *testing.T) {
	var p Progress
	p.UpdateTasks(false, 10*time.Second)
	p.UpdateTasks(false, 11*time.Second)
	if !p.Terminated() || !p.TerminatedFor(time.Second, 11*time.Second+1) {
		t.Error("got not terminated for over 1 s, want the time to count from the first update without tasks")
	}
	p.UpdateTasks(true, 12*time.Second)
	if p.Terminated() {
		t.Error("got terminated with a task left, want not terminated")
	}
	p.UpdateTasks(false, 13*time.Second)
	if p.TerminatedFor(time.Second, 14*time.Second) {
		t.Error("got terminated for over 1 s, want the time to restart when a task is found")
	}
}

// TestAnnounceOnce checks that a termination is announced only once.
func TestAnnounceOnce(t *testing.T) {
	var p Progress
	if !p.AnnounceOnce() || p.AnnounceOnce() {
		t.Error("got two announcements or none, want exactly one")
	}
}
