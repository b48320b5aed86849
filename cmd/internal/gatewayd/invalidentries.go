package gatewayd

import (
	"sync"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// invalidEntries tracks the store's entries that cannot be decoded, which other writers may leave
// there. Each entry is logged once per reason.
type invalidEntries struct {
	process *Process

	mu      sync.Mutex
	reasons map[entryName]string
}

// entryName identifies an entry by its feed and name.
type entryName struct {
	feed, name string
}

func newInvalidEntries(p *Process) *invalidEntries {
	return &invalidEntries{
		process: p,
		reasons: make(map[entryName]string),
	}
}

// record stores why an entry cannot be decoded; reason is nil if it can.
func (e *invalidEntries) record(feed, name string, reason error) {
	at := entryName{
		feed: feed,
		name: name,
	}
	e.mu.Lock()
	known, isKnown := e.reasons[at]
	if reason == nil {
		delete(e.reasons, at)
	} else {
		e.reasons[at] = reason.Error()
	}
	e.mu.Unlock()
	if reason != nil && (!isKnown || known != reason.Error()) {
		events.EntryRefused.On(&e.process.Log).Str("feed", feed).Str("entry", name).
			Str("reason", reason.Error()).Send()
	}
}

// recorder returns a function that records invalid entries of the feed, for Follower.OnInvalid.
func (e *invalidEntries) recorder(feed string) func(name string, reason error) {
	return func(name string, reason error) { e.record(feed, name, reason) }
}

// count returns the number of entries that cannot be decoded.
func (e *invalidEntries) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reasons)
}
