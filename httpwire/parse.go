package httpwire

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
)

// maxLeadingEmptyLines is how many empty lines before a request are skipped. Some clients send one
// after a body.
const maxLeadingEmptyLines = 2

// minStatus is the lowest valid status number.
const minStatus = 100

// ParseRequest reads one request from the start of data and returns how many bytes it took.
func ParseRequest(data []byte) (*Request, int, error) {
	skipped := leadingEmptyLines(data)
	header, size, err := parseHeader(data[skipped:])
	if err != nil {
		return nil, 0, err
	}
	size += skipped
	request, err := parseRequestLine(string(header.startLine))
	if err != nil {
		return nil, 0, err
	}
	request.Close = header.closeConnection || request.Close && !header.keepAlive
	body, bodySize, err := parseBody(data[size:], header, MaxRequestBodyBytes)
	if err != nil {
		return nil, 0, err
	}
	request.Body = body
	return request, size + bodySize, nil
}

// leadingEmptyLines returns how many bytes the skipped empty lines before a request take.
func leadingEmptyLines(data []byte) int {
	skipped := 0
	for range maxLeadingEmptyLines {
		if !bytes.HasPrefix(data[skipped:], []byte(crlf)) {
			break
		}
		skipped += len(crlf)
	}
	return skipped
}

// parseRequestLine reads the method and the target. It sets Close for HTTP/1.0, where connections
// are closed after a response by default.
func parseRequestLine(line string) (*Request, error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return nil, ErrMalformed
	}
	method, target, version := parts[0], parts[1], parts[2]
	if method == "" || !strings.HasPrefix(target, "/") || !strings.HasPrefix(version, "HTTP/1.") {
		return nil, ErrMalformed
	}
	path, query, _ := strings.Cut(target, "?")
	return &Request{Method: method, Path: path, Query: query, Close: version == "HTTP/1.0"}, nil
}

// ParseResponse reads one response from the start of data and returns how many bytes it took.
// A response must have a length or be chunked, unless it cannot have a body: informational
// responses, 204 and 304.
func ParseResponse(data []byte) (*Response, int, error) {
	header, size, err := parseHeader(data)
	if err != nil {
		return nil, 0, err
	}
	status, err := parseStatusLine(string(header.startLine))
	if err != nil {
		return nil, 0, err
	}
	response := &Response{Status: status, Close: header.closeConnection, RetryAfter: header.retryAfter}
	if !hasBody(status) {
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

// parseStatusLine reads the status number.
func parseStatusLine(line string) (int, error) {
	const (
		numberStart = len("HTTP/1.1 ")
		numberEnd   = numberStart + 3
	)
	if !strings.HasPrefix(line, "HTTP/1.") || len(line) < numberEnd || line[numberStart-1] != ' ' {
		return 0, ErrMalformed
	}
	status, err := strconv.Atoi(line[numberStart:numberEnd])
	if err != nil || status < minStatus {
		return 0, ErrMalformed
	}
	return status, nil
}

// hasBody reports whether a response with a status has a body.
func hasBody(status int) bool {
	return status >= httpstatus.OK && status != httpstatus.NoContent && status != httpstatus.NotModified
}
