package upstream

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

const (
	// FramingLength announces the length before the body.
	FramingLength Framing = "length"
	// FramingChunked sends the body in chunks, the last of which is empty.
	FramingChunked Framing = "chunked"
	// FramingClose ends the body with the connection, so that a body that was cut short by an orderly
	// close looks complete.
	FramingClose Framing = "close"
)

// framingOf returns how the body of a response is delimited. Responses that can't have a body count as
// ones with a length.
func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramingLength
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingClose
	}
}
