package sse

// Event is one server-sent event.
type Event struct {
	ID   string
	Type string
	Data []byte
}
