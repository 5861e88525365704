//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// users sends the requests of users and records them with their answers.
type users struct {
	record *recorder
	client *http.Client
}

func newUsers(record *recorder) *users {
	return &users{record: record, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// jobState is the answer to a submission, a query or a cancellation.
type jobState struct {
	ID      string `json:"nameId"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// call sends one request to a controller. The status is 0 if there was no answer within the timeout.
func (u *users) call(n *node, method, path string, body any, timeout time.Duration) (int, jobState) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.listen+path, bytes.NewReader(text))
	if err != nil {
		return 0, jobState{}
	}
	status, answer, shown := 0, []byte(nil), "no answer"
	if response, err := u.client.Do(request); err == nil {
		defer response.Body.Close()
		if answer, err = io.ReadAll(response.Body); err == nil {
			status, shown = response.StatusCode, fmt.Sprintf("%d %s", response.StatusCode, answer)
		}
	}
	var state jobState
	if status != 0 && json.Unmarshal(answer, &state) != nil {
		state = jobState{}
	}
	u.record.line("user -> %s %s %s %s: %s", n.name, method, path, text, shown)
	return status, state
}

// submission is the body of a submission.
func submission(spec *jobSpec, team, shape, urgency string, awaits []string) map[string]any {
	body := map[string]any{
		"nameId": spec.ID, "jobclass": "batch", "crew": team, "shape": shape, "urgency": urgency,
		"shards": spec.Tasks, "cpus": spec.CPUs, "accelerators": spec.GPUs, "memGb": spec.MemGB,
		"bundle": spec.Image, "pullGb": spec.ImageGB, "hulls": nil, "berth": nil, "together": false,
		"apart": false, "standby": false, "guessS": spec.Run.Seconds(), "markS": 0.0, "stowS": 0.0, "dueS": nil,
	}
	if len(awaits) > 0 {
		body["awaits"] = awaits
	}
	return body
}

// submit submits a job until it is accepted, as the protocol page says, for up to 60 s.
func (u *users) submit(n *node, body map[string]any) bool {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, _ := u.call(n, "POST", "/submissions", body, 5*time.Second)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// poll asks for a job once.
func (u *users) poll(n *node, id string) (int, jobState) {
	return u.call(n, "GET", "/submissions/"+id, nil, 2*time.Second)
}

// waitHealthy waits until a controller answers health checks with 200.
func (u *users) waitHealthy(n *node, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/healthz", nil)
		if err != nil {
			cancel()
			return false
		}
		response, err := u.client.Do(request)
		cancel()
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == 200 {
			return true
		}
	}
	return false
}
