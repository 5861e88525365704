package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// messageHeader is the header of a request or response, with the fields that this package uses.
type messageHeader struct {
	startLine        []byte
	hasContentLength bool
	contentLength    int  // of the body, in bytes
	chunked          bool // the body is chunked
	closeConnection  bool
	keepAlive        bool
	retryAfter       string
}

// crlf ends a line of a message.
const crlf = "\r\n"

// parseHeader reads a header and the empty line after it, and returns how many bytes they take.
func parseHeader(data []byte) (*messageHeader, int, error) {
	end := bytes.Index(data, []byte(crlf+crlf))
	switch {
	case end < 0 && len(data) <= MaxHeaderBytes:
		return nil, 0, ErrIncomplete
	case end < 0 || end > MaxHeaderBytes:
		return nil, 0, ErrTooLarge
	}
	startLine, rest := cutLine(data[:end])
	if len(startLine) == 0 {
		return nil, 0, ErrMalformed
	}
	header := &messageHeader{startLine: startLine}
	for len(rest) > 0 {
		var line []byte
		line, rest = cutLine(rest)
		if err := header.addLine(line); err != nil {
			return nil, 0, err
		}
	}
	if header.chunked && header.hasContentLength {
		return nil, 0, ErrMalformed
	}
	return header, end + 2*len(crlf), nil
}

// cutLine splits data after the first line.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte(crlf))
	return line, rest
}

// addLine parses a line that holds a field.
func (h *messageHeader) addLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || line[0] == ' ' || line[0] == '\t' || line[colon-1] == ' ' {
		return ErrMalformed
	}
	return h.setField(line[:colon], bytes.TrimSpace(line[colon+1:]))
}

// setField records a field. Fields that this package does not use are ignored.
func (h *messageHeader) setField(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		return h.setContentLength(value)
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case equalFold(name, "connection"):
		options := strings.ToLower(string(value))
		h.closeConnection = h.closeConnection || strings.Contains(options, "close")
		h.keepAlive = h.keepAlive || strings.Contains(options, "keep-alive")
	case equalFold(name, "retry-after"):
		h.retryAfter = string(value)
	}
	return nil
}

// setContentLength records the length of the body. Repeated fields must have the same value.
func (h *messageHeader) setContentLength(value []byte) error {
	parsed, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		return ErrMalformed
	}
	length := int(parsed)
	if h.hasContentLength && length != h.contentLength {
		return ErrMalformed
	}
	h.contentLength, h.hasContentLength = length, true
	return nil
}

// equalFold reports whether text equals lower, which has no upper-case letters, ignoring case.
func equalFold(text []byte, lower string) bool {
	return len(text) == len(lower) && strings.EqualFold(string(text), lower)
}
