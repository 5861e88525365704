// Package peer carries messages between controllers, of one region or of several: gob
// values behind a four-byte length, over one connection for each direction.
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
)

// maxFrame bounds a message: a report of at most 64 KiB, or a part of a digest.
const maxFrame = 1 << 20

// Link sends messages to one peer. Messages are dropped while the peer cannot
// be reached: every sender repeats what still matters.
type Link[M any] struct {
	addr    string
	queue   chan *M
	timeout time.Duration
	log     *slog.Logger
}

// NewLink starts a link. timeout bounds a dial and a write, queue the messages
// that wait: every connection to a controller may have a report under way, and
// after an election all of them go to one peer at once.
func NewLink[M any](addr string, timeout time.Duration, queue int, log *slog.Logger) *Link[M] {
	l := &Link[M]{addr: addr, queue: make(chan *M, queue), timeout: timeout, log: log}
	go l.run()
	return l
}

// Send queues a message and never blocks.
func (l *Link[M]) Send(m *M) {
	select {
	case l.queue <- m:
	default:
	}
}

func (l *Link[M]) run() {
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
func (l *Link[M]) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *Link[M]) pump(conn net.Conn, first *M) error {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	var out []byte
	add := func(m *M) error {
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
type Decoder[M any] struct {
	in  []byte
	buf bytes.Buffer
	dec *gob.Decoder
}

// NewDecoder makes a decoder for a new connection.
func NewDecoder[M any]() *Decoder[M] {
	d := &Decoder[M]{}
	d.dec = gob.NewDecoder(&d.buf)
	return d
}

// ErrFrame marks a stream that is not one of ours.
var ErrFrame = errors.New("peer: bad frame")

// Feed adds bytes and returns the messages that are complete.
func (d *Decoder[M]) Feed(b []byte) ([]*M, error) {
	d.in = append(d.in, b...)
	var out []*M
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
		m := new(M)
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
