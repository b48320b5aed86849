package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// crashingEngines is a fakeAdmission whose engines crash when they get a request.
type crashingEngines struct {
	fakeAdmission
	// crashed marks the engines that got a request.
	crashed map[string]bool
	// survive makes the engines lose the connection only, and stay alive.
	survive bool
	// onAcquire, unless nil, is called with the number of slots requested so far.
	onAcquire func(requested int)
}

func (e *crashingEngines) Acquire(ctx context.Context, request slipwick.AcquireRequest) (slipwick.Grant, error) {
	grant, err := e.fakeAdmission.Acquire(ctx, request)
	if e.onAcquire != nil {
		e.onAcquire(len(e.requests))
	}
	return grant, err
}

func newCrashingEngines(n int) *crashingEngines {
	e := &crashingEngines{
		crashed: make(map[string]bool),
	}
	for i := range n {
		e.engines = append(e.engines, fmt.Sprint("engine-", i))
	}
	return e
}

func (e *crashingEngines) dispatcher() *Dispatcher {
	return &Dispatcher{
		Admission:   e,
		MaxSlotWait: time.Second,
		Engine: func(b slipwick.Backend) slipwick.Engine {
			e.crashed[b.ID] = true
			return &fakeEngine{
				startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			}
		},
		HasCrashed: func(_ context.Context, b slipwick.Backend) bool { return e.crashed[b.ID] && !e.survive },
	}
}

func sendChat(t *testing.T, d *Dispatcher, id string) error {
	t.Helper()
	return d.Chat(t.Context(), Call{
		Pools:         []string{"p"},
		QuarantineKey: 7,
		Repeatable:    true,
	}, slipwick.ChatRequest{
		ID: id,
	}, func(slipwick.StreamEvent) error { return nil })
}

// TestChatThatCrashesEnginesIsQuarantined sends the same content again under new request IDs, each
// of which crashes the engines that it reaches. It must be refused once three engines have crashed.
func TestChatThatCrashesEnginesIsQuarantined(t *testing.T) {
	e := newCrashingEngines(10)
	d := e.dispatcher()
	d.Quarantine = quarantine.NewTracker("r")
	var err error
	for i := range 5 {
		err = sendChat(t, d, fmt.Sprint("r", i))
	}
	if got := len(e.crashed); got != 3 {
		t.Errorf("got %d crashed engines, want 3", got)
	}
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Kind != slipwick.KindQuarantined || failure.Outcome != slipwick.OutcomeNotRun ||
		failure.RetryAfter == 0 {
		t.Errorf("got %v, want a quarantine refusal as not run with a time to retry", err)
	}
}

// TestLostConnectionDoesNotQuarantine checks that a request is not quarantined when engines only
// lose the connection and stay alive.
func TestLostConnectionDoesNotQuarantine(t *testing.T) {
	e := newCrashingEngines(10)
	e.survive = true
	d := e.dispatcher()
	d.Quarantine = quarantine.NewTracker("r")
	for i := range 5 {
		if err := sendChat(t, d, fmt.Sprint("r", i)); slipwick.IsKind(err, slipwick.KindQuarantined) {
			t.Fatalf("got %v, want no quarantine refusal", err)
		}
	}
}

// TestRequestThatMayHaveRunHasUnknownOutcome has a first attempt lose the connection, so that it
// may have run, after which the request cannot run elsewhere: it is quarantined, refused, or no
// engine is left. The reported outcome must not be that it was not run.
func TestRequestThatMayHaveRunHasUnknownOutcome(t *testing.T) {
	for name, change := range map[string]func(*crashingEngines, *Dispatcher){
		"quarantined between its attempts": func(_ *crashingEngines, d *Dispatcher) {
			d.HasCrashed = func(context.Context, slipwick.Backend) bool {
				// The crashes that another router reports arrive between the attempts.
				d.Quarantine.Merge([]quarantine.Crash{
					{Key: 7, ServerIDHash: 1}, {Key: 7, ServerIDHash: 2}, {Key: 7, ServerIDHash: 3},
				})
				return false
			}
		},
		"quarantined before its next attempt": func(e *crashingEngines, d *Dispatcher) {
			e.onAcquire = func(requested int) {
				if requested == 2 {
					d.Quarantine.Merge([]quarantine.Crash{
						{Key: 7, ServerIDHash: 1}, {Key: 7, ServerIDHash: 2}, {Key: 7, ServerIDHash: 3},
					})
				}
			}
		},
		"refused at its next attempt": func(e *crashingEngines, d *Dispatcher) {
			engine := d.Engine
			d.Engine = func(b slipwick.Backend) slipwick.Engine {
				if len(e.crashed) == 0 {
					return engine(b)
				}
				return &fakeEngine{
					startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun),
				}
			}
		},
		"no engine left": func(e *crashingEngines, _ *Dispatcher) { e.engines = e.engines[:1] },
	} {
		e := newCrashingEngines(3)
		e.survive = true
		d := e.dispatcher()
		d.Quarantine = quarantine.NewTracker("r")
		change(e, d)
		err := sendChat(t, d, "r")
		failure, ok := slipwick.AsError(err)
		if !ok || failure.Outcome != slipwick.OutcomeUnknown {
			t.Errorf("%s: got %+v, want outcome unknown", name, err)
		}
	}
}

// TestRequestQuarantinedBeforeFirstAttemptIsNotRun checks that a request is refused as not run, and
// its slot released, if crashes that another router reports arrive while it waits for its first slot.
func TestRequestQuarantinedBeforeFirstAttemptIsNotRun(t *testing.T) {
	e := newCrashingEngines(3)
	d := e.dispatcher()
	d.Quarantine = quarantine.NewTracker("r")
	e.onAcquire = func(int) {
		d.Quarantine.Merge([]quarantine.Crash{
			{Key: 7, ServerIDHash: 1}, {Key: 7, ServerIDHash: 2}, {Key: 7, ServerIDHash: 3},
		})
	}
	err := sendChat(t, d, "r")
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Outcome != slipwick.OutcomeNotRun || failure.Kind != slipwick.KindQuarantined || len(e.crashed) > 0 {
		t.Errorf("got %+v after %d sends, want a quarantine refusal as not run before any", err, len(e.crashed))
	}
	if got := len(e.evidence); got != 1 {
		t.Errorf("got %d slots released, want one", got)
	}
}
