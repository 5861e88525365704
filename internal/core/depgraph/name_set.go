package depgraph

// nameSet is an insertion-ordered set of names. Adding and removing a name take amortized constant
// time: a removed name leaves a tombstone, and the tombstones are compacted away once they
// outnumber the names by more than compactionSlack.
type nameSet struct {
	names    []string       // with tombstones
	position map[string]int // index of each name in names
}

// tombstone replaces a removed name. No job has an empty ID.
const tombstone = ""

// compactionSlack is how many more tombstones than names a set may have. Without it, small sets
// would be compacted too often to be worth the cost.
const compactionSlack = 4

func newNameSet() *nameSet { return &nameSet{position: map[string]int{}} }

func (s *nameSet) add(name string) {
	if _, exists := s.position[name]; exists {
		return
	}
	s.position[name] = len(s.names)
	s.names = append(s.names, name)
}

// remove removes a name and returns the number of names left.
func (s *nameSet) remove(name string) int {
	if i, exists := s.position[name]; exists {
		s.names[i] = tombstone
		delete(s.position, name)
		if len(s.names) > 2*len(s.position)+compactionSlack {
			s.compact()
		}
	}
	return len(s.position)
}

// compact removes the tombstones. It makes a new slice, because a caller may be iterating over the
// old one.
func (s *nameSet) compact() {
	names := make([]string, 0, len(s.position))
	for _, name := range s.names {
		if name != tombstone {
			s.position[name] = len(names)
			names = append(names, name)
		}
	}
	s.names = names
}
