package depgraph

// nameSet is a set of names in the order in which they were added. Adding or removing a name takes
// constant time on average: a removed name leaves a gap, and the gaps are closed once they
// outnumber the names.
type nameSet struct {
	names    []string       // with gaps
	position map[string]int // of each name in names
}

// removed takes the position of a removed name: no job has an empty ID.
const removed = ""

// minGapsToClose keeps the gaps of small sets, which are not worth closing.
const minGapsToClose = 4

func newNameSet() *nameSet { return &nameSet{position: map[string]int{}} }

func (s *nameSet) add(name string) {
	if _, exists := s.position[name]; exists {
		return
	}
	s.position[name] = len(s.names)
	s.names = append(s.names, name)
}

// remove removes a name and returns how many names are left.
func (s *nameSet) remove(name string) int {
	if i, exists := s.position[name]; exists {
		s.names[i] = removed
		delete(s.position, name)
		if len(s.names) > 2*len(s.position)+minGapsToClose {
			s.closeGaps()
		}
	}
	return len(s.position)
}

// closeGaps closes the gaps. It replaces the slice, since a caller may be in a loop over the old
// one.
func (s *nameSet) closeGaps() {
	names := make([]string, 0, len(s.position))
	for _, name := range s.names {
		if name != removed {
			s.position[name] = len(names)
			names = append(names, name)
		}
	}
	s.names = names
}
