// Package cluster holds the leader's state of jobs, tasks and machines.
//
// It has the types, the questions that they answer by themselves, and the changes that
// touch one of them alone. What is decided on them is elsewhere: reconciliation, scheduling,
// provisioning and persistence in package core. Each group of fields names the part that
// changes it; all others only read. Nothing here calls out, keeps time or logs.
package cluster
