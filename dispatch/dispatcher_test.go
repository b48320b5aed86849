package dispatch

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/stream"
)

// fakeAdmission grants the first engine that is not avoided.
type fakeAdmission struct {
	engines  []string
	asked    []slipwick.Ask
	evidence []slipwick.Evidence
}

func (f *fakeAdmission) Acquire(_ context.Context, ask slipwick.Ask) (slipwick.Grant, error) {
	f.asked = append(f.asked, ask)
	for _, id := range f.engines {
		if !slices.Contains(ask.Avoid, id) {
			return slipwick.Grant{
				Backend: slipwick.Backend{
					ID: id,
				},
			}, nil
		}
	}
	return slipwick.Grant{}, &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Outcome: slipwick.OutcomeNotRun,
	}
}

func (f *fakeAdmission) Release(_ slipwick.Grant, evidence slipwick.Evidence) {
	f.evidence = append(f.evidence, evidence)
}

// fakeEngine fails at the start, or after one event, or answers whole.
type fakeEngine struct {
	slipwick.Engine

	start, later *slipwick.Error
	sent         int
	offset       int
}

func (f *fakeEngine) Stream(context.Context, slipwick.ChatRequest) (slipwick.EventStream, error) {
	f.sent++
	if f.start != nil {
		return nil, f.start
	}
	return f, nil
}

func (f *fakeEngine) Resume(context.Context, string, int) (slipwick.EventStream, error) {
	return nil, f.later
}

func (f *fakeEngine) Cancel(context.Context, string) error {
	return nil
}

func (f *fakeEngine) Next(context.Context) (slipwick.StreamEvent, error) {
	if f.offset == 1 && f.later != nil {
		return slipwick.StreamEvent{}, f.later
	}
	if f.offset > 2 {
		return slipwick.StreamEvent{}, io.EOF
	}
	f.offset++
	return slipwick.StreamEvent{
		Request: "r",
		Offset:  f.offset - 1,
		End:     f.offset == 3,
	}, nil
}

func (f *fakeEngine) Close() error {
	return nil
}

func failing(kind slipwick.Kind, outcome slipwick.Outcome) *slipwick.Error {
	return &slipwick.Error{
		Kind:    kind,
		Outcome: outcome,
	}
}

// TestChatTriesElsewhereOnlyWhenItMay has the first engine fail in some way;
// the second answers whole.
func TestChatTriesElsewhereOnlyWhenItMay(t *testing.T) {
	for _, tc := range []struct {
		name       string
		first      *fakeEngine
		repeatable bool
		sent       int
		outcome    slipwick.Outcome
		evidence   slipwick.Evidence
	}{
		{
			name: "refused connection",
			first: &fakeEngine{
				start: failing(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun),
			},
			sent:     1,
			outcome:  slipwick.OutcomeCompleted,
			evidence: slipwick.EvidenceUnreachable,
		},
		{
			name: "connection lost, not repeatable",
			first: &fakeEngine{
				start: failing(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			},
			sent:     0,
			outcome:  slipwick.OutcomeUnknown,
			evidence: slipwick.EvidenceUnreachable,
		},
		{
			name: "connection lost, repeatable",
			first: &fakeEngine{
				start: failing(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			},
			repeatable: true,
			sent:       1,
			outcome:    slipwick.OutcomeCompleted,
			evidence:   slipwick.EvidenceUnreachable,
		},
		{
			name: "broken after the caller saw a part",
			first: &fakeEngine{
				later: failing(slipwick.KindStreamBroken, slipwick.OutcomeUnknown),
			},
			repeatable: true,
			sent:       0,
			outcome:    slipwick.OutcomeUnknown,
			evidence:   slipwick.EvidenceError,
		},
		{
			name: "the engine's own error",
			first: &fakeEngine{
				start: failing(slipwick.KindBackendError, slipwick.OutcomeFailed),
			},
			repeatable: true,
			sent:       0,
			outcome:    slipwick.OutcomeFailed,
			evidence:   slipwick.EvidenceError,
		},
	} {
		second := &fakeEngine{}
		admission := &fakeAdmission{
			engines: []string{"first", "second"},
		}
		got := chat(admission, tc.first, second, tc.repeatable)
		if got != tc.outcome || second.sent != tc.sent || tc.first.sent != 1 {
			t.Errorf("%s: got outcome %q after sending %d and %d times, want %q after 1 and %d",
				tc.name, got, tc.first.sent, second.sent, tc.outcome, tc.sent)
		}
		if admission.evidence[0] != tc.evidence {
			t.Errorf("%s: got evidence %d, want %d", tc.name, admission.evidence[0], tc.evidence)
		}
	}
}

func chat(admission *fakeAdmission, first, second *fakeEngine, repeatable bool) slipwick.Outcome {
	d := &Dispatcher{
		Admission: admission,
		Engine: func(b slipwick.Backend) slipwick.Engine {
			if b.ID == "first" {
				return first
			}
			return second
		},
		Hold: time.Second,
		Limits: stream.Limits{
			FirstToken:    time.Second,
			BetweenTokens: time.Second,
		},
	}
	err := d.Chat(context.Background(), Call{
		Pools:      []string{"p"},
		Repeatable: repeatable,
	}, slipwick.ChatRequest{
		ID: "r",
	}, func(slipwick.StreamEvent) error { return nil })
	if err == nil {
		return slipwick.OutcomeCompleted
	}
	failure, _ := slipwick.AsError(err)
	return failure.Outcome
}

// hangingService answers when its context ends.
type hangingService struct{}

func (hangingService) Call(ctx context.Context, _ slipwick.ServiceRequest) (slipwick.ServiceResponse, error) {
	<-ctx.Done()
	return slipwick.ServiceResponse{}, failing(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown)
}

// TestHangingServiceIsEvidence checks that a service that hangs ends the call
// as a timeout and speaks against the service, and that a caller who goes away
// does not.
func TestHangingServiceIsEvidence(t *testing.T) {
	for _, tc := range []struct {
		name     string
		cancel   bool
		kind     slipwick.Kind
		evidence slipwick.Evidence
	}{
		{
			name:     "time is up",
			kind:     slipwick.KindTimeout,
			evidence: slipwick.EvidenceTimeout,
		},
		{
			name:     "the caller goes away",
			cancel:   true,
			kind:     slipwick.KindCancelled,
			evidence: slipwick.EvidenceNone,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			admission := &fakeAdmission{
				engines: []string{"first"},
			}
			d := &Dispatcher{
				Admission: admission,
				Service:   func(slipwick.Backend, bool) slipwick.Service { return hangingService{} },
				Hold:      time.Second,
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if tc.cancel {
				time.AfterFunc(time.Second, cancel)
			}
			_, err := d.Call(ctx, Call{
				Pools: []string{"p"},
			}, slipwick.ServiceRequest{})
			failure, _ := slipwick.AsError(err)
			if failure == nil || failure.Kind != tc.kind || failure.Outcome != slipwick.OutcomeUnknown {
				t.Errorf("%s: got %v, want %s with outcome unknown", tc.name, err, tc.kind)
			}
			if admission.evidence[0] != tc.evidence {
				t.Errorf("%s: got evidence %d, want %d", tc.name, admission.evidence[0], tc.evidence)
			}
		})
	}
}

// TestFallbackPool checks that the fallback is asked when the pool has no
// usable engine, and not for other refusals.
func TestFallbackPool(t *testing.T) {
	admission := &fakeAdmission{}
	d := &Dispatcher{
		Admission: admission,
		Hold:      time.Second,
	}
	_, err := d.acquire(context.Background(), []string{"p", "fallback"}, slipwick.Ask{})
	both := len(admission.asked) == 2 && admission.asked[1].Pool == "fallback"
	if !slipwick.IsKind(err, slipwick.KindNoBackend) || !both {
		t.Errorf("got %v after asking %v, want both pools asked", err, admission.asked)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	retries := 0
	for range 1000 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	if got, want := retries, 1000*retryShare+retryBurst; float64(got) > want || got < 100 {
		t.Errorf("got %d retries of 1000 failing requests, want at most %.0f", got, want)
	}
}
