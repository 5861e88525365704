package cluster

import (
	"slices"
	"time"
)

// Image is a container image in a machine's cache.
type Image struct {
	Name string
	GB   float64
}

// ImagePull is a pull of an image that tasks placed on a machine wait for.
type ImagePull struct {
	Name     string
	Since    time.Duration // when the pull began; 0 if unknown
	QueuedGB float64       // total size of the machine's pulls in progress when this one began
	GB       float64       // size of the image
}

// HasImage reports whether an image is expected to be in the machine's cache.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.CachedImages, func(i Image) bool { return i.Name == name })
}

// PullIndex returns the index of an image's pull in Pulls, or -1 if the image is not being pulled.
func (m *Machine) PullIndex(name string) int {
	return slices.IndexFunc(m.Pulls, func(p ImagePull) bool { return p.Name == name })
}

// PullsAhead returns the number of pulls that a pull of the image would queue behind; 0 if the
// image is being pulled already.
func (m *Machine) PullsAhead(name string) int {
	if m.PullIndex(name) >= 0 {
		return 0
	}
	return len(m.Pulls)
}

// BeginPull records the pull of an image for a task placed on the machine, unless the image is
// cached or being pulled already.
func (m *Machine) BeginPull(name string, gb float64, since time.Duration) {
	if m.HasImage(name) || m.PullIndex(name) >= 0 {
		return
	}
	ahead := 0.0
	for _, p := range m.Pulls {
		ahead += p.GB
	}
	m.Pulls = append(m.Pulls, ImagePull{Name: name, Since: since, QueuedGB: ahead, GB: gb})
}

// RefreshPulls removes the pulls that no task on the machine waits for any longer, and adds the
// missing ones, such as those of tasks placed by an earlier leader.
func (m *Machine) RefreshPulls() {
	m.Pulls = slices.DeleteFunc(m.Pulls, func(p ImagePull) bool { return m.HasImage(p.Name) || !m.needsImage(p.Name) })
	for _, p := range m.Placements {
		if p.Task().Stop == nil {
			m.BeginPull(p.Job.Image, p.Job.ImageGB, 0)
		}
	}
}

// needsImage reports whether the machine has a task that uses an image and is not being stopped.
func (m *Machine) needsImage(name string) bool {
	return slices.ContainsFunc(m.Placements, func(p TaskReference) bool {
		return p.Job.Image == name && p.Task().Stop == nil
	})
}
