package slipwick

// StreamEvent is one event of an engine's answer.
type StreamEvent struct {
	// Request is the ID of the request that the event answers.
	Request string
	// Offset counts an answer's events from 0, without holes.
	Offset int
	// Data is the event's JSON payload; empty on the end marker.
	Data []byte
	// End marks the end of a whole answer.
	End bool
}
