package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// parseBody reads the body that a header describes, of at most limit bytes, and returns how many
// bytes the body took.
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

// maxChunkLineBytes limits the line with a chunk's size.
const maxChunkLineBytes = 1024

// parseChunks reads a chunked body and its trailers.
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

// parseChunkSize reads the line with a chunk's size, and returns the size and how many bytes the
// line takes. Extensions after the size are ignored.
func parseChunkSize(data []byte) (size, width int, err error) {
	end := bytes.Index(data, []byte(crlf))
	if end < 0 {
		if len(data) > maxChunkLineBytes {
			return 0, 0, ErrMalformed
		}
		return 0, 0, ErrIncomplete
	}
	digits, _, _ := strings.Cut(string(data[:end]), ";")
	parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(parsed), end + len(crlf), nil
}

// skipTrailers returns how many bytes the trailers, if any, and the empty line after them take.
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
