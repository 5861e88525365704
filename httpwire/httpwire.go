// Package httpwire is a small HTTP/1.1 parser and writer for JSON bodies, for
// the server and the client side. It reads from byte slices that may hold a
// part of a message, so it fits an event loop as well as a blocking reader.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
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

func parseHeader(b []byte) (*header, int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > MaxHeader {
			return nil, 0, ErrTooLarge
		}
		return nil, 0, ErrPartial
	}
	if end > MaxHeader {
		return nil, 0, ErrTooLarge
	}
	h := &header{}
	rest := b[:end]
	i := bytes.Index(rest, []byte("\r\n"))
	if i < 0 {
		h.start, rest = rest, nil
	} else {
		h.start, rest = rest[:i], rest[i+2:]
	}
	if len(h.start) == 0 {
		return nil, 0, ErrMalformed
	}
	for len(rest) > 0 {
		line := rest
		if i := bytes.Index(rest, []byte("\r\n")); i >= 0 {
			line, rest = rest[:i], rest[i+2:]
		} else {
			rest = nil
		}
		c := bytes.IndexByte(line, ':')
		if c <= 0 || line[0] == ' ' || line[0] == '\t' || line[c-1] == ' ' {
			return nil, 0, ErrMalformed
		}
		name, value := line[:c], bytes.TrimSpace(line[c+1:])
		switch {
		case foldEq(name, "content-length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || h.hasLength && int(n) != h.length || len(value) > 0 && value[0] == '+' {
				return nil, 0, ErrMalformed
			}
			h.length, h.hasLength = int(n), true
		case foldEq(name, "transfer-encoding"):
			if !foldEq(value, "chunked") {
				return nil, 0, ErrMalformed
			}
			h.chunked = true
		case foldEq(name, "connection"):
			v := strings.ToLower(string(value))
			h.close = h.close || strings.Contains(v, "close")
			h.keepAlive = h.keepAlive || strings.Contains(v, "keep-alive")
		case foldEq(name, "retry-after"):
			h.retryAfter = string(value)
		}
	}
	if h.chunked && h.hasLength {
		return nil, 0, ErrMalformed
	}
	return h, end + 4, nil
}

func foldEq(b []byte, lower string) bool {
	return len(b) == len(lower) && strings.EqualFold(string(b), lower)
}

func parseBody(b []byte, h *header, limit int) ([]byte, int, error) {
	if !h.chunked {
		if h.length > limit {
			return nil, 0, ErrTooLarge
		}
		if len(b) < h.length {
			return nil, 0, ErrPartial
		}
		return append([]byte(nil), b[:h.length]...), h.length, nil
	}
	var body []byte
	n := 0
	for {
		i := bytes.Index(b[n:], []byte("\r\n"))
		if i < 0 {
			if len(b)-n > 1024 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, ErrPartial
		}
		size := string(b[n : n+i])
		if j := strings.IndexByte(size, ';'); j >= 0 {
			size = size[:j]
		}
		c, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		n += i + 2
		if len(body)+int(c) > limit {
			return nil, 0, ErrTooLarge
		}
		if c == 0 {
			// Trailers, if any, end with an empty line.
			for {
				j := bytes.Index(b[n:], []byte("\r\n"))
				if j < 0 {
					if len(b)-n > MaxHeader {
						return nil, 0, ErrTooLarge
					}
					return nil, 0, ErrPartial
				}
				n += j + 2
				if j == 0 {
					return body, n, nil
				}
			}
		}
		if len(b) < n+int(c)+2 {
			return nil, 0, ErrPartial
		}
		body = append(body, b[n:n+int(c)]...)
		n += int(c)
		if b[n] != '\r' || b[n+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		n += 2
	}
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse writes a response with a JSON body. A retryAfter of 0 leaves
// the header out.
func AppendResponse(b []byte, status int, body []byte, retryAfter int, close bool) []byte {
	reason := reasons[status]
	if reason == "" {
		reason = "Status"
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
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
