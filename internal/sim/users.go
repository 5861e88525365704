package sim

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// users stands in for the people who submit, query and cancel jobs.
type users struct {
	w    *World
	jobs map[string]*userJob
}

// userJob is what a job's user has been told.
type userJob struct {
	id        string
	accepted  bool
	refused   int
	told      string // last status
	final     string
	asked     time.Duration // to cancel
	cancelled time.Duration // was told so
	last      wire.JobStatus
	answered  time.Duration
}

func newUsers(w *World) *users { return &users{w: w, jobs: map[string]*userJob{}} }

func (u *users) names() []string {
	var out []string
	for id := range u.jobs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// pick stands in for the load balancer.
func (u *users) pick() *node {
	var up []*node
	for _, n := range u.w.nodes {
		if n.alive {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return u.w.nodes[0]
	}
	return up[u.w.rng.IntN(len(up))]
}

func (u *users) submit(t *jobTruth) {
	u.w.jobs[t.ID] = t
	j := &userJob{id: t.ID}
	u.jobs[t.ID] = j
	u.trySubmit(j, t, u.w.now+60*time.Second)
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
			j.accepted = true
			j.answered = u.w.now
			u.tell(j, body)
			u.w.after(time.Second, func() { u.poll(j) })
		case 400, 422:
			j.refused = status
			if j.accepted {
				u.w.check.broken("forgotten", "%s: a repeated submission got %d", j.id, status)
			}
		default:
			if u.w.now < until {
				u.w.after(time.Second, func() { u.trySubmit(j, t, until) })
			}
		}
	})
}

func (u *users) poll(j *userJob) {
	if j.final != "" {
		return
	}
	u.w.after(5*time.Second, func() { u.poll(j) })
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
	if j.final != "" && s.Status != j.final && asked >= j.answered {
		u.w.check.broken("went_back", "%s: %s after %s", j.id, s.Status, j.final)
	}
	switch s.Status {
	case wire.StatusDone:
		u.w.check.toldDone(j)
		j.final = s.Status
	case wire.StatusCancelled:
		if j.asked == 0 {
			u.w.check.broken("went_back", "%s: cancelled without its user's wish", j.id)
		}
		if j.final == "" {
			j.cancelled = u.w.now
		}
		j.final = s.Status
	}
}

func (u *users) cancel(id string) {
	j := u.jobs[id]
	if j.asked == 0 {
		j.asked = u.w.now
	}
	u.pick().request("user", "POST", "/submissions/"+id+"/cancel", nil, 5*time.Second, func(status int, body []byte) {
		if status == 200 {
			u.tell(j, body)
			return
		}
		u.w.after(time.Second, func() { u.cancel(id) })
	})
}
