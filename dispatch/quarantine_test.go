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
	// onAcquire is called with how many slots were asked for; may be nil.
	onAcquire func(asked int)
}

func (e *endingEngines) Acquire(ctx context.Context, ask slipwick.Ask) (slipwick.Grant, error) {
	grant, err := e.fakeAdmission.Acquire(ctx, ask)
	if e.onAcquire != nil {
		e.onAcquire(len(e.asked))
	}
	return grant, err
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

// TestRequestThatMayHaveRunIsNotToldOtherwise has a first attempt break off, after which
// the request may go nowhere: it is quarantined, or no engine is left.
func TestRequestThatMayHaveRunIsNotToldOtherwise(t *testing.T) {
	for name, change := range map[string]func(*endingEngines, *Dispatcher){
		"quarantined between its attempts": func(_ *endingEngines, d *Dispatcher) {
			d.IsGone = func(context.Context, slipwick.Backend) bool {
				// Another router's news arrive meanwhile.
				d.Quarantine.Hear([]quarantine.Mark{{Key: 7, Server: 1}, {Key: 7, Server: 2}, {Key: 7, Server: 3}})
				return false
			}
		},
		"quarantined before its next send": func(e *endingEngines, d *Dispatcher) {
			e.onAcquire = func(asked int) {
				if asked == 2 {
					d.Quarantine.Hear([]quarantine.Mark{{Key: 7, Server: 1}, {Key: 7, Server: 2}, {Key: 7, Server: 3}})
				}
			}
		},
		"refused at its next send": func(e *endingEngines, d *Dispatcher) {
			engine := d.Engine
			d.Engine = func(b slipwick.Backend) slipwick.Engine {
				if len(e.ended) == 0 {
					return engine(b)
				}
				return &fakeEngine{
					start: failing(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun),
				}
			}
		},
		"no engine left": func(e *endingEngines, _ *Dispatcher) { e.engines = e.engines[:1] },
	} {
		e := newEndingEngines(3)
		e.live = true
		d := e.dispatcher()
		d.Quarantine = quarantine.NewLedger("r")
		change(e, d)
		err := ask(t, d, "r")
		failure, ok := slipwick.AsError(err)
		if !ok || failure.Outcome != slipwick.OutcomeUnknown {
			t.Errorf("%s: got %+v, want it said that it may have run", name, err)
		}
	}
}

// TestQuarantinedBeforeItsFirstSendIsNotRun has the news arrive while a request waits for
// its first slot.
func TestQuarantinedBeforeItsFirstSendIsNotRun(t *testing.T) {
	e := newEndingEngines(3)
	d := e.dispatcher()
	d.Quarantine = quarantine.NewLedger("r")
	e.onAcquire = func(int) {
		d.Quarantine.Hear([]quarantine.Mark{{Key: 7, Server: 1}, {Key: 7, Server: 2}, {Key: 7, Server: 3}})
	}
	err := ask(t, d, "r")
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Outcome != slipwick.OutcomeNotRun || failure.Kind != slipwick.KindQuarantined || len(e.ended) > 0 {
		t.Errorf("got %+v after %d sends, want it refused as not run", err, len(e.ended))
	}
	if got := len(e.evidence); got != 1 {
		t.Errorf("got %d slots given back, want one", got)
	}
}
