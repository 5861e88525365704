//go:build review2

package main

import (
	"fmt"
	"time"
)

// stuck: the model server of one model is paused while many requests for that model come. Requests for
// another model, whose server is never disturbed, are sent meanwhile.
func stuck(r *run) (string, error) {
	const (
		copyLeaseS = 12
		loadS      = 2
		patience   = 60 * time.Second
		many       = 80 // requests for the paused server's model; max_waiting is 2,000
		others     = 8  // requests for the other model, one after the other
	)
	first, second, between, err := modelServers(r, copyLeaseS, loadS, 0)
	if err != nil {
		return "", err
	}
	a := &activator{run: r, patience: patience, wait: "?wait=60", registry: wakeRegistry{LeaseS: wakeLeaseS, CopyLeaseS: copyLeaseS, MaxWaking: 4, MaxWaiting: 2000, Models: []wakeModel{
		{Name: "router", Servers: []string{between.address, second.address}, LoadS: loadS, IdleS: 600},
		{Name: "chat", Servers: []string{second.address}, LoadS: loadS, IdleS: 600},
	}}}
	if err := a.begin(); err != nil {
		return "", err
	}
	for _, model := range []string{"router", "chat"} {
		if status, err := a.request(model, "k1", patience); err != nil || status != 200 {
			return "", fmt.Errorf("model %s was not started: status %d (%v)", model, status, err)
		}
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		between.setSilent()
	}
	for i := range many {
		go func() { _, _ = a.request("router", fmt.Sprintf("many-%d", i), patience+5*time.Second) }()
		time.Sleep(5 * time.Millisecond)
	}
	asker := *a
	asker.wait = "?wait=6"
	failed := 0
	for i := range others {
		if status, err := asker.request("chat", fmt.Sprintf("other-%d", i), patience); err != nil || status != 200 {
			failed++
		}
	}
	r.record("replicas of router: server-1 %d, server-2 %d; of chat: server-2 %d", first.replica("router"), second.replica("router"), second.replica("chat"))
	if failed > 0 {
		return fmt.Sprintf("%d of %d requests for a model whose server is never disturbed are not served", failed, others), nil
	}
	return "", nil
}
