package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// recordImageUse records that a machine holds an image, and which of the others its cache must have
// evicted for it, the least recently used first.
func (l *leader) recordImageUse(machine *cluster.Machine, name string, gb float64) {
	used := cluster.Image{Name: name, GB: gb}
	if len(machine.CachedImages) > 0 && machine.CachedImages[0] == used {
		return
	}
	limit := math.Inf(1)
	if machineType := l.core.machineTypes[machine.TypeName]; machineType != nil && machineType.CacheGB > 0 {
		limit = machineType.CacheGB
	}
	added := !machine.HasImage(name)
	cached := make([]cluster.Image, 0, len(machine.CachedImages)+1)
	cached = append(cached, used)
	sum := gb
	for _, image := range machine.CachedImages {
		if image.Name == name {
			continue
		}
		if sum += image.GB; sum > limit {
			break
		}
		cached = append(cached, image)
	}
	changed := added || len(cached) != len(machine.CachedImages)
	machine.NeedsRefresh = machine.NeedsRefresh || changed
	machine.CachedImages = cached
}
