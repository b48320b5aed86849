package memory

// Use is what bytes are held for.
type Use int

// The uses of memory.
const (
	// Body is the body of a caller's request, which is held because it may be sent again.
	Body Use = iota
	// Response is a response that is read completely before it is forwarded.
	Response
	// Stream is what was read from a stream and not yet written to its caller.
	Stream
	// Head is the head of a caller's request.
	Head
	// LargeBody is what a body takes beyond the size of most.
	LargeBody
	useCount
)

// Uses returns all uses.
func Uses() []Use {
	return []Use{Body, Response, Stream, Head, LargeBody}
}

// String returns the name used in metrics.
func (u Use) String() string {
	switch u {
	case Body:
		return "body"
	case Response:
		return "response"
	case Head:
		return "head"
	case LargeBody:
		return "large-body"
	default:
		return "stream"
	}
}

const (
	// responseShare and streamShare are the shares of the limit up to which TryGrow reserves bytes
	// for buffered responses and streams. Both can go on without them, so that the rest of the limit is
	// left for requests that begin: stalled readers must not cause refusals.
	responseShare = 0.75
	streamShare   = 0.5
	// largeBodyShare is the share for large bodies, so that many of them leave room for small ones.
	largeBodyShare = 0.75
	// headShare is the share for heads that are larger than usual. The rest is left for the bodies of other requests.
	headShare = 0.5
)

// optionalLimit returns up to which total TryGrow may reserve bytes for this use.
func (u Use) optionalLimit(limit int64) int64 {
	switch u {
	case Response:
		return int64(responseShare * float64(limit))
	case Stream:
		return int64(streamShare * float64(limit))
	case LargeBody:
		return int64(largeBodyShare * float64(limit))
	case Head:
		return int64(headShare * float64(limit))
	default:
		return limit
	}
}
