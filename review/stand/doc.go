//go:build review

// Command stand plays the cases of the review: it starts the project's controllers as separate
// processes and plays everything around them on loopback addresses. Its stand-ins (key-value store,
// cloud, workers, users) follow the protocol page and use only the standard library.
//
// Usage: stand CASE FOLDER. It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main
