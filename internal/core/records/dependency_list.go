package records

import (
	"strconv"
	"strings"
)

const PrefixDependencyList = "a/"

// DependencyListRef refers to a list that is spread over records.
type DependencyListRef struct {
	Prefix  string // of the records' keys: a/JOB/TOKEN/
	Records int
}

func (r DependencyListRef) String() string { return r.Prefix + strconv.Itoa(r.Records) }

func (r DependencyListRef) Key(n int) string { return r.Prefix + strconv.Itoa(n) }

func (r DependencyListRef) Keys() []string {
	keys := make([]string, r.Records)
	for n := range keys {
		keys[n] = r.Key(n)
	}
	return keys
}

// ParseDependencyListRef returns the reference that an open record's list of awaited jobs
// consists of, if it is not the list itself.
func ParseDependencyListRef(awaits []string) (DependencyListRef, bool) {
	if len(awaits) != 1 || !strings.HasPrefix(awaits[0], PrefixDependencyList) {
		return DependencyListRef{}, false
	}
	slash := strings.LastIndexByte(awaits[0], '/')
	n, err := strconv.Atoi(awaits[0][slash+1:])
	if err != nil || n < 1 {
		return DependencyListRef{}, false
	}
	return DependencyListRef{Prefix: awaits[0][:slash+1], Records: n}, true
}
