package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// recordImageUse records that a machine has an image in its cache, and removes the least recently
// used images, which the cache must have evicted to make room.
func (l *leader) recordImageUse(machine *cluster.Machine, name string, gb float64) {
	mostRecent := cluster.Image{Name: name, GB: gb}
	if len(machine.CachedImages) > 0 && machine.CachedImages[0] == mostRecent {
		return
	}
	capacityGB := math.Inf(1)
	if machineType := l.core.machineTypes[machine.TypeName]; machineType != nil && machineType.CacheGB > 0 {
		capacityGB = machineType.CacheGB
	}
	added := !machine.HasImage(name)
	cached := make([]cluster.Image, 0, len(machine.CachedImages)+1)
	cached = append(cached, mostRecent)
	usedGB := gb
	for _, image := range machine.CachedImages {
		if image.Name == name {
			continue
		}
		if usedGB += image.GB; usedGB > capacityGB {
			break
		}
		cached = append(cached, image)
	}
	changed := added || len(cached) != len(machine.CachedImages)
	machine.NeedsRefresh = machine.NeedsRefresh || changed
	machine.CachedImages = cached
}
