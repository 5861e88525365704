package httpwire

import (
	"strconv"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
)

// AppendResponse appends a response to buf.
func AppendResponse(buf []byte, reply Reply) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(reply.Status), 10)
	buf = append(buf, ' ')
	buf = append(buf, httpstatus.Text(reply.Status)...)
	buf = append(buf, crlf...)
	buf = appendJSONHeader(buf, len(reply.Body))
	if reply.RetryAfter > 0 {
		buf = append(buf, "Retry-After: "...)
		buf = strconv.AppendInt(buf, int64(reply.RetryAfter), 10)
		buf = append(buf, crlf...)
	}
	if reply.Close {
		buf = append(buf, "Connection: close"+crlf...)
	}
	buf = append(buf, crlf...)
	return append(buf, reply.Body...)
}

// AppendRequest appends a request to buf. target is the path with the query. A request with a nil
// body has no body headers, unless its method is POST.
func AppendRequest(buf []byte, method, target, host string, body []byte) []byte {
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, target...)
	buf = append(buf, " HTTP/1.1"+crlf+"Host: "...)
	buf = append(buf, host...)
	buf = append(buf, crlf...)
	if body != nil || method == "POST" {
		buf = appendJSONHeader(buf, len(body))
	}
	buf = append(buf, crlf...)
	return append(buf, body...)
}

// appendJSONHeader appends the header fields of a JSON body.
func appendJSONHeader(buf []byte, length int) []byte {
	buf = append(buf, "Content-Type: application/json"+crlf+"Content-Length: "...)
	buf = strconv.AppendInt(buf, int64(length), 10)
	return append(buf, crlf...)
}
