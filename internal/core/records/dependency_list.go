package records

import (
	"strconv"
	"strings"
)

// PrefixDependencyList is the prefix of the keys of dependency lists: a/JOB/TOKEN/N. Each attempt
// to submit a job has a different token.
const PrefixDependencyList = "a/"

// DependencyListRef refers to a list of dependencies that is split into several records, because
// it is too large for the job's open record.
type DependencyListRef struct {
	Prefix  string // of the keys of the records: a/JOB/TOKEN/
	Records int
}

// String returns the reference in the form in which an open record holds it in place of the list.
func (r DependencyListRef) String() string { return r.Prefix + strconv.Itoa(r.Records) }

// Key returns the key of the nth record.
func (r DependencyListRef) Key(n int) string { return r.Prefix + strconv.Itoa(n) }

// Keys returns the keys of all records.
func (r DependencyListRef) Keys() []string {
	keys := make([]string, r.Records)
	for n := range keys {
		keys[n] = r.Key(n)
	}
	return keys
}

// ParseDependencyListRef parses the dependencies of an open record as a reference to a list. It
// returns false if the open record contains the list itself.
func ParseDependencyListRef(dependencies []string) (DependencyListRef, bool) {
	if len(dependencies) != 1 || !strings.HasPrefix(dependencies[0], PrefixDependencyList) {
		return DependencyListRef{}, false
	}
	slash := strings.LastIndexByte(dependencies[0], '/')
	n, err := strconv.Atoi(dependencies[0][slash+1:])
	if err != nil || n < 1 {
		return DependencyListRef{}, false
	}
	return DependencyListRef{Prefix: dependencies[0][:slash+1], Records: n}, true
}
