package slipwick

// StreamEvent is one event of an engine's response.
type StreamEvent struct {
	// Request is the ID of the request that the event belongs to.
	Request string
	// Offset is the index of the event in the response. Offsets start at 0 and have no gaps.
	Offset int
	// Data is the event's JSON payload; empty in the end marker.
	Data []byte
	// End is true for the end marker of a complete response.
	End bool
}
