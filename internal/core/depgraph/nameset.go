package depgraph

// nameSet is a set of names in the order in which they were added. To add or
// remove one takes constant time on average: a removed name leaves a gap, and
// the gaps are closed when they are more than the names.
type nameSet struct {
	names []string
	at    map[string]int
}

func newNameSet() *nameSet { return &nameSet{at: map[string]int{}} }

func (s *nameSet) add(name string) {
	if _, ok := s.at[name]; !ok {
		s.at[name] = len(s.names)
		s.names = append(s.names, name)
	}
}

// remove takes a name out and returns how many are left.
func (s *nameSet) remove(name string) int {
	if i, ok := s.at[name]; ok {
		s.names[i] = ""
		delete(s.at, name)
		if len(s.names) > 2*len(s.at)+4 {
			s.close()
		}
	}
	return len(s.at)
}

// close closes the gaps. The list is replaced, for somebody may go through it.
func (s *nameSet) close() {
	names := make([]string, 0, len(s.at))
	for _, n := range s.names {
		if n != "" {
			s.at[n] = len(names)
			names = append(names, n)
		}
	}
	s.names = names
}
