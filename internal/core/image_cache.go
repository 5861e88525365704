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
	for _, i := range m.cachedImages {
		if i.name == name {
			return true
		}
	}
	return false
}

// recordImageUse notes that a machine holds an image, and which older ones its
// cache must have dropped for it.
func (l *leader) recordImageUse(machine *machine, name string, gb float64) {
	if len(machine.cachedImages) > 0 && machine.cachedImages[0] == (image{name, gb}) {
		return // nothing changes
	}
	had := machine.hasImage(name)
	kept := make([]image, 0, len(machine.cachedImages)+1)
	kept = append(kept, image{name, gb})
	sum := gb
	limit := math.Inf(1)
	if t := l.core.machineTypes[machine.typeName]; t != nil && t.CacheGB > 0 {
		limit = t.CacheGB
	}
	for _, i := range machine.cachedImages {
		if i.name == name {
			continue
		}
		if sum += i.gb; sum > limit {
			break
		}
		kept = append(kept, i)
	}
	machine.evaluationStale = machine.evaluationStale || !had || len(kept) != len(machine.cachedImages)
	machine.cachedImages = kept
}
