// Package loopbacktest reserves loopback addresses (package loopback) until the end of a test.
package loopbacktest

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/loopback"
)

// Addresses returns addresses on which nothing listens. They are reserved until the test ends.
func Addresses(tb testing.TB, count int) []string {
	tb.Helper()
	claim, err := loopback.NewClaim()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := claim.Close(); err != nil {
			tb.Error(err)
		}
	})
	addresses := make([]string, count)
	for i := range addresses {
		if addresses[i], err = claim.Address(); err != nil {
			tb.Fatal(err)
		}
	}
	return addresses
}
