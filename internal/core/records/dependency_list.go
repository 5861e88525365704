package records

import (
	"strconv"
	"strings"
)

// PrefixDependencyList is the prefix of the keys of dependency lists: a/JOB/TOKEN/N. The token
// differs for each attempt to submit a job.
const PrefixDependencyList = "a/"

// DependencyListRef refers to a list of dependencies that is spread over records, since it does
// not fit into the open record of its job.
type DependencyListRef struct {
	Prefix  string // of the records' keys: a/JOB/TOKEN/
	Records int
}

// String is the reference as an open record has it, in place of the list.
func (r DependencyListRef) String() string { return r.Prefix + strconv.Itoa(r.Records) }

// Key is the key of the nth record.
func (r DependencyListRef) Key(n int) string { return r.Prefix + strconv.Itoa(n) }

// Keys are the keys of all records.
func (r DependencyListRef) Keys() []string {
	keys := make([]string, r.Records)
	for n := range keys {
		keys[n] = r.Key(n)
	}
	return keys
}

// ParseDependencyListRef returns the reference that replaces an open record's list of
// dependencies; false if the record has the list itself.
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
