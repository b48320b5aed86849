package balance

// Ask says what a request needs.
type Ask struct {
	Pool string
	// Prompt is the key of the longest part of the request's prompt that
	// other requests share; 0 without one.
	Prompt uint64
	// Avoid lists the IDs of backend servers that the request has tried.
	Avoid []string
}
