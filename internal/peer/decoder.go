package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
)

// ErrBadFrame means that a stream was not written by a Link of the same message type.
var ErrBadFrame = errors.New("peer: invalid message frame")

// Decoder decodes the messages of one incoming connection.
type Decoder[M any] struct {
	pending    []byte // received and not decoded yet
	frame      bytes.Buffer
	gobDecoder *gob.Decoder
}

// NewDecoder creates a decoder for a new connection.
func NewDecoder[M any]() *Decoder[M] {
	d := &Decoder[M]{}
	d.gobDecoder = gob.NewDecoder(&d.frame)
	return d
}

// Feed adds received bytes and returns the messages that are now complete, also if it returns an
// error. After an error the decoder must not be used.
func (d *Decoder[M]) Feed(data []byte) ([]*M, error) {
	d.pending = append(d.pending, data...)
	var messages []*M
	for {
		frame, err := d.nextFrame()
		if err != nil {
			return messages, err
		}
		if frame == nil {
			return messages, nil
		}
		message, err := d.decode(frame)
		if err != nil {
			return messages, err
		}
		messages = append(messages, message)
	}
}

// nextFrame removes the next frame from the pending bytes and returns it; nil if it is incomplete.
func (d *Decoder[M]) nextFrame() ([]byte, error) {
	if len(d.pending) == 0 {
		d.pending = nil // frees the buffer of an idle connection
		return nil, nil
	}
	if len(d.pending) < lengthBytes {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(d.pending))
	if size == 0 || size > maxFrameBytes {
		return nil, ErrBadFrame
	}
	end := lengthBytes + size
	if len(d.pending) < end {
		return nil, nil
	}
	frame := d.pending[lengthBytes:end]
	d.pending = d.pending[end:]
	return frame, nil
}

// decode decodes one message.
func (d *Decoder[M]) decode(frame []byte) (*M, error) {
	d.frame.Write(frame)
	message := new(M)
	if err := d.gobDecoder.Decode(message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	return message, nil
}
