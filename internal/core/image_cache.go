package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// recordImageUse notes that a machine holds an image, and which older ones its
// cache must have dropped for it.
func (l *leader) recordImageUse(machine *cluster.Machine, name string, gb float64) {
	if len(machine.CachedImages) > 0 && machine.CachedImages[0] == (cluster.Image{Name: name, GB: gb}) {
		return // nothing changes
	}
	had := machine.HasImage(name)
	kept := make([]cluster.Image, 0, len(machine.CachedImages)+1)
	kept = append(kept, cluster.Image{Name: name, GB: gb})
	sum := gb
	limit := math.Inf(1)
	if t := l.core.machineTypes[machine.TypeName]; t != nil && t.CacheGB > 0 {
		limit = t.CacheGB
	}
	for _, i := range machine.CachedImages {
		if i.Name == name {
			continue
		}
		if sum += i.GB; sum > limit {
			break
		}
		kept = append(kept, i)
	}
	machine.EvaluationStale = machine.EvaluationStale || !had || len(kept) != len(machine.CachedImages)
	machine.CachedImages = kept
}
