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

// Link sends messages to one controller. Messages are dropped while it is unreachable, since
// senders repeat everything that is still relevant.
type Link[M any] struct {
	addr    string
	queue   chan *M
	timeout time.Duration
	log     *slog.Logger
}

// redialDelayDivisor divides the timeout to give the delay after a failed dial.
const redialDelayDivisor = 8

// maxBatchBytes is the size from which no further message is added to a batched write.
const maxBatchBytes = 32 << 10

// NewLink starts a link, which runs until the process ends. timeout bounds each dial and each
// write. queueLength bounds the queued messages; for a peer it is the connection limit, since every
// connection may have a heartbeat in flight, and after an election all of them are forwarded to the
// new leader at once.
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

// run dials when there is a message to send, and writes messages until the connection fails.
func (l *Link[M]) run() {
	for {
		first := <-l.queue
		conn, err := net.DialTimeout("tcp4", l.addr, l.timeout)
		if err != nil {
			l.log.Debug("controller unreachable, queued messages dropped", "address", l.addr, "error", err)
			l.dropQueued()
			time.Sleep(l.timeout / redialDelayDivisor)
			continue
		}
		err = l.writeMessages(conn, first)
		conn.Close()
		l.log.Debug("connection to controller failed, queued messages dropped", "address", l.addr, "error", err)
		l.dropQueued()
	}
}

// dropQueued drops the queued messages of an unreachable controller: stale messages would only
// delay new ones.
func (l *Link[M]) dropQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// writeMessages writes messages until an error occurs. Queued messages are batched into one write.
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
			return fmt.Errorf("set write deadline: %w", err)
		}
		if _, err := conn.Write(encoder.frames); err != nil {
			return fmt.Errorf("write messages: %w", err)
		}
	}
}

// addQueued adds queued messages to the batch until it has maxBatchBytes.
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

// frameEncoder encodes the messages of one connection. Gob sends each type definition once per
// stream, so every connection needs a new encoder.
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

// add encodes a message and appends it to the frames.
func (e *frameEncoder[M]) add(message *M) error {
	e.body.Reset()
	if err := e.gobEncoder.Encode(message); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	e.frames = binary.BigEndian.AppendUint32(e.frames, uint32(e.body.Len()))
	e.frames = append(e.frames, e.body.Bytes()...)
	return nil
}

// reset removes the frames after they were written.
func (e *frameEncoder[M]) reset() { e.frames = e.frames[:0] }
