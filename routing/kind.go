package routing

// Kind says whether a route's requests may run more than once and how they are answered.
type Kind string

// The kinds of routes.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindSingle requests run at most once.
	KindSingle Kind = "single"
	// KindStream requests are answered by a stream of events. They run at most once, unless the
	// route is resumable.
	KindStream Kind = "stream"
)
