package gatewayd

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
)

// TestProcessFollowsEvacuations evacuates the data centre of the only backend server, and
// ends the evacuation: requests are refused, and served again.
func TestProcessFollowsEvacuations(t *testing.T) {
	f := newFixture(t)
	f.evacuationTime = 4 * time.Second
	f.setEvacuated()
	r := startReady(t, f, "r1")
	status := func() int {
		code, _, err := r.post(t, http.DefaultClient, "/1/x")
		if err != nil {
			t.Fatal(err)
		}
		return code
	}
	if got := status(); got != http.StatusOK {
		t.Fatalf("got status %d before the evacuation, want 200", got)
	}
	f.setEvacuated("b1")
	waitFor(t, "refusals", func() bool { return status() == http.StatusServiceUnavailable })
	if got, want := r.status().Evacuated, []string{"of b1"}; !slices.Equal(got, want) {
		t.Errorf("got %v evacuated, want %v", got, want)
	}
	f.setEvacuated()
	waitFor(t, "responses", func() bool { return status() == http.StatusOK })
}

// TestStartingProcessAwaitsEvacuations has a store that serves all feeds except for
// evacuations: a starting router may send nothing and be ready only once it has that list.
func TestStartingProcessAwaitsEvacuations(t *testing.T) {
	f := newFixture(t)
	f.evacuationTime = 4 * time.Second
	r := startUnready(t, f, f.feeds(), "r1")
	// With a longer deadline the request would wait until the router knows the
	// evacuations, or starts without them.
	send := func() (int, string, error) {
		return r.post(t, http.DefaultClient, "/1/x", "Slipwick-Deadline-Ms", "200")
	}
	waitFor(t, "a response", func() bool {
		_, _, err := send()
		return err == nil
	})
	// Many times longer than a start that has all feeds.
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.ready() {
			t.Fatal("got a router that is ready before it knows which data centres are evacuated")
		}
	}
	if code, _, err := send(); err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %v before evacuations are known, want a refusal", code, err)
	}
	f.setEvacuated("b1")
	waitFor(t, "readiness", r.ready)
	if code, _, err := send(); err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %v for an evacuated data centre, want a refusal", code, err)
	}
}

// TestStartCompletesIfEvacuationsStayUnknown starts a router that gets no list of
// evacuations within Bounds.EvacuationTime: it serves without the list, and applies it later.
func TestStartCompletesIfEvacuationsStayUnknown(t *testing.T) {
	f := newFixture(t)
	f.evacuationTime = 300 * time.Millisecond
	r := startReady(t, f, "r1")
	if code, _, err := r.post(t, http.DefaultClient, "/1/x"); err != nil || code != http.StatusOK {
		t.Errorf("got status %d, %v, want 200", code, err)
	}
	f.setEvacuated("b1")
	waitFor(t, "refusals", func() bool {
		code, _, err := r.post(t, http.DefaultClient, "/1/x")
		return err == nil && code == http.StatusServiceUnavailable
	})
}

// unavailableFeed is a feed of a store that is unavailable.
type unavailableFeed struct{}

func (unavailableFeed) List(context.Context) (slipwick.FeedBatch, error) {
	return slipwick.FeedBatch{}, &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "store unavailable",
	}
}

func (f unavailableFeed) Watch(ctx context.Context, _ slipwick.Position, _ time.Duration) (slipwick.FeedBatch, error) {
	return f.List(ctx)
}

// TestStartingProcessGetsEvacuationsFromOtherRouters starts a router while the store is
// unavailable: it gets the evacuations from another router.
func TestStartingProcessGetsEvacuationsFromOtherRouters(t *testing.T) {
	f := newFixture(t)
	f.evacuationTime = 4 * time.Second
	f.setEvacuated("b1")
	first := startReady(t, f, "r1")
	feeds := f.feeds()
	feeds.Tables, feeds.Backends, feeds.Evacuations = unavailableFeed{}, unavailableFeed{}, unavailableFeed{}
	second := startUnready(t, f, feeds, "r2", first.Settings.Listen.Peers)
	waitFor(t, "readiness", second.ready)
	if got, want := second.status().Evacuated, []string{"of b1"}; !slices.Equal(got, want) {
		t.Errorf("got %v evacuated, want %v", got, want)
	}
}

// TestStartWithoutEvacuationsDoesNotWait starts a process without evacuations: it
// neither waits for the list nor logs that it is missing.
func TestStartWithoutEvacuationsDoesNotWait(t *testing.T) {
	var lines bytes.Buffer
	p := New(&Settings{}, Feeds{})
	p.Log = zerolog.New(&lines)
	p.awaitEvacuations(t.Context())
	if lines.Len() > 0 {
		t.Errorf("got log line %s, want none", lines.String())
	}
}
