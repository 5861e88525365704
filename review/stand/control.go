//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proxy passes connections on to an address. It can refuse them, which also resets the open ones.
type proxy struct {
	target   string
	addr     string
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	if err := p.open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return p, nil
}

// open listens on an address.
func (p *proxy) open(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.addr = listener, listener.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return nil
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	relay := func(to, from net.Conn) {
		io.Copy(to, from) //nolint:errcheck // either side may end
		done <- struct{}{}
	}
	go relay(server, client)
	go relay(client, server)
	<-done
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection is closed anyway
	}
	conn.Close()
}

// refuse makes the proxy refuse connections, and resets the open ones.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for conn := range p.conns {
		reset(conn)
	}
}

// accept makes the proxy accept connections again.
func (p *proxy) accept() error {
	var err error
	for range 50 {
		if err = p.open(p.addr); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// node is one controller.
type node struct {
	name, zone   string
	listen, back string
	settings     string // path of the settings file
	links        map[string]*proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	stopped bool
}

// deployment describes the controllers and what is common to them.
type deployment struct {
	zones    []string
	settings string // TOML of the tables below [deployment], without size, zones and the store's address
	store    *kvStore
	cloud    string // address
	dir      string
	command  []string
	record   *recorder
	nodes    []*node
}

// runCommand reads the run line of the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `" `)), nil
		}
	}
	return nil, errors.New("deploy/service.toml has no run line")
}

// freeAddress returns a loopback address that nothing listens on. Its IP address is a random one, so
// that no connection uses the port as its own.
func freeAddress() (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// prepare chooses the addresses, opens the links between the controllers and writes the settings.
func (d *deployment) prepare() error {
	for i, zone := range d.zones {
		n := &node{name: fmt.Sprintf("deckhand-%d", i), zone: zone, links: map[string]*proxy{}}
		var err error
		if n.listen, err = freeAddress(); err != nil {
			return err
		}
		if n.back, err = freeAddress(); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) writeSettings(n *node) error {
	state, err := d.store.listen()
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "host_name = %q\nlocation = %q\nlisten = %q\nback = %q\n", n.name, n.zone, n.listen, n.back)
	for _, other := range d.nodes {
		if other == n {
			continue
		}
		link, err := newProxy(other.back)
		if err != nil {
			return err
		}
		n.links[other.name] = link
		fmt.Fprintf(&text, "[[peers]]\nhost_name = %q\nlocation = %q\npeer_addr = %q\n", other.name, other.zone, link.addr)
	}
	fmt.Fprintf(&text, "[external]\ncloud = %q\nstate = %q\n[deployment]\nsize = %d\nzones = [%s]\n%s",
		d.cloud, state, len(d.nodes), distinct(d.zones), d.settings)
	n.settings = filepath.Join(d.dir, n.name+".toml")
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// distinct lists names in quotes, each once.
func distinct(names []string) string {
	var parts []string
	for i, name := range names {
		if !slices.Contains(names[:i], name) {
			parts = append(parts, fmt.Sprintf("%q", name))
		}
	}
	return strings.Join(parts, ", ")
}

// start starts a controller's process.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(append([]string(nil), d.command[1:]...), n.settings)
	cmd := exec.Command(d.command[0], args...)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives this process
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	ended := make(chan struct{})
	n.process, n.ended, n.stopped = cmd, ended, false
	n.mu.Unlock()
	d.record.line("controller %s started", n.name)
	go func() {
		err := cmd.Wait()
		close(ended)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == cmd && !n.stopped {
			d.record.line("controller %s ended by itself: %v", n.name, err)
		}
	}()
	return nil
}

// kill kills a controller's process without a signal that it could handle.
func (d *deployment) kill(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.stopped = true
	n.process.Process.Kill() //nolint:errcheck // it may have ended
	n.process = nil
	<-n.ended
	d.record.line("controller %s killed", n.name)
}

// stopAll kills all controllers.
func (d *deployment) stopAll() {
	for _, n := range d.nodes {
		d.kill(n)
	}
}

// refusePeers makes all connections between controllers be refused for a time.
func (d *deployment) refusePeers(duration time.Duration) error {
	d.record.line("TROUBLE: connections between controllers are refused for %v", duration)
	for _, n := range d.nodes {
		for _, link := range n.links {
			link.refuse()
		}
	}
	time.Sleep(duration)
	for _, n := range d.nodes {
		for _, link := range n.links {
			if err := link.accept(); err != nil {
				return err
			}
		}
	}
	d.record.line("TROUBLE over: connections between controllers are accepted")
	return nil
}
