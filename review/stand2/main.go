//go:build review2

// Command review2 plays the cases of the second independent review: it starts the programs of this
// project as processes on loopback addresses, among stand-ins, and checks one rule.
//
//	review2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 in
// the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a run; a script may take 120 s.
const limit = 116 * time.Second

// A check plays a case. It returns the first breach of the rule, empty if the rule held, and an
// error if the case could not run.
type check func(*run) (breach string, err error)

var cases = map[string]check{
	"two_replicas": twoReplicas,
	"late_answer":  lateAnswer,
	"comeback":     comeback,
	"many_models":  manyModels,
	"stuck":        stuck,
}

func main() { os.Exit(realMain()) }

func realMain() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE PROGRAM RECORD")
		return 2
	}
	r, err := newRun(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		breach string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breach, err := cases[os.Args[1]](r)
		done <- result{breach, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.record("the case could not run: %v", got.err)
			return 2
		case got.breach != "":
			r.record("BROKEN: %s", got.breach)
			return 1
		}
		r.record("held")
		return 0
	case <-time.After(limit):
		r.record("the case could not run: it took longer than %v", limit)
	case <-interrupted:
		r.record("the case could not run: interrupted")
	}
	return 2
}
