// Package peer carries messages between controllers: gob values behind a
// four-byte length, over one connection for each direction.
package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// maxFrame bounds a message: a report of at most 64 KiB, or a part of a digest.
const maxFrame = 1 << 20

// Link sends messages to one peer. Messages are dropped while the peer cannot
// be reached: every sender repeats what still matters.
type Link struct {
	addr    string
	queue   chan *wire.PeerMessage
	timeout time.Duration
	log     *slog.Logger
}

// NewLink starts a link. timeout bounds a dial and a write, queue the messages
// that wait: every connection to a controller may have a report under way, and
// after an election all of them go to one peer at once.
func NewLink(addr string, timeout time.Duration, queue int, log *slog.Logger) *Link {
	l := &Link{addr: addr, queue: make(chan *wire.PeerMessage, queue), timeout: timeout, log: log}
	go l.run()
	return l
}

// Send queues a message and never blocks.
func (l *Link) Send(m *wire.PeerMessage) {
	select {
	case l.queue <- m:
	default:
	}
}

func (l *Link) run() {
	for {
		m := <-l.queue
		conn, err := net.DialTimeout("tcp4", l.addr, l.timeout)
		if err != nil {
			l.log.Debug("peer not reached", "addr", l.addr, "err", err)
			l.drain()
			time.Sleep(l.timeout / 8)
			continue
		}
		err = l.pump(conn, m)
		conn.Close()
		l.log.Debug("peer link ended", "addr", l.addr, "err", err)
		l.drain()
	}
}

// drain drops what was meant for a peer that is out of reach: stale messages
// would only delay the fresh ones.
func (l *Link) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *Link) pump(conn net.Conn, first *wire.PeerMessage) error {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	var out []byte
	add := func(m *wire.PeerMessage) error {
		buf.Reset()
		if err := enc.Encode(m); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		out = binary.BigEndian.AppendUint32(out, uint32(buf.Len()))
		out = append(out, buf.Bytes()...)
		return nil
	}
	for m := first; ; m = <-l.queue {
		out = out[:0]
		if err := add(m); err != nil {
			return err
		}
	more:
		for len(out) < 32<<10 {
			select {
			case m := <-l.queue:
				if err := add(m); err != nil {
					return err
				}
			default:
				break more
			}
		}
		conn.SetWriteDeadline(time.Now().Add(l.timeout))
		if _, err := conn.Write(out); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

// Decoder takes in the bytes of one incoming connection.
type Decoder struct {
	in  []byte
	buf bytes.Buffer
	dec *gob.Decoder
}

// NewDecoder makes a decoder for a new connection.
func NewDecoder() *Decoder {
	d := &Decoder{}
	d.dec = gob.NewDecoder(&d.buf)
	return d
}

// ErrFrame marks a stream that is not one of ours.
var ErrFrame = errors.New("peer: bad frame")

// Feed adds bytes and returns the messages that are complete.
func (d *Decoder) Feed(b []byte) ([]*wire.PeerMessage, error) {
	d.in = append(d.in, b...)
	var out []*wire.PeerMessage
	for len(d.in) >= 4 {
		n := int(binary.BigEndian.Uint32(d.in))
		if n == 0 || n > maxFrame {
			return out, ErrFrame
		}
		if len(d.in) < 4+n {
			break
		}
		d.buf.Write(d.in[4 : 4+n])
		d.in = d.in[4+n:]
		m := &wire.PeerMessage{}
		if err := d.dec.Decode(m); err != nil {
			return out, fmt.Errorf("%w: %w", ErrFrame, err)
		}
		out = append(out, m)
	}
	if len(d.in) == 0 {
		d.in = nil
	}
	return out, nil
}
