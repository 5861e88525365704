package core

import (
	"math"
)

// image is a container image in a machine's cache.
type image struct {
	name string
	gb   float64
}

// hasImage tells whether a machine is believed to hold an image.
func (m *machine) hasImage(name string) bool {
	for _, i := range m.images {
		if i.name == name {
			return true
		}
	}
	return false
}

// useImage notes that a machine holds an image, and which older ones its
// cache must have dropped for it.
func (l *leader) useImage(m *machine, name string, gb float64) {
	if len(m.images) > 0 && m.images[0] == (image{name, gb}) {
		return // nothing changes
	}
	had := m.hasImage(name)
	kept := make([]image, 0, len(m.images)+1)
	kept = append(kept, image{name, gb})
	sum := gb
	limit := math.Inf(1)
	if t := l.c.types[m.typ]; t != nil && t.CacheGB > 0 {
		limit = t.CacheGB
	}
	for _, i := range m.images {
		if i.name == name {
			continue
		}
		if sum += i.gb; sum > limit {
			break
		}
		kept = append(kept, i)
	}
	m.reviewDue = m.reviewDue || !had || len(kept) != len(m.images)
	m.images = kept
}
