// Package peer carries messages between controllers of the same region and of different regions:
// gob values with a four-byte length prefix, over one connection per direction. A Link owns a
// goroutine and an outgoing connection. A Decoder decodes what another controller's link has sent,
// and owns no socket. Package node uses both. Links use package net, since evio cannot dial and
// keeps a single pending output per woken connection, too little for many messages.
package peer

// Sizes of a message frame.
const (
	// lengthBytes is the size of the length prefix.
	lengthBytes = 4
	// maxFrameBytes bounds a message. The largest are heartbeats, of at most 64 KiB, and parts
	// of digests.
	maxFrameBytes = 1 << 20
)
