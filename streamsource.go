package slipwick

import "context"

// OriginAnswer says what the routers know of the origin of a stream.
type OriginAnswer int

// The answers. OriginUnanswered means that not all routers that may know the origin have answered in time.
const (
	OriginUnanswered OriginAnswer = iota
	OriginUnknown
	OriginKnown
)

// StreamSource knows at which servers streams began that routers forwarded. A stream is identified by a hash of
// its workspace and of the ID of the request that brought its first event, its origin by a hash of the pool and
// the version of its servers, which isn't 0.
type StreamSource interface {
	// NoteOrigin notes where a stream began. It does not block.
	NoteOrigin(stream uint64, origin uint32)
	// FindOrigin returns where a stream began, if this router or one that it asks knows it. It blocks for a
	// bounded time.
	FindOrigin(ctx context.Context, stream uint64) (origin uint32, answer OriginAnswer)
}
