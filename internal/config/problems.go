package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// ValidationError lists all problems of settings.
type ValidationError struct {
	// Problems holds a text for each problem, with the field and what is expected of it.
	Problems []string
}

// Error returns all problems, separated by semicolons.
func (e *ValidationError) Error() string { return strings.Join(e.Problems, "; ") }

// maxSeconds bounds times in seconds: a time.Duration overflows at 9.2e9 seconds.
const maxSeconds = 1e9

// maxPort is the highest port number.
const maxPort = 65535

// problems collects the problems of settings. Each of its checks adds one if a field's value does
// not have the property in the check's name. NaN fails all checks.
type problems []string

// addf adds a problem.
func (p *problems) addf(format string, a ...any) { *p = append(*p, fmt.Sprintf(format, a...)) }

// err returns all problems as one error; nil if there are none.
func (p *problems) err() error {
	if len(*p) == 0 {
		return nil
	}
	return &ValidationError{Problems: *p}
}

// address checks that a value is an IP address with a port.
func (p *problems) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		p.addf("%s: %q is not an IP address with a port", field, value)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		p.addf("%s: the port of %q is not a number from 1 to 65535", field, value)
	}
}

// positive checks that a value is greater than 0.
func (p *problems) positive(field string, value float64) {
	if !(value > 0) {
		p.addf("%s: must be greater than 0, is %v", field, value)
	}
}

// notNegative checks that a value is finite and 0 or greater.
func (p *problems) notNegative(field string, value float64) {
	if !(value >= 0) || math.IsInf(value, 1) {
		p.addf("%s: must be 0 or greater, is %v", field, value)
	}
}

// duration checks that a value is greater than 0 and at most maxSeconds, and reports whether it is.
func (p *problems) duration(field string, value float64) bool {
	if !(value > 0) || value > maxSeconds {
		p.addf("%s: must be greater than 0 and at most %v seconds, is %v", field, float64(maxSeconds), value)
		return false
	}
	return true
}
