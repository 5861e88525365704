// Package httpstatus names the HTTP status numbers that the protocols use. The names are those of
// net/http, which is not imported because it would add megabytes to a controller.
package httpstatus

// NoAnswer is the status of a call that got no response.
const NoAnswer = 0

// Status numbers of RFC 9110.
const (
	OK                  = 200
	Created             = 201
	NoContent           = 204
	NotModified         = 304
	BadRequest          = 400
	NotFound            = 404
	MethodNotAllowed    = 405
	Conflict            = 409
	Gone                = 410
	ContentTooLarge     = 413
	MisdirectedRequest  = 421
	UnprocessableEntity = 422
	TooManyRequests     = 429
	ServiceUnavailable  = 503
	GatewayTimeout      = 504
)

// Text returns the reason phrase for a status line.
func Text(number int) string {
	switch number {
	case OK:
		return "OK"
	case Created:
		return "Created"
	case BadRequest:
		return "Bad Request"
	case NotFound:
		return "Not Found"
	case MethodNotAllowed:
		return "Method Not Allowed"
	case ContentTooLarge:
		return "Content Too Large"
	case MisdirectedRequest:
		return "Misdirected Request"
	case UnprocessableEntity:
		return "Unprocessable Content"
	case TooManyRequests:
		return "Too Many Requests"
	case ServiceUnavailable:
		return "Service Unavailable"
	case GatewayTimeout:
		return "Gateway Timeout"
	default:
		return "Status"
	}
}
