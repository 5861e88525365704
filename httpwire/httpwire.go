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
	MaxHeaderBytes       = 16 << 10
	MaxRequestBodyBytes  = 64 << 10
	MaxResponseBodyBytes = 64 << 20
)

// Errors of the parser. Partial means that more bytes are needed.
var (
	ErrIncomplete = errors.New("httpwire: partial message")
	ErrMalformed  = errors.New("httpwire: malformed message")
	ErrTooLarge   = errors.New("httpwire: message too large")
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

type messageHeader struct {
	startLine        []byte
	contentLength    int
	chunked          bool
	closeConnection  bool
	keepAlive        bool
	hasContentLength bool
	retryAfter       string
}

// ParseRequest reads one request from the start of b and tells how many bytes
// it took.
func ParseRequest(data []byte) (*Request, int, error) {
	skip := 0
	for skip+1 < len(data) && data[skip] == '\r' && data[skip+1] == '\n' && skip < 4 {
		skip += 2
	}
	header, size, err := parseHeader(data[skip:])
	if err != nil {
		return nil, 0, err
	}
	size += skip
	parts := strings.Split(string(header.startLine), " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return nil, 0, ErrMalformed
	}
	request := &Request{Method: parts[0], Path: parts[1], Close: header.closeConnection || parts[2] == "HTTP/1.0" && !header.keepAlive}
	if i := strings.IndexByte(request.Path, '?'); i >= 0 {
		request.Path, request.Query = request.Path[:i], request.Path[i+1:]
	}
	body, bodySize, err := parseBody(data[size:], header, MaxRequestBodyBytes)
	if err != nil {
		return nil, 0, err
	}
	request.Body = body
	return request, size + bodySize, nil
}

// ParseResponse reads one response from the start of b and tells how many
// bytes it took. Every response needs a length or chunks, save 204 and 304.
func ParseResponse(data []byte) (*Response, int, error) {
	header, size, err := parseHeader(data)
	if err != nil {
		return nil, 0, err
	}
	line := string(header.startLine)
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < 12 || line[8] != ' ' {
		return nil, 0, ErrMalformed
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 {
		return nil, 0, ErrMalformed
	}
	response := &Response{Status: status, Close: header.closeConnection, RetryAfter: header.retryAfter}
	if status == 204 || status == 304 || status < 200 {
		return response, size, nil
	}
	if !header.hasContentLength && !header.chunked {
		return nil, 0, ErrMalformed
	}
	body, bodySize, err := parseBody(data[size:], header, MaxResponseBodyBytes)
	if err != nil {
		return nil, 0, err
	}
	response.Body = body
	return response, size + bodySize, nil
}

// crlf ends a line of a header.
const crlf = "\r\n"

// parseHeader reads a header and the empty line behind it.
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

// cutLine splits the first line off.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte(crlf))
	return line, rest
}

// addLine takes a line with a field into the header.
func (h *messageHeader) addLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || line[0] == ' ' || line[0] == '\t' || line[colon-1] == ' ' {
		return ErrMalformed
	}
	return h.setField(line[:colon], bytes.TrimSpace(line[colon+1:]))
}

// setField takes in a field that matters here; others are left alone.
func (h *messageHeader) setField(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || h.hasContentLength && int(n) != h.contentLength || len(value) > 0 && value[0] == '+' {
			return ErrMalformed
		}
		h.contentLength, h.hasContentLength = int(n), true
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case equalFold(name, "connection"):
		v := strings.ToLower(string(value))
		h.closeConnection = h.closeConnection || strings.Contains(v, "close")
		h.keepAlive = h.keepAlive || strings.Contains(v, "keep-alive")
	case equalFold(name, "retry-after"):
		h.retryAfter = string(value)
	}
	return nil
}

func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && strings.EqualFold(string(b), lower)
}

// parseBody reads the body that a header announces.
func parseBody(data []byte, header *messageHeader, limit int) ([]byte, int, error) {
	if header.chunked {
		return parseChunks(data, limit)
	}
	if header.contentLength > limit {
		return nil, 0, ErrTooLarge
	}
	if len(data) < header.contentLength {
		return nil, 0, ErrIncomplete
	}
	return append([]byte(nil), data[:header.contentLength]...), header.contentLength, nil
}

// maxChunkLine bounds the line with a chunk's size.
const maxChunkLine = 1024

// parseChunks reads a body in chunks, up to the trailers' end.
func parseChunks(data []byte, limit int) (body []byte, offset int, err error) {
	for {
		chunkSize, width, err := parseChunkSize(data[offset:])
		if err != nil {
			return nil, 0, err
		}
		offset += width
		if len(body)+chunkSize > limit {
			return nil, 0, ErrTooLarge
		}
		if chunkSize == 0 {
			width, err := skipTrailers(data[offset:])
			if err != nil {
				return nil, 0, err
			}
			return body, offset + width, nil
		}
		if len(data) < offset+chunkSize+len(crlf) {
			return nil, 0, ErrIncomplete
		}
		body = append(body, data[offset:offset+chunkSize]...)
		offset += chunkSize
		if string(data[offset:offset+len(crlf)]) != crlf {
			return nil, 0, ErrMalformed
		}
		offset += len(crlf)
	}
}

// parseChunkSize reads the line with a chunk's size, whatever extensions follow it
// there. It returns how many bytes the line takes as well.
func parseChunkSize(data []byte) (size, width int, err error) {
	end := bytes.Index(data, []byte(crlf))
	if end < 0 {
		if len(data) > maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, ErrIncomplete
	}
	digits, _, _ := strings.Cut(string(data[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(n), end + len(crlf), nil
}

// skipTrailers returns how many bytes the trailers take, if there are any, and the
// empty line that ends them.
func skipTrailers(data []byte) (int, error) {
	offset := 0
	for {
		end := bytes.Index(data[offset:], []byte(crlf))
		if end < 0 {
			if len(data)-offset > MaxHeaderBytes {
				return 0, ErrTooLarge
			}
			return 0, ErrIncomplete
		}
		offset += end + len(crlf)
		if end == 0 {
			return offset, nil
		}
	}
}

// AppendResponse writes a response with a JSON body. A retryAfter of 0 leaves
// the header out.
func AppendResponse(buf []byte, status int, body []byte, retryAfter int, closeConnection bool) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, httpstatus.Text(status)...)
	buf = append(buf, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	buf = strconv.AppendInt(buf, int64(len(body)), 10)
	if retryAfter > 0 {
		buf = append(buf, "\r\nRetry-After: "...)
		buf = strconv.AppendInt(buf, int64(retryAfter), 10)
	}
	if closeConnection {
		buf = append(buf, "\r\nConnection: close"...)
	}
	buf = append(buf, "\r\n\r\n"...)
	return append(buf, body...)
}

// AppendRequest writes a request; path holds the query too.
func AppendRequest(buf []byte, method, path, host string, body []byte) []byte {
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, path...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, host...)
	if body != nil || method == "POST" {
		buf = append(buf, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(body)), 10)
	}
	buf = append(buf, "\r\n\r\n"...)
	return append(buf, body...)
}
