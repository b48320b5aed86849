package stream

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// fakeEngine sends a fixed number of events. At random its streams break, repeat, skip or
// delay events, or deliver an event of another response.
type fakeEngine struct {
	random *rand.Rand
	length int
	// faultRate is the probability of a fault at each event.
	faultRate float64
	started   int
	cancelled bool
	// wrap, if not nil, wraps each stream to inject a fault that violation has to find.
	wrap func(slipwick.EventStream) slipwick.EventStream
}

func (f *fakeEngine) Stream(_ context.Context, request slipwick.ChatRequest) (slipwick.EventStream, error) {
	f.started++
	return f.connect(request.ID, 0), nil
}

func (f *fakeEngine) Resume(_ context.Context, request string, offset int) (slipwick.EventStream, error) {
	return f.connect(request, offset), nil
}

func (f *fakeEngine) connect(request string, offset int) slipwick.EventStream {
	var events slipwick.EventStream = &fakeStream{
		engine:  f,
		request: request,
		offset:  offset,
	}
	if f.wrap != nil {
		events = f.wrap(events)
	}
	return events
}

func (f *fakeEngine) Cancel(context.Context, string) error {
	f.cancelled = true
	return nil
}

func (f *fakeEngine) Load(context.Context) (slipwick.LoadReport, error) {
	return slipwick.LoadReport{}, nil
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) (slipwick.CacheEvents, error) {
	return slipwick.CacheEvents{}, nil
}

type fakeStream struct {
	engine  *fakeEngine
	request string
	offset  int
}

func (s *fakeStream) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	f := s.engine
	event := slipwick.StreamEvent{
		Request: s.request,
		Offset:  s.offset,
		Data:    []byte(fmt.Sprintf("%s-%d", s.request, s.offset)),
		End:     s.offset == f.length,
	}
	if f.random.Float64() < f.faultRate {
		switch f.random.IntN(5) {
		case 0:
			return slipwick.StreamEvent{}, brokenStreamError("stream cut")
		case 1:
			event.Offset, event.End = max(0, s.offset-1), false
			event.Data = []byte(fmt.Sprintf("%s-%d", s.request, event.Offset))
			return event, nil
		case 2:
			event.Request, event.Data = "another", []byte("another's")
			return event, nil
		case 3:
			// Skips an event; the data still matches the offset that is sent.
			s.offset++
			event.Offset, event.End = s.offset, s.offset == f.length
			event.Data = []byte(fmt.Sprintf("%s-%d", s.request, s.offset))
		default:
			select {
			case <-ctx.Done():
				return slipwick.StreamEvent{}, ctx.Err()
			case <-time.After(time.Duration(f.random.Int64N(int64(4 * time.Second)))):
			}
		}
	}
	s.offset++
	return event, nil
}

func (s *fakeStream) Close() error {
	return nil
}

// readAll reads one response and returns the data of the events that the caller would see.
func readAll(f *fakeEngine) (seen []string, err error) {
	r := &Response{
		Engine: f,
		Request: slipwick.ChatRequest{
			ID: "mine",
		},
		Limits: Limits{
			FirstToken:    3 * time.Second,
			BetweenTokens: 2 * time.Second,
			Resumes:       4,
		},
	}
	if err := r.Start(context.Background()); err != nil {
		return nil, err
	}
	defer r.Close()
	for {
		event, err := r.Next(context.Background())
		if errors.Is(err, io.EOF) {
			return seen, nil
		}
		if err != nil {
			return seen, err
		}
		if !event.End {
			seen = append(seen, string(event.Data))
		}
	}
}

// violation describes what a caller must never see: an incomplete response that is reported as
// complete, or an event of another response. It returns "" if there is none.
func violation(f *fakeEngine, seen []string, err error) string {
	for i, got := range seen {
		if want := fmt.Sprintf("mine-%d", i); got != want {
			return fmt.Sprintf("got event %q, want %q", got, want)
		}
	}
	if err == nil && len(seen) != f.length {
		return fmt.Sprintf("got %d events as a complete response, want %d", len(seen), f.length)
	}
	failure, ok := slipwick.AsError(err)
	if err != nil && (!ok || failure.Outcome != slipwick.OutcomeUnknown) {
		return fmt.Sprintf("got %v, want an error with outcome unknown", err)
	}
	return ""
}

// readAndCheck reads one response from f. It returns what violation finds, or else that the request
// was not sent exactly once or that a broken response was not cancelled; "" if all is correct.
func readAndCheck(t *testing.T, f *fakeEngine) (found string, complete bool) {
	synctest.Test(t, func(*testing.T) {
		seen, err := readAll(f)
		found, complete = violation(f, seen, err), err == nil
		if found == "" && f.started != 1 {
			found = fmt.Sprintf("the request was sent %d times, want once", f.started)
		}
		if found == "" && !complete && !f.cancelled {
			found = "a response that did not end was not cancelled"
		}
	})
	return found, complete
}

func TestResponseIsCompleteOrAnError(t *testing.T) {
	complete, count := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		found, ended := readAndCheck(t, &fakeEngine{
			random:    rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1)),
			length:    rapid.IntRange(0, 30).Draw(r, "length"),
			faultRate: float64(rapid.IntRange(0, 30).Draw(r, "faultRate")) / 100,
		})
		if found != "" {
			r.Fatal(found)
		}
		count++
		if ended {
			complete++
		}
	})
	if complete == 0 || complete == count {
		t.Errorf("got %d of %d responses complete, want some complete and some broken", complete, count)
	}
}

// truncating reports a broken stream as the end of a complete response.
type truncating struct {
	slipwick.EventStream

	next int
}

func (s *truncating) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	event, err := s.EventStream.Next(ctx)
	if slipwick.IsKind(err, slipwick.KindStreamBroken) {
		return slipwick.StreamEvent{
			Request: "mine",
			Offset:  s.next,
			End:     true,
		}, nil
	}
	s.next = event.Offset + 1
	return event, err
}

// unchecked overwrites the ID and offset of every event with the expected ones.
type unchecked struct {
	slipwick.EventStream

	next int
}

func (s *unchecked) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	event, err := s.EventStream.Next(ctx)
	event.Request, event.Offset = "mine", s.next
	s.next++
	return event, err
}

// TestCheckerFindsInjectedFaults guards against TestResponseIsCompleteOrAnError passing because its
// checker, violation, finds nothing. It injects the faults that the end marker, IDs and offsets
// prevent, and expects violation to find them.
func TestCheckerFindsInjectedFaults(t *testing.T) {
	for name, wrap := range map[string]func(slipwick.EventStream) slipwick.EventStream{
		"broken stream reported as complete": func(s slipwick.EventStream) slipwick.EventStream {
			return &truncating{
				EventStream: s,
			}
		},
		"ID and offset check off": func(s slipwick.EventStream) slipwick.EventStream {
			return &unchecked{
				EventStream: s,
			}
		},
	} {
		found := ""
		for seed := uint64(0); seed < 200 && found == ""; seed++ {
			found, _ = readAndCheck(t, &fakeEngine{
				random:    rand.New(rand.NewPCG(seed, 1)),
				length:    20,
				faultRate: 0.2,
				wrap:      wrap,
			})
		}
		if !strings.HasPrefix(found, "got") {
			t.Errorf("%s: got %q, want the fault to be found", name, found)
		}
	}
}

// breakingEngine breaks each stream at once, and fails to resume one.
type breakingEngine struct {
	*fakeEngine
}

func (*breakingEngine) Resume(context.Context, string, int) (slipwick.EventStream, error) {
	return nil, brokenStreamError("the engine is gone")
}

// TestNextAfterAFailedResumeFailsAgain guards against a panic of a caller that asks once more for an event of a
// response that could not be resumed.
func TestNextAfterAFailedResumeFailsAgain(t *testing.T) {
	r := &Response{
		Engine: &breakingEngine{
			fakeEngine: &fakeEngine{
				wrap: func(slipwick.EventStream) slipwick.EventStream { return brokenStream{} },
			},
		},
		Limits: Limits{
			FirstToken:    time.Second,
			BetweenTokens: time.Second,
			Resumes:       1,
		},
	}
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for range 2 {
		if _, err := r.Next(t.Context()); !slipwick.IsKind(err, slipwick.KindStreamBroken) {
			t.Errorf("got %v, want that the stream is broken", err)
		}
	}
}

type brokenStream struct{}

func (brokenStream) Next(context.Context) (slipwick.StreamEvent, error) {
	return slipwick.StreamEvent{}, brokenStreamError("stream cut")
}

func (brokenStream) Close() error { return nil }
