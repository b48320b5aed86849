package balance

// Ask says what a request needs.
type Ask struct {
	Pool string
	// Prompt has the keys of the parts of the request's prompt that other
	// requests share, in order; empty without a prompt.
	Prompt []uint64
	// Avoid lists the IDs of backend servers that the request has tried.
	Avoid []string
}
