package wake

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Registry lists the models that may be scaled to zero, the servers that may run their replicas,
// and the bounds for all of them.
type Registry struct {
	// LeaseSeconds is how long a controller counts as alive without renewing its lease.
	LeaseSeconds float64 `toml:"lease_s"`
	// ReplicaLeaseSeconds is how long a replica runs without a command from its owner. It must
	// be more than LeaseSeconds, so that the replica still runs when another controller takes
	// it over.
	ReplicaLeaseSeconds float64 `toml:"copy_lease_s"`
	// MaxConcurrentStarts is how many models may be in the process of starting at a time.
	MaxConcurrentStarts int `toml:"max_waking"`
	// MaxQueuedRequests is how many requests for a model may be queued on a controller.
	MaxQueuedRequests int     `toml:"max_waiting"`
	Models            []Model `toml:"models"`
}

// Model is a model that may be scaled to zero.
type Model struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"` // that may run its replica, by address, preferred first
	LoadSeconds float64  `toml:"load_s"`  // how long a replica usually takes to load
	IdleSeconds float64  `toml:"idle_s"`  // time without a request before scaling to zero; 0 for never
}

// ParseRegistry parses and validates a registry. An unknown field is an error that names it.
func ParseRegistry(text string) (*Registry, error) {
	var registry Registry
	meta, err := toml.Decode(text, &registry)
	if err != nil {
		return nil, fmt.Errorf("wake registry: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("wake registry: %s: unknown field", unknown[0])
	}
	if err := registry.validate(); err != nil {
		return nil, fmt.Errorf("wake registry: %w", err)
	}
	return &registry, nil
}

// LoadRegistry reads, parses and validates a registry file.
func LoadRegistry(path string) (*Registry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("wake registry: %w", err)
	}
	return ParseRegistry(string(text))
}

// validate checks the values. The error names every invalid field.
func (r *Registry) validate() error {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(r.LeaseSeconds > 0, "lease_s: must be greater than 0, is %v", r.LeaseSeconds)
	require(r.ReplicaLeaseSeconds > r.LeaseSeconds, "copy_lease_s: must be greater than lease_s (%[2]v), is %[1]v", r.ReplicaLeaseSeconds, r.LeaseSeconds)
	require(r.MaxConcurrentStarts > 0, "max_waking: must be greater than 0, is %d", r.MaxConcurrentStarts)
	require(r.MaxQueuedRequests > 0, "max_waiting: must be greater than 0, is %d", r.MaxQueuedRequests)
	require(len(r.Models) > 0, "models: missing, at least one model is required")
	seen := map[string]bool{}
	for i, model := range r.Models {
		require(model.Name != "" && !strings.Contains(model.Name, "/") && !seen[model.Name],
			"models[%d].name: %q is empty, repeated or contains a slash", i, model.Name)
		seen[model.Name] = true
		require(len(model.Servers) > 0, "models[%d].servers: missing, at least one server is required", i)
		require(model.LoadSeconds > 0, "models[%d].load_s: must be greater than 0, is %v", i, model.LoadSeconds)
		require(model.IdleSeconds >= 0, "models[%d].idle_s: must be 0 or greater, is %v", i, model.IdleSeconds)
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
