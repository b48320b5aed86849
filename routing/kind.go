package routing

// Kind says what may be done with a route's requests.
type Kind string

// The kinds of route.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindSingle requests run at most once.
	KindSingle Kind = "single"
	// KindStream requests are answered by a series of events. They run at
	// most once, unless the route says that they may be resumed.
	KindStream Kind = "stream"
)
