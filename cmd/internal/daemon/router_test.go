package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/standin"
)

func TestBufferedResponse(t *testing.T) {
	f := newFixture(t, 2)
	response, body := f.post(t, chatPath, bufferedChat)
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
			body:   bufferedChat,
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

// TestStreamFaults checks that a response either reaches the caller complete and once or ends with
// an error. One that is truncated, has repeated events or events of another response must never be
// reported as completed.
func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  standin.Faults
		outcome slipwick.Outcome
	}{
		{
			name: "broken connections are resumed",
			faults: standin.Faults{
				CutAfter: 3,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "too many broken connections",
			faults: standin.Faults{
				CutAfter: 1,
			},
			outcome: slipwick.OutcomeUnknown,
		},
		{
			name: "events out of order",
			faults: standin.Faults{
				SkipEvent: true,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "repeated events",
			faults: standin.Faults{
				DuplicateEvents: true,
			},
			outcome: slipwick.OutcomeCompleted,
		},
		{
			name: "event of another response",
			faults: standin.Faults{
				StrayEvent: true,
			},
			outcome: slipwick.OutcomeUnknown,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, 1)
			_, want := f.post(t, chatPath, streamedChat)
			f.engines[0].SetFaults(tc.faults)
			response, got := f.post(t, chatPath, streamedChat)
			outcome := slipwick.Outcome(response.Trailer.Get(slipwick.OutcomeHeader))
			if outcome != tc.outcome {
				t.Fatalf("got outcome %q, want %q", outcome, tc.outcome)
			}
			sameLength := len(got) == len(want)
			if done := strings.Contains(got, "[DONE]"); done != (tc.outcome == slipwick.OutcomeCompleted) {
				t.Errorf("got end marker %v with outcome %q", done, outcome)
			}
			if outcome == slipwick.OutcomeCompleted && !sameLength {
				t.Errorf("got %d bytes, want %d", len(got), len(want))
			}
		})
	}
}

func TestHangingEngineTimesOut(t *testing.T) {
	f := newFixture(t, 1)
	f.engines[0].SetFaults(standin.Faults{
		Hang: true,
	})
	response, body := f.post(t, chatPath, streamedChat, repeatableHeader, "false")
	if got := response.Header.Get(slipwick.OutcomeHeader); got != "unknown" {
		t.Errorf("got outcome %q, want unknown: %s", got, body)
	}
	if got := response.Header.Get("X-Should-Retry"); got != "false" {
		t.Errorf("got X-Should-Retry %q, want false", got)
	}
}

// TestRejectedChatIsRetried checks that a chat that a leaving engine rejects is sent to the other
// engine, also if it may not be repeated: the first engine has not run it.
func TestRejectedChatIsRetried(t *testing.T) {
	f := newFixture(t, 2)
	f.engines[0].SetFaults(standin.Faults{
		Leaving: true,
	})
	for i := range 8 {
		body := strings.ReplaceAll(streamedChat, "hello", string(rune('a'+i)))
		response, _ := f.post(t, chatPath, body, repeatableHeader, "false")
		if got := response.Trailer.Get(slipwick.OutcomeHeader); got != "completed" {
			t.Errorf("got outcome %q, want completed", got)
		}
	}
}

// TestNonRepeatableCallIsSentOnce has a service drop the connection after it has read the body. The
// router cannot tell whether the call was run, so it must not send it again.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	f := newFixture(t, 1)
	response, body := f.post(t, servicesPath+"records/add?x=1", "first")
	if response.StatusCode != http.StatusOK || body != "first" {
		t.Fatalf("got %d %q, want 200 first", response.StatusCode, body)
	}
	f.service.SetDropAfterBody(true)
	response, _ = f.post(t, servicesPath+"records/add", "second")
	if got := response.Header.Get(slipwick.OutcomeHeader); got != "unknown" {
		t.Errorf("got outcome %q, want unknown", got)
	}
	if got := f.service.Runs("second"); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// TestDrainCompletesRequests stops the router while requests are in progress; all must complete.
func TestDrainCompletesRequests(t *testing.T) {
	f := newFixture(t, 2)
	const count = 20
	outcomes := make(chan string, count)
	for i := range count {
		go func() {
			body := bytes.ReplaceAll([]byte(streamedChat), []byte("hello"), []byte{byte('a' + i)})
			response, _ := f.post(t, chatPath, string(body))
			outcomes <- response.Trailer.Get(slipwick.OutcomeHeader)
		}()
	}
	deadline := time.Now().Add(10 * time.Second)
	for testutil.ToFloat64(f.router.frontend.metrics.InFlight) < count {
		if time.Now().After(deadline) {
			t.Fatal("not all requests are in progress after 10 s")
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

// TestChatWhoseBodyEndsAfterTheStopIsNotRun guards against chats that a stopping router passes on when their body has
// arrived, and may cut, though another router could have taken them.
func TestChatWhoseBodyEndsAfterTheStopIsNotRun(t *testing.T) {
	f := newFixture(t, 1)
	f.router.Settings.Limits.Drain = jsonfile.Duration(time.Second)
	reader, writer := io.Pipe()
	request, err := http.NewRequestWithContext(
		t.Context(), http.MethodPost, "http://"+f.router.CallersAddress()+chatPath, reader)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("got %v, want a response", err)
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	if _, err := writer.Write([]byte(bufferedChat[:10])); err != nil {
		t.Fatal(err)
	}
	f.awaitInFlight(t, 1)
	f.stop()
	for !f.router.frontend.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	if _, err := writer.Write([]byte(bufferedChat[10:])); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	if got := <-statuses; got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", got)
	}
	if got := len(f.engines[0].Runs()); got != 0 {
		t.Errorf("got %d prompts run, want 0", got)
	}
}

// TestEndOfTheDrainGivesOutcomes guards against chats that get no response when the time for the drain is over: those
// that run at an engine, and those that wait for a slot.
func TestEndOfTheDrainGivesOutcomes(t *testing.T) {
	f := newFixture(t, 1)
	f.router.Settings.Limits.Drain = jsonfile.Duration(50 * time.Millisecond)
	f.engines[0].SetFaults(standin.Faults{
		Hang: true,
	})
	replies := make(chan string, 2)
	for _, body := range []string{streamedChat, bufferedChat} {
		go func() { replies <- f.outcomeOf(body) }()
	}
	f.awaitInFlight(t, 2)
	time.Sleep(100 * time.Millisecond)
	f.stop()
	for range 2 {
		if got := <-replies; got != "504 unknown" && got != "503 not-run" {
			t.Errorf("got %s, want 504 with the outcome unknown, or 503 with not-run", got)
		}
	}
}

// outcomeOf sends a chat and returns the status and the outcome of the error response, or the error.
func (f *fixture) outcomeOf(chatBody string) string {
	request, err := http.NewRequest(
		http.MethodPost, "http://"+f.router.CallersAddress()+chatPath, strings.NewReader(chatBody))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var failure failureBody
	if err := json.NewDecoder(response.Body).Decode(&failure); err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode, " ", failure.Error.Outcome)
}

// awaitInFlight waits until as many requests are in progress.
func (f *fixture) awaitInFlight(t *testing.T, count float64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); testutil.ToFloat64(f.router.frontend.metrics.InFlight) < count; {
		if time.Now().After(deadline) {
			t.Fatalf("not all of %v requests are in progress after 10 s", count)
		}
		time.Sleep(time.Millisecond)
	}
}
