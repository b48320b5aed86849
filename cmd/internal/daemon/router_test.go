package daemon

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/standin"
)

const (
	chatPath  = "/v1/chat/completions"
	wholeChat = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	streamed  = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

func TestWholeAnswer(t *testing.T) {
	f := newFixture(t, 2)
	response, body := f.post(t, chatPath, wholeChat)
	var got chat.Completion
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	if want := standin.Digest(`"hello"`); !strings.HasPrefix(got.Choices[0].Message.Content, want) {
		t.Errorf("got %q, want it to start with %q", got.Choices[0].Message.Content, want)
	}
	if got := response.Header.Get(slipwick.OutcomeHeader); got != "completed" {
		t.Errorf("got outcome %q, want completed", got)
	}
}

func TestRefusalsAreNotRun(t *testing.T) {
	f := newFixture(t, 1)
	for _, tc := range []struct {
		name, path, body string
		header           []string
		status           int
		kind             slipwick.Kind
	}{
		{
			name:   "malformed",
			path:   chatPath,
			body:   "{",
			status: http.StatusBadRequest,
			kind:   slipwick.KindInvalidRequest,
		},
		{
			name:   "unknown model",
			path:   chatPath,
			body:   `{"model":"x","messages":[{"role":"user","content":"hello"}]}`,
			status: http.StatusNotFound,
			kind:   slipwick.KindUnknownModel,
		},
		{
			name:   "oversized",
			path:   chatPath,
			body:   strings.Repeat("x", 5000),
			status: http.StatusRequestEntityTooLarge,
			kind:   slipwick.KindBodyTooLarge,
		},
		{
			name:   "wrong key",
			path:   chatPath,
			body:   wholeChat,
			header: []string{"Authorization", "Bearer other"},
			status: http.StatusUnauthorized,
			kind:   slipwick.KindUnauthorized,
		},
		{
			name:   "unknown service",
			path:   servicesPath + "nothing/x",
			status: http.StatusNotFound,
			kind:   slipwick.KindUnknownService,
		},
	} {
		response, body := f.post(t, tc.path, tc.body, tc.header...)
		var got failureBody
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			t.Fatalf("%s: %v: %s", tc.name, err, body)
		}
		if response.StatusCode != tc.status || got.Error.Type != tc.kind {
			t.Errorf("%s: got %d %s, want %d %s", tc.name, response.StatusCode, got.Error.Type, tc.status, tc.kind)
		}
		if got.Error.Outcome != slipwick.OutcomeNotRun || got.Error.Remedy == "" {
			t.Errorf("%s: got outcome %q and remedy %q, want not-run and a remedy",
				tc.name, got.Error.Outcome, got.Error.Remedy)
		}
	}
	if got := len(f.engines[0].Runs()); got != 0 {
		t.Errorf("got %d requests run, want 0", got)
	}
}

// TestStreamFaults checks that an answer reaches the caller whole and once, or
// ends with an error: never cut, doubled or another's and called completed.
func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  standin.Faults
		outcome slipwick.Outcome
	}{
		{
			name: "cut connections are resumed",
			faults: standin.Faults{
				CutAfter: 3,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "too many cuts",
			faults: standin.Faults{
				CutAfter: 1,
			},
			outcome: slipwick.OutcomeUnknown,
		},
		{
			name: "events out of order",
			faults: standin.Faults{
				Swap: true,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "doubled events",
			faults: standin.Faults{
				Repeat: true,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "another answer's event",
			faults: standin.Faults{
				Foreign: true,
			},
			outcome: slipwick.OutcomeUnknown,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, 1)
			_, want := f.post(t, chatPath, streamed)
			f.engines[0].SetFaults(tc.faults)
			response, got := f.post(t, chatPath, streamed)
			outcome := slipwick.Outcome(response.Trailer.Get(slipwick.OutcomeHeader))
			if outcome != tc.outcome {
				t.Fatalf("got outcome %q, want %q", outcome, tc.outcome)
			}
			same := len(got) == len(want)
			if done := strings.Contains(got, "[DONE]"); done != (tc.outcome == slipwick.OutcomeCompleted) {
				t.Errorf("got end marker %v with outcome %q", done, outcome)
			}
			if outcome == slipwick.OutcomeCompleted && !same {
				t.Errorf("got %d bytes, want %d", len(got), len(want))
			}
		})
	}
}

func TestHangEndsInTime(t *testing.T) {
	f := newFixture(t, 1)
	f.engines[0].SetFaults(standin.Faults{
		Hang: true,
	})
	response, body := f.post(t, chatPath, streamed, repeatableHeader, "false")
	if got := response.Header.Get(slipwick.OutcomeHeader); got != "unknown" {
		t.Errorf("got outcome %q, want unknown: %s", got, body)
	}
	if got := response.Header.Get("X-Should-Retry"); got != "false" {
		t.Errorf("got X-Should-Retry %q, want false", got)
	}
}

func TestRefusedIsTriedElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	f.engines[0].SetFaults(standin.Faults{
		Leaving: true,
	})
	for i := range 8 {
		body := strings.ReplaceAll(streamed, "hello", string(rune('a'+i)))
		response, _ := f.post(t, chatPath, body, repeatableHeader, "false")
		if got := response.Trailer.Get(slipwick.OutcomeHeader); got != "completed" {
			t.Errorf("got outcome %q, want completed", got)
		}
	}
}

// TestServiceSendsOnce checks a service that drops the connection after it
// has read the body: it must have received it once.
func TestServiceSendsOnce(t *testing.T) {
	f := newFixture(t, 1)
	response, body := f.post(t, servicesPath+"records/add?x=1", "first")
	if response.StatusCode != http.StatusOK || body != "first" {
		t.Fatalf("got %d %q, want 200 first", response.StatusCode, body)
	}
	f.service.DropAfterBody = true
	response, _ = f.post(t, servicesPath+"records/add", "second")
	if got := response.Header.Get(slipwick.OutcomeHeader); got != "unknown" {
		t.Errorf("got outcome %q, want unknown", got)
	}
	if got := f.service.Runs("second"); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestDrainCutsNothing stops the router while answers are in progress.
func TestDrainCutsNothing(t *testing.T) {
	f := newFixture(t, 2)
	const count = 20
	outcomes := make(chan string, count)
	for i := range count {
		go func() {
			body := bytes.ReplaceAll([]byte(streamed), []byte("hello"), []byte{byte('a' + i)})
			response, _ := f.post(t, chatPath, string(body))
			outcomes <- response.Trailer.Get(slipwick.OutcomeHeader)
		}()
	}
	deadline := time.Now().Add(10 * time.Second)
	for testutil.ToFloat64(f.router.front.metrics.InFlight) < count {
		if time.Now().After(deadline) {
			t.Fatal("the requests did not get in progress")
		}
		time.Sleep(time.Millisecond)
	}
	f.stop()
	for range count {
		if got := <-outcomes; got != "completed" {
			t.Errorf("got outcome %q, want completed", got)
		}
	}
	<-f.router.Done()
}
