package events

import "github.com/rs/zerolog"

// Event is a kind of log line.
type Event struct {
	// Number never changes, and is not reused if the event is removed.
	Number int
	// Name is a short name in kebab case.
	Name  string
	Level zerolog.Level
	// Meaning says when the event is logged.
	Meaning string
	// Remedy says what an operator has to do about it.
	Remedy string
}

// On returns a log line with the event's level, number and name; the caller adds further fields
// and calls Send, which writes the line to log.
func (e Event) On(log *zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
