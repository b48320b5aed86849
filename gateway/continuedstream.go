package gateway

// ContinuedStream describes a stream that a backend server continues after an earlier send or an earlier
// request of the caller.
type ContinuedStream struct {
	RequestID string
	// Resumes is the ID of the caller's request that brought the stream's first event, as the caller says;
	// empty if it doesn't.
	Resumes string
	Pool    string
	Backend string
	// Version is the version of the backend server's software.
	Version string
	// Origin is how the router knew the version.
	Origin OriginSource
	// IsSameResponse says that the caller gets the events in the response that has the ones before.
	IsSameResponse bool
}

// OriginSource is how a router knows at which version a stream began.
type OriginSource string

// The sources.
const (
	// OriginForwarded says that the router forwarded the earlier events in the same response.
	OriginForwarded OriginSource = "forwarded"
	// OriginTold says that a router that forwarded the begin told it to this one, or to one that was asked.
	OriginTold OriginSource = "told"
	// OriginOnlyVersion says that no other version can have begun it.
	OriginOnlyVersion OriginSource = "only-version"
)
