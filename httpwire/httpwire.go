// Package httpwire is a small HTTP/1.1 parser and writer for JSON bodies, for
// the server and the client side. It reads from byte slices that may hold a
// part of a message, so it fits an event loop as well as a blocking reader.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
)

// Limits of what is read.
const (
	MaxHeader       = 16 << 10
	MaxRequestBody  = 64 << 10
	MaxResponseBody = 64 << 20
)

// Errors of the parser. Partial means that more bytes are needed.
var (
	ErrPartial   = errors.New("httpwire: partial message")
	ErrMalformed = errors.New("httpwire: malformed message")
	ErrTooLarge  = errors.New("httpwire: message too large")
)

// Request is a parsed request. Body and strings alias nothing that the caller
// reuses.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
}

// Response is a parsed response.
type Response struct {
	Status     int
	Body       []byte
	Close      bool
	RetryAfter string
}

type header struct {
	start      []byte
	length     int
	chunked    bool
	close      bool
	keepAlive  bool
	hasLength  bool
	retryAfter string
}

// ParseRequest reads one request from the start of b and tells how many bytes
// it took.
func ParseRequest(b []byte) (*Request, int, error) {
	skip := 0
	for skip+1 < len(b) && b[skip] == '\r' && b[skip+1] == '\n' && skip < 4 {
		skip += 2
	}
	h, n, err := parseHeader(b[skip:])
	if err != nil {
		return nil, 0, err
	}
	n += skip
	parts := strings.Split(string(h.start), " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return nil, 0, ErrMalformed
	}
	r := &Request{Method: parts[0], Path: parts[1], Close: h.close || parts[2] == "HTTP/1.0" && !h.keepAlive}
	if i := strings.IndexByte(r.Path, '?'); i >= 0 {
		r.Path, r.Query = r.Path[:i], r.Path[i+1:]
	}
	body, m, err := parseBody(b[n:], h, MaxRequestBody)
	if err != nil {
		return nil, 0, err
	}
	r.Body = body
	return r, n + m, nil
}

// ParseResponse reads one response from the start of b and tells how many
// bytes it took. Every response needs a length or chunks, save 204 and 304.
func ParseResponse(b []byte) (*Response, int, error) {
	h, n, err := parseHeader(b)
	if err != nil {
		return nil, 0, err
	}
	line := string(h.start)
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < 12 || line[8] != ' ' {
		return nil, 0, ErrMalformed
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 {
		return nil, 0, ErrMalformed
	}
	r := &Response{Status: status, Close: h.close, RetryAfter: h.retryAfter}
	if status == 204 || status == 304 || status < 200 {
		return r, n, nil
	}
	if !h.hasLength && !h.chunked {
		return nil, 0, ErrMalformed
	}
	body, m, err := parseBody(b[n:], h, MaxResponseBody)
	if err != nil {
		return nil, 0, err
	}
	r.Body = body
	return r, n + m, nil
}

// lineEnd ends a line of a header.
const lineEnd = "\r\n"

// parseHeader reads a header and the empty line behind it.
func parseHeader(b []byte) (*header, int, error) {
	end := bytes.Index(b, []byte(lineEnd+lineEnd))
	switch {
	case end < 0 && len(b) <= MaxHeader:
		return nil, 0, ErrPartial
	case end < 0 || end > MaxHeader:
		return nil, 0, ErrTooLarge
	}
	start, rest := cutLine(b[:end])
	if len(start) == 0 {
		return nil, 0, ErrMalformed
	}
	h := &header{start: start}
	for len(rest) > 0 {
		var line []byte
		line, rest = cutLine(rest)
		if err := h.addLine(line); err != nil {
			return nil, 0, err
		}
	}
	if h.chunked && h.hasLength {
		return nil, 0, ErrMalformed
	}
	return h, end + 2*len(lineEnd), nil
}

// cutLine splits the first line off.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte(lineEnd))
	return line, rest
}

// addLine takes a line with a field into the header.
func (h *header) addLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || line[0] == ' ' || line[0] == '\t' || line[colon-1] == ' ' {
		return ErrMalformed
	}
	return h.set(line[:colon], bytes.TrimSpace(line[colon+1:]))
}

// set takes in a field that matters here; others are left alone.
func (h *header) set(name, value []byte) error {
	switch {
	case foldEq(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || h.hasLength && int(n) != h.length || len(value) > 0 && value[0] == '+' {
			return ErrMalformed
		}
		h.length, h.hasLength = int(n), true
	case foldEq(name, "transfer-encoding"):
		if !foldEq(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case foldEq(name, "connection"):
		v := strings.ToLower(string(value))
		h.close = h.close || strings.Contains(v, "close")
		h.keepAlive = h.keepAlive || strings.Contains(v, "keep-alive")
	case foldEq(name, "retry-after"):
		h.retryAfter = string(value)
	}
	return nil
}

func foldEq(b []byte, lower string) bool {
	return len(b) == len(lower) && strings.EqualFold(string(b), lower)
}

// parseBody reads the body that a header announces.
func parseBody(b []byte, h *header, limit int) ([]byte, int, error) {
	if h.chunked {
		return parseChunks(b, limit)
	}
	if h.length > limit {
		return nil, 0, ErrTooLarge
	}
	if len(b) < h.length {
		return nil, 0, ErrPartial
	}
	return append([]byte(nil), b[:h.length]...), h.length, nil
}

// maxChunkLine bounds the line with a chunk's size.
const maxChunkLine = 1024

// parseChunks reads a body in chunks, up to the trailers' end.
func parseChunks(b []byte, limit int) (body []byte, n int, err error) {
	for {
		size, width, err := parseChunkSize(b[n:])
		if err != nil {
			return nil, 0, err
		}
		n += width
		if len(body)+size > limit {
			return nil, 0, ErrTooLarge
		}
		if size == 0 {
			width, err := skipTrailers(b[n:])
			if err != nil {
				return nil, 0, err
			}
			return body, n + width, nil
		}
		if len(b) < n+size+len(lineEnd) {
			return nil, 0, ErrPartial
		}
		body = append(body, b[n:n+size]...)
		n += size
		if string(b[n:n+len(lineEnd)]) != lineEnd {
			return nil, 0, ErrMalformed
		}
		n += len(lineEnd)
	}
}

// parseChunkSize reads the line with a chunk's size, whatever extensions follow it
// there. It returns how many bytes the line takes as well.
func parseChunkSize(b []byte) (size, width int, err error) {
	end := bytes.Index(b, []byte(lineEnd))
	if end < 0 {
		if len(b) > maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, ErrPartial
	}
	digits, _, _ := strings.Cut(string(b[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(n), end + len(lineEnd), nil
}

// skipTrailers returns how many bytes the trailers take, if there are any, and the
// empty line that ends them.
func skipTrailers(b []byte) (int, error) {
	n := 0
	for {
		end := bytes.Index(b[n:], []byte(lineEnd))
		if end < 0 {
			if len(b)-n > MaxHeader {
				return 0, ErrTooLarge
			}
			return 0, ErrPartial
		}
		n += end + len(lineEnd)
		if end == 0 {
			return n, nil
		}
	}
}

// AppendResponse writes a response with a JSON body. A retryAfter of 0 leaves
// the header out.
func AppendResponse(b []byte, status int, body []byte, retryAfter int, close bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, httpstatus.Text(status)...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfter), 10)
	}
	if close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendRequest writes a request; path holds the query too.
func AppendRequest(b []byte, method, path, host string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil || method == "POST" {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
