package gatewayd

import (
	"sync"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// foreign keeps the objects of a store that can't be read, as other writers may leave
// them. Each is logged once for each reason.
type foreign struct {
	process *Process

	mu      sync.Mutex
	reasons map[foreignName]string
}

// foreignName is an object of a feed.
type foreignName struct {
	feed, name string
}

func newForeign(p *Process) *foreign {
	return &foreign{
		process: p,
		reasons: make(map[foreignName]string),
	}
}

// note takes whether an object of a feed can be read; reason is nil if it can.
func (f *foreign) note(feed, name string, reason error) {
	at := foreignName{
		feed: feed,
		name: name,
	}
	f.mu.Lock()
	known, isKnown := f.reasons[at]
	if reason == nil {
		delete(f.reasons, at)
	} else {
		f.reasons[at] = reason.Error()
	}
	f.mu.Unlock()
	if reason != nil && (!isKnown || known != reason.Error()) {
		events.EntryRefused.On(&f.process.Log).Str("feed", feed).Str("entry", name).
			Str("reason", reason.Error()).Send()
	}
}

// of gives what takes whether objects of a feed can be read.
func (f *foreign) of(feed string) func(name string, reason error) {
	return func(name string, reason error) { f.note(feed, name, reason) }
}

// count gives how many objects can't be read.
func (f *foreign) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reasons)
}
