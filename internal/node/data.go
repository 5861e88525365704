package node

import (
	"errors"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/tidwall/evio"
)

// onData handles bytes received on a connection, and returns the bytes to write. For a woken
// connection evio calls it without input.
func (n *Node) onData(socket evio.Conn, input []byte) ([]byte, evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn, ok := socket.Context().(*connection)
	switch {
	case !ok:
		return nil, evio.Close
	case conn.peerDecoder != nil:
		return nil, n.onPeerData(conn, input)
	case conn.regionDecoder != nil:
		return nil, n.onRegionData(conn, input)
	default:
		return n.onHTTPData(conn, input)
	}
}

// onPeerData handles bytes received from a peer.
func (n *Node) onPeerData(conn *connection, input []byte) evio.Action {
	messages, err := conn.peerDecoder.Feed(input)
	for _, m := range messages {
		n.step(core.PeerInput{Message: m}, conn)
	}
	if err != nil {
		n.log.Debug("peer connection closed: invalid message", "error", err)
		return evio.Close
	}
	return evio.None
}

// onHTTPData handles bytes received from a user or a worker. The requests of a connection are
// handled in sequence: the next one is parsed once the previous one is answered.
func (n *Node) onHTTPData(conn *connection, input []byte) ([]byte, evio.Action) {
	if len(input) > 0 {
		conn.lastActive = time.Now()
	}
	conn.input = append(conn.input, input...)
	for !conn.awaitingAnswer && !conn.closeAfterAnswer && len(conn.input) > 0 {
		request, ok := conn.nextRequest()
		if !ok {
			break
		}
		n.dispatchRequest(conn, request)
	}
	output := conn.output
	conn.output = nil
	if conn.closing || conn.closeAfterAnswer && !conn.awaitingAnswer {
		return output, evio.Close
	}
	return output, evio.None
}

// Answers that do not come from the core.
const (
	malformedBody   = `{"error":"malformed request"}`
	busyBody        = `{"error":"busy"}`
	busyRetryAfterS = 1 // Retry-After of a response with busyBody, in seconds
)

// nextRequest parses the next request of the input. It returns false if the request is
// incomplete, and if it is malformed or too large: then the response is a 400, after which the
// connection is closed.
func (c *connection) nextRequest() (*httpwire.Request, bool) {
	request, size, err := httpwire.ParseRequest(c.input)
	if errors.Is(err, httpwire.ErrIncomplete) {
		if c.requestStarted.IsZero() {
			c.requestStarted = time.Now()
		}
		return nil, false
	}
	c.requestStarted = time.Time{}
	if err != nil {
		c.appendReply(httpwire.Reply{Status: httpstatus.BadRequest, Body: []byte(malformedBody), Close: true})
		c.input, c.closeAfterAnswer = nil, true
		return nil, false
	}
	c.input = c.input[size:]
	if len(c.input) == 0 {
		c.input = nil // frees the buffer of an idle connection
	}
	return request, true
}

// answer completes the request that is being handled, and adds the response to the output unless
// the connection is closed.
func (c *connection) answer(reply httpwire.Reply) {
	c.awaitingAnswer = false
	if c.closed {
		return
	}
	reply.Close = c.closeAfterAnswer
	c.appendReply(reply)
}

// appendReply appends a response to the output.
func (c *connection) appendReply(reply httpwire.Reply) {
	c.output = httpwire.AppendResponse(c.output, reply)
}
