// Package cluster holds the leader's state of jobs, tasks and machines.
//
// It has the types, queries that need no other state, and the changes that touch one type
// alone. Decisions are made elsewhere: in packages reconcile, scheduler, provisioning, scalein and
// persistence, and by the leader of package core, which owns one State for each term. Each group
// of fields names the part that changes it; all others only read. The package does no I/O, keeps
// no time and does not log.
package cluster
