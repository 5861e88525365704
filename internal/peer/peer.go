// Package peer carries messages between controllers, of one region or of several: gob values
// behind a four-byte length, over one connection for each direction. A Link owns a goroutine and
// an outgoing connection; a Decoder reads what another controller's link sends, and owns no
// socket. Package node uses both. evio dials nothing and keeps one pending output for a woken
// connection, which is too few for many messages, so links use package net.
package peer

// Framing of a message.
const (
	// lengthBytes is the size of the length before a message.
	lengthBytes = 4
	// maxFrameBytes bounds a message: a heartbeat of at most 64 KiB, or a part of a digest.
	maxFrameBytes = 1 << 20
)
