package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// endingEngines end one after the other under each request of one key.
type endingEngines struct {
	fakeAdmission
	ended map[string]bool
	// live says that they only break off, and go on to live.
	live bool
}

func newEndingEngines(n int) *endingEngines {
	e := &endingEngines{
		ended: make(map[string]bool),
	}
	for i := range n {
		e.engines = append(e.engines, fmt.Sprint("engine-", i))
	}
	return e
}

func (e *endingEngines) dispatcher() *Dispatcher {
	return &Dispatcher{
		Admission: e,
		Hold:      time.Second,
		Engine: func(b slipwick.Backend) slipwick.Engine {
			e.ended[b.ID] = true
			return &fakeEngine{
				start: failing(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			}
		},
		IsGone: func(_ context.Context, b slipwick.Backend) bool { return e.ended[b.ID] && !e.live },
	}
}

func ask(t *testing.T, d *Dispatcher, id string) error {
	t.Helper()
	return d.Chat(t.Context(), Call{
		Pools:      []string{"p"},
		Key:        7,
		Repeatable: true,
	}, slipwick.ChatRequest{
		ID: id,
	}, func(slipwick.StreamEvent) error { return nil })
}

// TestChatUnderWhichEnginesEndIsQuarantined asks for the same under new IDs.
func TestChatUnderWhichEnginesEndIsQuarantined(t *testing.T) {
	e := newEndingEngines(10)
	d := e.dispatcher()
	d.Quarantine = quarantine.NewLedger("r")
	var err error
	for i := range 5 {
		err = ask(t, d, fmt.Sprint("r", i))
	}
	if got := len(e.ended); got != 3 {
		t.Errorf("got %d engines ended, want 3", got)
	}
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Kind != slipwick.KindQuarantined || failure.Outcome != slipwick.OutcomeNotRun ||
		failure.RetryAfter == 0 {
		t.Errorf("got %v, want it refused as not run, and when to come back", err)
	}
}

// TestChatThatBreaksOffAtLivingEnginesIsNot has engines break off and live on.
func TestChatThatBreaksOffAtLivingEnginesIsNot(t *testing.T) {
	e := newEndingEngines(10)
	e.live = true
	d := e.dispatcher()
	d.Quarantine = quarantine.NewLedger("r")
	for i := range 5 {
		if err := ask(t, d, fmt.Sprint("r", i)); slipwick.IsKind(err, slipwick.KindQuarantined) {
			t.Fatalf("got %v, want it tried", err)
		}
	}
}
