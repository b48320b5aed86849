package gatewayd

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestInvalidEntriesAreLoggedOncePerReason records an entry as invalid several times, for one
// reason and then another, and as valid at last.
func TestInvalidEntriesAreLoggedOncePerReason(t *testing.T) {
	var lines bytes.Buffer
	p := New(&Settings{}, Feeds{})
	p.Log = zerolog.New(&lines)
	for range 3 {
		p.invalidEntries.record(feedBackends, "a", errors.New("field address"))
	}
	p.invalidEntries.record(feedBackends, "b", errors.New("field state"))
	p.invalidEntries.record(feedBackends, "a", errors.New("field slots"))
	if got, want := strings.Count(lines.String(), "entry-refused"), 3; got != want {
		t.Errorf("got %d log lines, want %d:\n%s", got, want, lines.String())
	}
	if got := p.invalidEntries.count(); got != 2 {
		t.Errorf("got %d invalid entries, want 2", got)
	}
	p.invalidEntries.recorder(feedBackends)("a", nil)
	if got := p.invalidEntries.count(); got != 1 {
		t.Errorf("got %d invalid entries after one became valid, want 1", got)
	}
}
