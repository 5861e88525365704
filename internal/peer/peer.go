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

// maxFrameBytes bounds a message: a report of at most 64 KiB, or a part of a digest.
const maxFrameBytes = 1 << 20

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
		first := <-l.queue
		conn, err := net.DialTimeout("tcp4", l.addr, l.timeout)
		if err != nil {
			l.log.Debug("peer not reached", "addr", l.addr, "err", err)
			l.dropQueued()
			time.Sleep(l.timeout / 8)
			continue
		}
		err = l.writeMessages(conn, first)
		conn.Close()
		l.log.Debug("peer link ended", "addr", l.addr, "err", err)
		l.dropQueued()
	}
}

// dropQueued drops what was meant for a peer that is out of reach: stale messages
// would only delay the fresh ones.
func (l *Link[M]) dropQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *Link[M]) writeMessages(conn net.Conn, first *M) error {
	var buf bytes.Buffer
	encoder := gob.NewEncoder(&buf)
	var out []byte
	appendFrame := func(m *M) error {
		buf.Reset()
		if err := encoder.Encode(m); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		out = binary.BigEndian.AppendUint32(out, uint32(buf.Len()))
		out = append(out, buf.Bytes()...)
		return nil
	}
	for m := first; ; m = <-l.queue {
		out = out[:0]
		if err := appendFrame(m); err != nil {
			return err
		}
	more:
		for len(out) < 32<<10 {
			select {
			case m := <-l.queue:
				if err := appendFrame(m); err != nil {
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
	pending    []byte
	frame      bytes.Buffer
	gobDecoder *gob.Decoder
}

// NewDecoder makes a decoder for a new connection.
func NewDecoder[M any]() *Decoder[M] {
	d := &Decoder[M]{}
	d.gobDecoder = gob.NewDecoder(&d.frame)
	return d
}

// ErrBadFrame marks a stream that is not one of ours.
var ErrBadFrame = errors.New("peer: bad frame")

// Feed adds bytes and returns the messages that are complete.
func (d *Decoder[M]) Feed(data []byte) ([]*M, error) {
	d.pending = append(d.pending, data...)
	var messages []*M
	for len(d.pending) >= 4 {
		size := int(binary.BigEndian.Uint32(d.pending))
		if size == 0 || size > maxFrameBytes {
			return messages, ErrBadFrame
		}
		if len(d.pending) < 4+size {
			break
		}
		d.frame.Write(d.pending[4 : 4+size])
		d.pending = d.pending[4+size:]
		message := new(M)
		if err := d.gobDecoder.Decode(message); err != nil {
			return messages, fmt.Errorf("%w: %w", ErrBadFrame, err)
		}
		messages = append(messages, message)
	}
	if len(d.pending) == 0 {
		d.pending = nil
	}
	return messages, nil
}
