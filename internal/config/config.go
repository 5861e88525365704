// Package config reads and validates the settings that the platform gives a controller, and the
// operators' own settings. It owns the field names and formats of both files and the checks on
// their values. It does nothing but read files. Command brookwalk loads both and passes them to the
// other packages.
package config

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Load reads and validates the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(data))
}

// Parse reads and validates settings.
func Parse(text string) (*Settings, error) {
	var settings Settings
	metadata, err := toml.Decode(text, &settings)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	if err := settings.validate(metadata.IsDefined); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, key := range metadata.Undecoded() {
		settings.IgnoredFields = append(settings.IgnoredFields, key.String())
	}
	return &settings, nil
}

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
