package events

import "github.com/rs/zerolog"

// Event is one kind of log line.
type Event struct {
	// Number is stable and never used again.
	Number int
	// Name is short, in kebab case.
	Name  string
	Level zerolog.Level
	// Meaning says when the event is logged.
	Meaning string
	// Remedy says what an operator does about it.
	Remedy string
}

// On starts a log line of the event; the caller adds fields and sends it.
func (e Event) On(log *zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
