package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// Link sends messages to one controller. Messages are dropped while it is unreachable: every
// sender repeats what still matters.
type Link[M any] struct {
	addr    string
	queue   chan *M
	timeout time.Duration
	log     *slog.Logger
}

// redialFraction is the pause after a failed dial, as a fraction of the timeout.
const redialFraction = 8

// maxBatchBytes is the size from which on messages are not gathered into one write any more.
const maxBatchBytes = 32 << 10

// NewLink starts a link, which lasts as long as the process. timeout bounds a dial and a write,
// queueLength the messages that wait: every connection to a controller may have a heartbeat under
// way, and after an election all of them go to one peer at once.
func NewLink[M any](addr string, timeout time.Duration, queueLength int, log *slog.Logger) *Link[M] {
	l := &Link[M]{addr: addr, queue: make(chan *M, queueLength), timeout: timeout, log: log}
	go l.run()
	return l
}

// Send queues a message, or drops it if the queue is full. It never blocks.
func (l *Link[M]) Send(message *M) {
	select {
	case l.queue <- message:
	default:
	}
}

// run dials whenever there is a message, and writes until the connection fails.
func (l *Link[M]) run() {
	for {
		first := <-l.queue
		conn, err := net.DialTimeout("tcp4", l.addr, l.timeout)
		if err != nil {
			l.log.Debug("peer unreachable", "address", l.addr, "error", err)
			l.dropQueued()
			time.Sleep(l.timeout / redialFraction)
			continue
		}
		err = l.writeMessages(conn, first)
		conn.Close()
		l.log.Debug("peer link failed", "address", l.addr, "error", err)
		l.dropQueued()
	}
}

// dropQueued drops what was meant for an unreachable controller: stale messages
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

// writeMessages writes messages until an error, those that wait together in one write.
func (l *Link[M]) writeMessages(conn net.Conn, first *M) error {
	encoder := newFrameEncoder[M]()
	for message := first; ; message = <-l.queue {
		encoder.reset()
		if err := encoder.add(message); err != nil {
			return err
		}
		if err := l.addQueued(encoder); err != nil {
			return err
		}
		if err := conn.SetWriteDeadline(time.Now().Add(l.timeout)); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if _, err := conn.Write(encoder.frames); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

// addQueued encodes the messages that wait, up to the size of a batch.
func (l *Link[M]) addQueued(encoder *frameEncoder[M]) error {
	for len(encoder.frames) < maxBatchBytes {
		select {
		case message := <-l.queue:
			if err := encoder.add(message); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// frameEncoder encodes the messages of one connection. Gob sends each type once for a
// connection, so an encoder is not used for another one.
type frameEncoder[M any] struct {
	frames     []byte
	body       bytes.Buffer
	gobEncoder *gob.Encoder
}

func newFrameEncoder[M any]() *frameEncoder[M] {
	e := &frameEncoder[M]{}
	e.gobEncoder = gob.NewEncoder(&e.body)
	return e
}

// add appends a message to the frames.
func (e *frameEncoder[M]) add(message *M) error {
	e.body.Reset()
	if err := e.gobEncoder.Encode(message); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	e.frames = binary.BigEndian.AppendUint32(e.frames, uint32(e.body.Len()))
	e.frames = append(e.frames, e.body.Bytes()...)
	return nil
}

// reset drops the frames, which were written.
func (e *frameEncoder[M]) reset() { e.frames = e.frames[:0] }
