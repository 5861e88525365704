package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// users stands in for the people who submit, query and cancel jobs.
type users struct {
	w    *World
	jobs map[string]*userJob
	odds int // jobs submitted to be refused

	unsent map[string]*jobTruth // wait for those that they name to be accepted

	storm       late // users ask stormFactor times as often
	stormFactor float64
}

// userJob is what a job's user has been told.
type userJob struct {
	id        string
	accepted  bool
	early     bool          // submitted without waiting for those that it names
	known     time.Duration // was told that it is accepted
	refused   int
	final     wire.JobState
	asked     time.Duration // to cancel
	cancelled time.Duration // was told so
	last      wire.JobStatus
	answered  time.Duration
	finalAt   time.Duration // was told the final state
	down      time.Duration // how long nobody could be served before, see unserved
	hopeless  bool          // nobody could be for nearly all of the minute of trying
}

func newUsers(w *World) *users {
	return &users{w: w, jobs: map[string]*userJob{}, unsent: map[string]*jobTruth{}}
}

func (u *users) names() []string {
	var out []string
	for id := range u.jobs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// probesLost is how long the load balancer takes to notice that a controller does not
// answer its probes.
const probesLost = 3 * time.Second

// pick stands in for the load balancer.
func (u *users) pick() *node {
	var up []*node
	for _, n := range u.w.nodes {
		if n.alive && !(u.w.now < n.paused && u.w.now-n.pausedAt > probesLost) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return u.w.nodes[0]
	}
	return up[u.w.rng.IntN(len(up))]
}

// When users submit a job that names others.
const (
	whenAccepted = iota // as soon as those are accepted
	whenOver            // as soon as those are over
	whenever            // at once
)

func (u *users) submit(t *jobTruth, when int) {
	if when != whenever && !u.ready(t, when) {
		u.unsent[t.ID] = t
		u.w.after(50*time.Millisecond, func() { u.submit(t, when) })
		return
	}
	delete(u.unsent, t.ID)
	u.w.jobs[t.ID] = t
	j := &userJob{id: t.ID, early: when == whenever}
	u.jobs[t.ID] = j
	j.down = u.w.unserved()
	t.submitted = u.w.now
	u.trySubmit(j, t, u.w.now+60*time.Second)
}

// ready tells whether all jobs that a job names are accepted, or over.
func (u *users) ready(t *jobTruth, when int) bool {
	for _, id := range t.Awaits {
		if j := u.jobs[id]; j == nil || !j.accepted || when == whenOver && j.final == "" {
			return false
		}
	}
	return true
}

// lost tells whether a job names one whose user got no answer, so that it is
// never submitted.
func (u *users) lost(t *jobTruth) bool {
	for _, id := range t.Awaits {
		if j := u.jobs[id]; j != nil && j.hopeless || u.unsent[id] != nil && u.lost(u.unsent[id]) {
			return true
		}
	}
	return false
}

// before names all jobs that a job needs, directly or through others.
func (u *users) before(t *jobTruth) []*userJob {
	if len(t.Awaits) == 0 {
		return nil
	}
	var out []*userJob
	seen := map[string]bool{t.ID: true}
	ids := t.Awaits
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		if j := u.jobs[id]; j != nil && !seen[id] {
			seen[id] = true
			out = append(out, j)
			ids = append(ids[:len(ids):len(ids)], u.w.jobs[id].Awaits...)
		}
	}
	return out
}

// calledOff tells whether users asked to cancel a job or one that it needs, and
// weren't told that it is done.
func (u *users) calledOff(j *userJob) bool {
	for _, b := range u.before(u.w.jobs[j.id]) {
		if b.asked != 0 && b.final != wire.StatusDone {
			return true
		}
	}
	return j.asked != 0
}

func (u *users) body(t *jobTruth) []byte {
	// Fields that the record may leave out are required of a user.
	b, _ := json.Marshal(struct {
		wire.Job
		OneZone bool `json:"together"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"standby"`
	}{t.Job, t.OneZone, t.Spread, t.Spot})
	return b
}

func (u *users) trySubmit(j *userJob, t *jobTruth, until time.Duration) {
	u.pick().request("user", "POST", "/submissions", u.body(t), 5*time.Second, func(status int, body []byte) {
		switch status {
		case 200, 201:
			if !j.accepted {
				j.accepted, j.known = true, u.w.now
			}
			j.answered = u.w.now
			u.tell(j, body)
			u.w.after(time.Second, func() { u.poll(j) })
		case 400, 422:
			j.refused = status
			if j.accepted {
				u.w.check.broken("forgotten", "%s: a repeated submission got %d", j.id, status)
			}
			if len(t.Awaits) > 0 && !j.early {
				u.w.check.broken("forgotten", "%s got %d, though all that it names are accepted: %v", j.id, status, t.Awaits)
			}
		default:
			if u.w.now < until {
				u.w.after(time.Second, func() { u.trySubmit(j, t, until) })
			} else {
				j.hopeless = u.w.unserved()-j.down > 50*time.Second
			}
		}
	})
}

func (u *users) poll(j *userJob) {
	if j.final != "" {
		return
	}
	every := 5 * time.Second
	if u.w.now < u.storm.until {
		every = time.Duration(float64(every) / u.stormFactor)
	}
	u.w.after(every, func() { u.poll(j) })
	u.ask(j, u.pick())
}

func (u *users) ask(j *userJob, n *node) {
	asked := u.w.now
	n.request("user", "GET", "/submissions/"+j.id, nil, 2*time.Second, func(status int, body []byte) {
		switch status {
		case 200:
			j.answered = u.w.now
			u.tellSince(j, body, asked)
		case 404:
			u.w.check.broken("forgotten", "%s: 404 for an accepted job", j.id)
		}
	})
}

func (u *users) tell(j *userJob, body []byte) { u.tellSince(j, body, u.w.now) }

// tellSince takes in an answer to a question asked at a time: an answer may
// not be older than what any node had said before the question.
func (u *users) tellSince(j *userJob, body []byte, asked time.Duration) {
	var s wire.JobStatus
	if json.Unmarshal(body, &s) != nil {
		return
	}
	j.last = s
	contrary := s.Status == wire.StatusDone || s.Status == wire.StatusCancelled
	if j.final != "" && s.Status != j.final && (contrary || asked >= min(j.answered, j.finalAt)) {
		u.w.check.broken("went_back", "%s: %s after %s", j.id, s.Status, j.final)
	}
	if j.final == "" {
		j.finalAt = u.w.now
	}
	switch s.Status {
	case wire.StatusDone:
		u.w.check.toldDone(j)
		first := j.final == ""
		j.final = s.Status
		if first {
			u.wentOn(j)
		}
	case wire.StatusCancelled:
		if !u.calledOff(j) {
			u.w.check.broken("went_back", "%s: cancelled without its user's request", j.id)
		}
		if j.final == "" {
			j.cancelled = u.w.now
		}
		j.final = s.Status
	default:
		u.w.check.orphaned(j, s.Status)
	}
}

// wentOn judges that no job was cancelled with one that turns out to be done.
func (u *users) wentOn(j *userJob) {
	if j.asked == 0 {
		return
	}
	for _, id := range u.names() {
		o := u.jobs[id]
		if o.final == wire.StatusCancelled && slices.Contains(u.before(u.w.jobs[id]), j) && !u.calledOff(o) {
			u.w.check.broken("went_back", "%s: cancelled with %s, which is done", id, j.id)
		}
	}
}

// cancel asks to call a job off, again and again for up to 60 s as a
// submission is.
// One that isn't submitted yet is called off when it is.
func (u *users) cancel(id string) {
	if u.unsent[id] != nil {
		u.w.after(50*time.Millisecond, func() { u.cancel(id) })
		return
	}
	u.tryCancel(u.jobs[id], u.w.now+60*time.Second)
}

func (u *users) tryCancel(j *userJob, until time.Duration) {
	if j.asked == 0 {
		j.asked = u.w.now
	}
	// A cancellation that is on its way together with the submission may come first.
	accepted := j.accepted
	u.pick().ask("user", "POST", "/submissions/"+j.id+"/cancel", nil, 5*time.Second, func(a core.Answer) {
		if a.Status == 200 {
			u.tell(j, a.Body)
			return
		}
		if accepted && (a.Status == 400 || a.Status == 404 || a.Status == 422) {
			u.w.check.broken("forgotten", "%s: its cancellation got %d", j.id, a.Status)
		}
		wait := max(time.Second, min(30*time.Second, time.Duration(a.RetryAfter)*time.Second))
		if u.w.now+wait < until {
			u.w.after(wait, func() { u.tryCancel(j, until) })
		}
	})
}

// cancelNow calls off jobs that run and have long to go, all within 0.2 s, and
// has up to eight of their machines hang.
func (u *users) cancelNow(count int, hang time.Duration) {
	var long []string
	on := map[string][]*machine{}
	for _, name := range u.w.cloud.names() {
		m := u.w.cloud.machines[name]
		for _, t := range m.sorted() {
			j := u.jobs[t.job.ID]
			if t.state != wire.TaskRunning || j == nil || j.final != "" || j.asked != 0 || !j.accepted ||
				t.job.Shape != wire.ShapeService && t.job.runS-t.progressNow(u.w.now) < 20 {
				continue
			}
			if on[j.id] == nil {
				long = append(long, j.id)
			}
			on[j.id] = append(on[j.id], m)
		}
	}
	sort.Strings(long)
	u.w.rng.Shuffle(len(long), func(a, b int) { long[a], long[b] = long[b], long[a] })
	hung := map[*machine]bool{}
	for _, id := range long[:min(count, len(long))] {
		u.w.after(time.Duration(u.w.rng.Int64N(int64(200*time.Millisecond))), func() { u.cancel(id) })
		for _, m := range on[id] {
			if hang > 0 && len(hung) < 8 && !hung[m] {
				hung[m] = true
				m.hangUntil = u.w.now + hang
			}
		}
	}
}

// ended has some jobs called off at the moment of their end.
func (w *World) ended(t *jobTruth) {
	j := w.users.jobs[t.ID]
	if len(t.done) == t.Tasks && j != nil && j.accepted && j.asked == 0 && w.endCancels.strikes(w) {
		w.users.cancel(t.ID)
	}
}

// odd sends a request a second that controllers must not be misled by.
func (u *users) odd(until time.Duration) {
	if u.w.now >= until {
		return
	}
	u.w.after(500*time.Millisecond+time.Duration(u.w.rng.Int64N(int64(time.Second))), func() { u.odd(until) })
	some := func(fits func(*userJob) bool) *userJob {
		var out []*userJob
		for _, id := range u.names() {
			if j := u.jobs[id]; j.accepted && fits(j) {
				out = append(out, j)
			}
		}
		if out == nil {
			return nil
		}
		return out[u.w.rng.IntN(len(out))]
	}
	switch u.w.rng.IntN(4) {
	case 0: // a repeated submission
		if j := some(func(j *userJob) bool { return j.final == "" }); j != nil {
			asked := u.w.now
			u.pick().request("user", "POST", "/submissions", u.body(u.w.jobs[j.id]), 5*time.Second, func(status int, body []byte) {
				switch status {
				case 200:
					j.answered = u.w.now
					u.tellSince(j, body, asked)
				case 201, 400, 404, 422:
					u.w.check.broken("forgotten", "%s: a repeated submission got %d", j.id, status)
				}
			})
		}
	case 1: // a cancellation after the end
		if j := some(func(j *userJob) bool { return j.final == wire.StatusDone }); j != nil {
			u.pick().request("user", "POST", "/submissions/"+j.id+"/cancel", nil, 5*time.Second, func(status int, body []byte) {
				switch status {
				case 200:
					u.tell(j, body)
				case 400, 404, 422:
					u.w.check.broken("forgotten", "%s: a cancellation after its end got %d", j.id, status)
				}
			})
		}
	case 2: // a job that fits no machine
		t := u.oddJob()
		t.CPUs = 1e6
		u.tryOdd(t.ID, u.body(t), 422, u.w.now+60*time.Second)
	case 3: // a job that lacks a field
		t := u.oddJob()
		var fields map[string]any
		json.Unmarshal(u.body(t), &fields)
		lacks := []string{"nameId", "jobclass", "crew", "shape", "urgency", "shards", "cpus", "accelerators", "memGb",
			"together", "apart", "standby", "bundle", "pullGb", "guessS", "markS", "stowS"}
		delete(fields, lacks[u.w.rng.IntN(len(lacks))])
		b, _ := json.Marshal(fields)
		u.tryOdd(t.ID, b, 400, u.w.now+60*time.Second)
	}
}

// oddJob is a small job of a team that exists, under an id of its own.
func (u *users) oddJob() *jobTruth {
	u.odds++
	t := &jobTruth{done: map[int]bool{}, progress: map[int]float64{}}
	t.Job = wire.Job{ID: fmt.Sprintf("job-8%05d", u.odds), Class: "web", Team: u.w.cfg.Deployment.Teams[0].Name,
		Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, EstimateS: 10}
	return t
}

// tryOdd submits a job that must be refused with the status.
func (u *users) tryOdd(id string, body []byte, want int, until time.Duration) {
	u.pick().request("user", "POST", "/submissions", body, 5*time.Second, func(status int, _ []byte) {
		switch status {
		case want:
			u.pick().request("user", "GET", "/submissions/"+id, nil, 2*time.Second, func(status int, _ []byte) {
				if status == 200 {
					u.w.check.broken("invented", "%s is known, though it was refused", id)
				}
			})
		case 200, 201:
			u.w.check.broken("accepted_impossible", "%s: %s", id, body)
		case 400, 422:
			u.w.check.broken("wrong_answer", "%s got %d, not %d: %s", id, status, want, body)
		default:
			if u.w.now+time.Second < until {
				u.w.after(time.Second, func() { u.tryOdd(id, body, want, until) })
			}
		}
	})
}
