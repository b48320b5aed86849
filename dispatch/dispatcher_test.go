package dispatch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/stream"
)

// fakeAdmission grants a slot of the first engine that the request does not exclude.
type fakeAdmission struct {
	engines  []string
	requests []slipwick.AcquireRequest
	evidence []slipwick.Evidence
}

func (f *fakeAdmission) Acquire(_ context.Context, request slipwick.AcquireRequest) (slipwick.Grant, error) {
	f.requests = append(f.requests, request)
	for _, id := range f.engines {
		if !slices.Contains(request.Exclude, id) {
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

// fakeEngine fails with startErr at the start or with streamErr after one event. If both are nil, it
// sends three events.
type fakeEngine struct {
	slipwick.Engine

	startErr, streamErr *slipwick.Error
	// sent counts the requests that were sent to the engine.
	sent int
	// offset is the offset of the next event.
	offset int
}

func (f *fakeEngine) Stream(context.Context, slipwick.ChatRequest) (slipwick.EventStream, error) {
	f.sent++
	if f.startErr != nil {
		return nil, f.startErr
	}
	return f, nil
}

func (f *fakeEngine) Resume(context.Context, string, int) (slipwick.EventStream, error) {
	return nil, f.streamErr
}

func (f *fakeEngine) Cancel(context.Context, string) error {
	return nil
}

func (f *fakeEngine) Next(context.Context) (slipwick.StreamEvent, error) {
	if f.offset == 1 && f.streamErr != nil {
		return slipwick.StreamEvent{}, f.streamErr
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

func newFailure(kind slipwick.Kind, outcome slipwick.Outcome) *slipwick.Error {
	return &slipwick.Error{
		Kind:    kind,
		Outcome: outcome,
	}
}

// TestChatRetriesOnlyWhereSafe checks that a request goes to a second engine only if the first one
// certainly did not run it, or if it is repeatable and nothing was delivered yet. The first engine
// fails; the second one answers completely.
func TestChatRetriesOnlyWhereSafe(t *testing.T) {
	for _, tc := range []struct {
		name       string
		first      *fakeEngine
		repeatable bool
		// secondSent is how many requests the second engine must get.
		secondSent int
		outcome    slipwick.Outcome
		evidence   slipwick.Evidence
	}{
		{
			name: "refused connection",
			first: &fakeEngine{
				startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun),
			},
			secondSent: 1,
			outcome:    slipwick.OutcomeCompleted,
			evidence:   slipwick.EvidenceUnreachable,
		},
		{
			name: "connection lost, not repeatable",
			first: &fakeEngine{
				startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			},
			secondSent: 0,
			outcome:    slipwick.OutcomeUnknown,
			evidence:   slipwick.EvidenceUnreachable,
		},
		{
			name: "connection lost, repeatable",
			first: &fakeEngine{
				startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown),
			},
			repeatable: true,
			secondSent: 1,
			outcome:    slipwick.OutcomeCompleted,
			evidence:   slipwick.EvidenceUnreachable,
		},
		{
			name: "broken after a partial response",
			first: &fakeEngine{
				streamErr: newFailure(slipwick.KindStreamBroken, slipwick.OutcomeUnknown),
			},
			repeatable: true,
			secondSent: 0,
			outcome:    slipwick.OutcomeUnknown,
			evidence:   slipwick.EvidenceError,
		},
		{
			name: "error reported by the engine",
			first: &fakeEngine{
				startErr: newFailure(slipwick.KindBackendError, slipwick.OutcomeFailed),
			},
			repeatable: true,
			secondSent: 0,
			outcome:    slipwick.OutcomeFailed,
			evidence:   slipwick.EvidenceError,
		},
	} {
		second := &fakeEngine{}
		admission := &fakeAdmission{
			engines: []string{"first", "second"},
		}
		got := runChat(admission, tc.first, second, tc.repeatable)
		if got != tc.outcome || second.sent != tc.secondSent || tc.first.sent != 1 {
			t.Errorf("%s: got outcome %q after %d and %d sends, want %q after 1 and %d",
				tc.name, got, tc.first.sent, second.sent, tc.outcome, tc.secondSent)
		}
		if admission.evidence[0] != tc.evidence {
			t.Errorf("%s: got evidence %d, want %d", tc.name, admission.evidence[0], tc.evidence)
		}
	}
}

func runChat(admission *fakeAdmission, first, second *fakeEngine, repeatable bool) slipwick.Outcome {
	d := &Dispatcher{
		Admission: admission,
		Engine: func(b slipwick.Backend) slipwick.Engine {
			if b.ID == "first" {
				return first
			}
			return second
		},
		MaxSlotWait: time.Second,
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

// hangingService fails when its context ends.
type hangingService struct{}

func (hangingService) Call(ctx context.Context, _ slipwick.ServiceRequest) (slipwick.ServiceResponse, error) {
	<-ctx.Done()
	return slipwick.ServiceResponse{}, newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeUnknown)
}

// TestHangingServiceRecordsTimeout checks that a call to a service that hangs ends as a timeout and
// counts against the service, while a caller that disconnects does not count against it.
func TestHangingServiceRecordsTimeout(t *testing.T) {
	for _, tc := range []struct {
		name     string
		cancel   bool
		kind     slipwick.Kind
		evidence slipwick.Evidence
	}{
		{
			name:     "deadline exceeded",
			kind:     slipwick.KindTimeout,
			evidence: slipwick.EvidenceTimeout,
		},
		{
			name:     "caller disconnects",
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
				Admission:   admission,
				Service:     func(slipwick.Backend, bool) slipwick.Service { return hangingService{} },
				MaxSlotWait: time.Second,
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if tc.cancel {
				time.AfterFunc(time.Second, cancel)
			}
			_, err := d.CallService(ctx, Call{
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

// TestFallbackPool checks that the fallback pool is asked when the first pool has no usable engine.
func TestFallbackPool(t *testing.T) {
	admission := &fakeAdmission{}
	d := &Dispatcher{
		Admission:   admission,
		MaxSlotWait: time.Second,
	}
	_, err := d.acquire(context.Background(), []string{"p", "fallback"}, slipwick.AcquireRequest{})
	both := len(admission.requests) == 2 && admission.requests[1].Pool == "fallback"
	if !slipwick.IsKind(err, slipwick.KindNoBackend) || !both {
		t.Errorf("got %v after asking %v, want both pools asked", err, admission.requests)
	}
}

// TestRetriesDontWriteIntoTheCallersSlice guards against excluded backend servers of one call that appear in
// another's, because both use parts of one array.
func TestRetriesDontWriteIntoTheCallersSlice(t *testing.T) {
	array := []string{"excluded", "another call's"}
	first := &fakeEngine{
		startErr: newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun),
	}
	d := &Dispatcher{
		Admission: &fakeAdmission{
			engines: []string{"first", "second"},
		},
		Engine: func(b slipwick.Backend) slipwick.Engine {
			if b.ID == "first" {
				return first
			}
			return &fakeEngine{}
		},
		Limits: stream.Limits{
			FirstToken:    time.Second,
			BetweenTokens: time.Second,
		},
	}
	if err := d.Chat(t.Context(), Call{
		Pools: []string{"p"},
		Request: slipwick.AcquireRequest{
			Exclude: array[:1],
		},
	}, slipwick.ChatRequest{
		ID: "r",
	}, func(slipwick.StreamEvent) error { return nil }); err != nil {
		t.Fatal(err)
	}
	if array[1] != "another call's" {
		t.Errorf("got %q in the array behind the caller's slice, want it unchanged", array[1])
	}
}

// TestUnreachableEnginesLeaveAttempts guards against a request that fails though an engine could serve it,
// because it was first sent to engines that have just crashed, and against a request that tries every
// engine of a large pool.
func TestUnreachableEnginesLeaveAttempts(t *testing.T) {
	for _, tc := range []struct {
		crashed  int
		rejected int
		want     slipwick.Outcome
	}{
		{crashed: 3, want: slipwick.OutcomeCompleted},
		{crashed: 4, rejected: 2, want: slipwick.OutcomeCompleted},
		{crashed: maxUnreached, want: slipwick.OutcomeNotRun},
		{rejected: maxAttempts, want: slipwick.OutcomeNotRun},
	} {
		admission, engines := &fakeAdmission{}, make(map[string]*fakeEngine)
		for i := range tc.crashed + tc.rejected + 1 {
			id, e := fmt.Sprint("e", i), &fakeEngine{}
			switch {
			case i < tc.crashed:
				e.startErr = newFailure(slipwick.KindBackendUnreachable, slipwick.OutcomeNotRun)
			case i < tc.crashed+tc.rejected:
				e.startErr = newFailure(slipwick.KindBackendError, slipwick.OutcomeNotRun)
			}
			engines[id], admission.engines = e, append(admission.engines, id)
		}
		d := &Dispatcher{
			Admission:   admission,
			Engine:      func(backend slipwick.Backend) slipwick.Engine { return engines[backend.ID] },
			MaxSlotWait: time.Second,
			Limits: stream.Limits{
				FirstToken:    time.Second,
				BetweenTokens: time.Second,
			},
		}
		err := d.Chat(t.Context(), Call{
			Pools: []string{"p"},
		}, slipwick.ChatRequest{
			ID: "r",
		}, func(slipwick.StreamEvent) error { return nil })
		got := slipwick.OutcomeCompleted
		if failure, ok := slipwick.AsError(err); ok {
			got = failure.Outcome
		}
		if got != tc.want {
			t.Errorf("%d crashed, %d that reject: got %v, want %v", tc.crashed, tc.rejected, got, tc.want)
		}
	}
}
