package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/sse"
)

// TestStreamSendsOnce guards against net/http retrying a request by itself. It does so when a reused
// connection breaks or when the request has an Idempotency-Key, so the server reads the body and
// then drops a reused connection on which a request with a key was sent.
func TestStreamSendsOnce(t *testing.T) {
	var received atomic.Int64
	var drop atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		received.Add(1)
		if got := r.Header.Get(IdempotencyKeyHeader); got != "the-key" {
			t.Errorf("got key %q, want the-key", got)
		}
		if drop.Load() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	client := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    httpclient.New(),
	}
	send := func() error {
		_, err := client.Stream(t.Context(), slipwick.ChatRequest{
			ID:             "r",
			IdempotencyKey: "the-key",
			Body:           []byte("{}"),
		})
		return err
	}
	if err := send(); !slipwick.IsKind(err, slipwick.KindBackendError) {
		t.Fatalf("got %v, want the engine's error response", err)
	}
	drop.Store(true)
	err := send()
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Outcome != slipwick.OutcomeUnknown {
		t.Errorf("got %v, want an error with outcome unknown", err)
	}
	if got := received.Load(); got != 2 {
		t.Errorf("got %d requests received, want 2", got)
	}
}

// TestNotFoundKeepsTheEnginesStatement guards against a request that is not sent to another engine, because
// a response 404 hides that the engine did not run it, or that it is leaving.
func TestNotFoundKeepsTheEnginesStatement(t *testing.T) {
	header := http.Header{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	client := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    httpclient.New(),
	}
	for _, test := range []struct {
		notRun, leaving string
		outcome         slipwick.Outcome
		isLeaving       bool
	}{
		{"", "", slipwick.OutcomeUnknown, false},
		{"true", "", slipwick.OutcomeNotRun, false},
		{"true", "true", slipwick.OutcomeNotRun, true},
	} {
		header.Set(NotRunHeader, test.notRun)
		header.Set(LeavingHeader, test.leaving)
		_, err := client.Stream(t.Context(), slipwick.ChatRequest{
			ID:   "r",
			Body: []byte("{}"),
		})
		failure, ok := slipwick.AsError(err)
		if !ok || failure.Kind != slipwick.KindNotFound || failure.Outcome != test.outcome ||
			errors.Is(err, ErrLeaving) != test.isLeaving {
			t.Errorf("%+v: got %+v", test, failure)
		}
	}
}

// TestInvalidLoadReportIsAResponse guards against operators who look for an engine that doesn't respond,
// though it does respond, with something else than a load report. A response that is cut off is no response.
func TestInvalidLoadReportIsAResponse(t *testing.T) {
	body, length := "", ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if length != "" {
			w.Header().Set("Content-Length", length)
		}
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    httpclient.New(),
	}
	for _, test := range []struct {
		body, length string
		want         slipwick.Kind
	}{
		{"<html>", "", slipwick.KindBackendError},
		{`["a list"]`, "", slipwick.KindBackendError},
		{`{"leaving":`, "100", slipwick.KindBackendUnreachable},
	} {
		body, length = test.body, test.length
		if _, err := client.Load(t.Context()); !slipwick.IsKind(err, test.want) {
			t.Errorf("%s: got %v, want an error of the kind %s", test.body, err, test.want)
		}
	}
}

// TestLongEventIsNoMissingEnd guards against a response with an event that is too long being reported as one
// without an end marker, and resumed in vain.
func TestLongEventIsNoMissingEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: r/0\ndata: "+strings.Repeat("x", sse.MaxEventBytes)+"\n\n")
	}))
	defer server.Close()
	client := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    httpclient.New(),
	}
	events, err := client.Stream(t.Context(), slipwick.ChatRequest{
		ID:   "r",
		Body: []byte("{}"),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = events.Close() }()
	_, err = events.Next(t.Context())
	failure, ok := slipwick.AsError(err)
	if !ok || failure.Kind != slipwick.KindBackendError || failure.Outcome != slipwick.OutcomeUnknown ||
		!errors.Is(err, sse.ErrTooLong) {
		t.Errorf("got %+v, want an error of the engine with the outcome unknown", failure)
	}
}
