// Package cluster holds the leader's in-memory state of jobs, tasks and machines.
//
// It contains the types, the queries that need no other state, and the changes that affect only one
// type. Decisions are made elsewhere: in packages reconcile, scheduler, provisioning, scalein and
// persistence, and by the leader in package core, which owns one State per term. The comment on
// each group of fields names the component that changes it; all others only read it. The package
// performs no I/O, reads no clock and does not log.
package cluster
