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

// ImagePull is an image that tasks placed on a machine wait for.
type ImagePull struct {
	Name     string
	Since    time.Duration // 0 if it is not known when it began
	QueuedGB float64       // being pulled when it began
	GB       float64
}

// HasImage reports whether the machine is believed to hold an image.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.CachedImages, func(i Image) bool { return i.Name == name })
}

// PullIndex finds the pull of an image; -1 if there is none.
func (m *Machine) PullIndex(name string) int {
	return slices.IndexFunc(m.Pulls, func(p ImagePull) bool { return p.Name == name })
}

// PullsAhead counts the pulls that one of an image would begin behind.
func (m *Machine) PullsAhead(name string) int {
	if m.PullIndex(name) >= 0 {
		return 0
	}
	return len(m.Pulls)
}

// BeginPull records that a task which needs an image is placed on the machine.
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

// RefreshPulls drops the pulls that no task on the machine waits for now, and adds those
// of tasks that an earlier leader placed.
func (m *Machine) RefreshPulls() {
	m.Pulls = slices.DeleteFunc(m.Pulls, func(p ImagePull) bool { return m.HasImage(p.Name) || !m.needsImage(p.Name) })
	for _, p := range m.Placements {
		if p.Task().Stop == nil {
			m.BeginPull(p.Job.Image, p.Job.ImageGB, 0)
		}
	}
}

// needsImage reports whether a task on the machine that is not being stopped needs an image.
func (m *Machine) needsImage(name string) bool {
	return slices.ContainsFunc(m.Placements, func(p TaskReference) bool {
		return p.Job.Image == name && p.Task().Stop == nil
	})
}
