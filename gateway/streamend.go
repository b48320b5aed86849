package gateway

import (
	"bytes"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/upstream"
)

// finishEvents ends a stream whose response was read to its end; rest is what follows its last complete
// event. A backend server that crashes may close its connection in an orderly way, and a proxy in front of
// it may send the last chunk, so that the end of the response doesn't prove that the last event is complete.
func (c *call) finishEvents(
	response *upstream.Response, source *readAhead, rest []byte,
) (result, slipwick.Evidence, error) {
	c.restBytes = len(rest)
	if isEventStream(response.Header) && isPartOfEvent(rest) {
		return c.classifyStreamError(errors.Errorf(
			"stream ended inside an event, %d bytes after the last complete one; the server may have crashed", len(rest)),
			source)
	}
	if err := c.writeEvents(response, source, rest); err != nil {
		return resultDisconnected, slipwick.EvidenceNone, err
	}
	if c.writeHead(response) != nil {
		return resultDisconnected, slipwick.EvidenceGood, nil
	}
	return resultDelivered, slipwick.EvidenceGood, nil
}

// isEventStream reports whether a response on a stream's route consists of server-sent events: all do that
// don't name another content type.
func isEventStream(header http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return mediaType == "" || mediaType == "text/event-stream"
}

// isPartOfEvent reports whether bytes without a complete event are the beginning of one. Blank lines and
// complete comments belong to no event.
func isPartOfEvent(rest []byte) bool {
	for len(rest) > 0 {
		end := bytes.IndexAny(rest, "\r\n")
		if end < 0 || end > 0 && rest[0] != ':' {
			return true
		}
		rest = rest[end+1:]
	}
	return false
}
