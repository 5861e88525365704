// Package loopback reserves addresses on this machine for processes that are started later.
// A port that was only checked to be free may be taken by another process before the intended one
// listens, or while that one restarts. The package avoids this in two ways: each claim has an IP
// address in 127.0.0.0/8 of its own, locked by an open listener, and its ports are below the range
// from which the system assigns ports. It starts no processes. Package hollow and tests that start
// processes call it.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// lockPort is the port on which a claim listens to lock its IP address.
	lockPort = 20000
	// maxPorts is how many ports a claim can hand out. They follow lockPort and stay below
	// 32768, where Linux begins to assign ports.
	maxPorts = 10000
	// claimableIPs is the number of IP addresses to claim: 127.64.0.0 to 127.64.255.255.
	claimableIPs = 1 << 16
)

// ErrNoAddress means that every IP address of the range is claimed.
var ErrNoAddress = errors.New("loopback: all IP addresses are claimed")

// ErrNoPort means that a claim has handed out all its ports.
var ErrNoPort = errors.New("loopback: all ports of the claim are used")

// A Claim is an IP address that no other claim on this machine has. It is safe for concurrent use.
type Claim struct {
	ip   string
	lock net.Listener

	mu        sync.Mutex
	portsUsed int // ports handed out
}

// NewClaim claims an IP address. The caller closes the claim once the processes that
// listen on its ports have ended.
func NewClaim() (*Claim, error) {
	first := os.Getpid() // processes start at different addresses, so they rarely conflict
	for offset := range claimableIPs {
		number := (first + offset) % claimableIPs
		ip := fmt.Sprintf("127.64.%d.%d", number>>8, number&0xff)
		if lock, err := net.Listen("tcp4", address(ip, lockPort)); err == nil {
			return &Claim{ip: ip, lock: lock}, nil
		}
	}
	return nil, ErrNoAddress
}

// Address returns the next address, in the form "host:port", on which nothing listens. It skips
// ports on which processes of an earlier claim still listen.
func (c *Claim) Address() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.portsUsed < maxPorts {
		c.portsUsed++
		next := address(c.ip, lockPort+c.portsUsed)
		probe, err := net.Listen("tcp4", next)
		if err != nil {
			continue
		}
		return next, probe.Close()
	}
	return "", ErrNoPort
}

// Close releases the IP address.
func (c *Claim) Close() error { return c.lock.Close() }

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
