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

// fakeEngine answers with a fixed number of events, over connections that a
// random fate cuts, doubles, delays, mixes up or ends early.
type fakeEngine struct {
	random *rand.Rand
	length int
	// fate gives the chance of each trouble at each event.
	fate      float64
	started   int
	cancelled bool
	// wrap puts a fault into the connections.
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
	if f.random.Float64() < f.fate {
		switch f.random.IntN(5) {
		case 0:
			return slipwick.StreamEvent{}, broken("cut")
		case 1:
			event.Offset, event.End = max(0, s.offset-1), false
			event.Data = []byte(fmt.Sprintf("%s-%d", s.request, event.Offset))
			return event, nil
		case 2:
			event.Request, event.Data = "another", []byte("another's")
			return event, nil
		case 3:
			// A hole; what carries an offset is that offset's event.
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

// follow reads one answer and gives what the caller would see.
func follow(f *fakeEngine) (seen []string, err error) {
	a := &Answer{
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
	if err := a.Start(context.Background()); err != nil {
		return nil, err
	}
	defer a.Close()
	for {
		event, err := a.Next(context.Background())
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

// wrong says what a caller must never see: an answer called whole that is not,
// or events that are not its own.
func wrong(f *fakeEngine, seen []string, err error) string {
	for i, got := range seen {
		if want := fmt.Sprintf("mine-%d", i); got != want {
			return fmt.Sprintf("got event %q, want %q", got, want)
		}
	}
	if err == nil && len(seen) != f.length {
		return fmt.Sprintf("got %d events as a whole answer, want %d", len(seen), f.length)
	}
	failure, ok := slipwick.AsError(err)
	if err != nil && (!ok || failure.Outcome != slipwick.OutcomeUnknown) {
		return fmt.Sprintf("got %v, want an error with outcome unknown", err)
	}
	return ""
}

func run(t *testing.T, f *fakeEngine) (found string, whole bool) {
	synctest.Test(t, func(*testing.T) {
		seen, err := follow(f)
		found, whole = wrong(f, seen, err), err == nil
		if found == "" && f.started != 1 {
			found = fmt.Sprintf("the request was sent %d times, want once", f.started)
		}
		if found == "" && !whole && !f.cancelled {
			found = "an answer that nobody waits for was not cancelled"
		}
	})
	return found, whole
}

func TestAnswerIsWholeOrAnError(t *testing.T) {
	whole, count := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		found, ended := run(t, &fakeEngine{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1)),
			length: rapid.IntRange(0, 30).Draw(r, "length"),
			fate:   float64(rapid.IntRange(0, 30).Draw(r, "fate")) / 100,
		})
		if found != "" {
			r.Fatal(found)
		}
		count++
		if ended {
			whole++
		}
	})
	if whole == 0 || whole == count {
		t.Errorf("got %d of %d answers whole: the checks mean nothing", whole, count)
	}
}

// truncating passes a cut answer off as whole.
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

// unchecked gives every event the ID and offset that the answer waits for.
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

// TestCheckerFindsPlantedFaults checks that the check above finds what the
// end marker and the IDs are there to prevent.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for name, wrap := range map[string]func(slipwick.EventStream) slipwick.EventStream{
		"truncated passed as whole": func(s slipwick.EventStream) slipwick.EventStream {
			return &truncating{
				EventStream: s,
			}
		},
		"id check off": func(s slipwick.EventStream) slipwick.EventStream {
			return &unchecked{
				EventStream: s,
			}
		},
	} {
		found := ""
		for seed := uint64(0); seed < 200 && found == ""; seed++ {
			found, _ = run(t, &fakeEngine{
				random: rand.New(rand.NewPCG(seed, 1)),
				length: 20,
				fate:   0.2,
				wrap:   wrap,
			})
		}
		if !strings.HasPrefix(found, "got") {
			t.Errorf("%s: got %q, want the fault to be found", name, found)
		}
	}
}
