package gatewayd

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestForeignEntriesAreLoggedOnce has an entry be unreadable again and again, for one
// reason and then another, and be good at last.
func TestForeignEntriesAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	p := New(&Settings{}, Feeds{})
	p.Log = zerolog.New(&lines)
	for range 3 {
		p.invalidEntries.record(feedBackends, "a", errors.New("field address"))
	}
	p.invalidEntries.record(feedBackends, "b", errors.New("field state"))
	p.invalidEntries.record(feedBackends, "a", errors.New("field slots"))
	if got, want := strings.Count(lines.String(), "entry-refused"), 3; got != want {
		t.Errorf("got %d lines, want %d:\n%s", got, want, lines.String())
	}
	if got := p.invalidEntries.count(); got != 2 {
		t.Errorf("got %d entries that can't be read, want 2", got)
	}
	p.invalidEntries.recorder(feedBackends)("a", nil)
	if got := p.invalidEntries.count(); got != 1 {
		t.Errorf("got %d entries that can't be read after one is good, want 1", got)
	}
}
