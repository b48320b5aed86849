package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

func TestNonRepeatableRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		first      func(*backend, http.ResponseWriter, *http.Request)
		wantStatus int
		wantSecond int64
	}{
		"rejected": {
			first:      rejectNotRun,
			wantStatus: http.StatusOK,
			wantSecond: 1,
		},
		"misdirected": {
			first: func(_ *backend, w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusMisdirectedRequest)
			},
			wantStatus: http.StatusOK,
			wantSecond: 1,
		},
		"broken": {
			first:      breakAfter(""),
			wantStatus: http.StatusBadGateway,
		},
		"broken in the body": {
			first:      breakAfter("half"),
			wantStatus: http.StatusBadGateway,
		},
		"failed": {
			first:      respondWith(http.StatusInternalServerError, "failure"),
			wantStatus: http.StatusInternalServerError,
		},
		"unavailable without the not-run header": {
			first:      respondWith(http.StatusServiceUnavailable, "failure"),
			wantStatus: http.StatusBadGateway,
		},
	} {
		second := newBackend(t, "b2", respondWith(http.StatusOK, "answer"))
		f := newFixture(t, newBackend(t, "b1", tc.first), second)
		if got := f.post(t, "/single/x").status; got != tc.wantStatus {
			t.Errorf("%s: got status %d, want %d", name, got, tc.wantStatus)
		}
		if got := second.runs.Load(); got != tc.wantSecond {
			t.Errorf("%s: got %d runs at the second backend server, want %d", name, got, tc.wantSecond)
		}
	}
}

func TestUnreachableBackendIsSkipped(t *testing.T) {
	first := newBackend(t, "b1", respondWith(http.StatusOK, "wrong"))
	first.server.Close()
	f := newFixture(t, first, newBackend(t, "b2", respondWith(http.StatusOK, "answer")))
	if got := f.post(t, "/single/x"); got.status != http.StatusOK || got.body != "answer" {
		t.Errorf("got %d %q, want the second backend server's response", got.status, got.body)
	}
}

func TestRepeatableRequestIsRetriedAfterAnyFailure(t *testing.T) {
	for name, first := range map[string]func(*backend, http.ResponseWriter, *http.Request){
		"broken":   breakAfter("half"),
		"failed":   respondWith(http.StatusInternalServerError, "failure"),
		"rejected": rejectNotRun,
		"without stamp": func(_ *backend, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "invalid")
		},
		"encoded": func(b *backend, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Slipwick-Stamp", b.id)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "invalid")
		},
	} {
		f := newFixture(t, newBackend(t, "b1", first), newBackend(t, "b2", respondWith(http.StatusOK, "answer")))
		if got := f.post(t, "/repeatable/x"); got.status != http.StatusOK || got.body != "answer" {
			t.Errorf("%s: got %d %q, want the second backend server's response", name, got.status, got.body)
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	var backends []*backend
	for _, id := range []string{"b1", "b2", "b3", "b4"} {
		backends = append(backends, newBackend(t, id, respondWith(http.StatusInternalServerError, "failure")))
	}
	f := newFixture(t, backends...)
	got := f.post(t, "/repeatable/x")
	if got.status != http.StatusInternalServerError || got.header.Get("Slipwick-Stamp") == "" {
		t.Errorf("got %d, want the backend server's own 500", got.status)
	}
	runs := int64(0)
	for _, b := range backends {
		runs += b.runs.Load()
	}
	if runs != 2 {
		t.Errorf("got %d runs, want max_attempts 2", runs)
	}
}

func TestRejectionByAllBackendsHasRetryAfter(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", rejectNotRun), newBackend(t, "b2", rejectNotRun))
	started := time.Now()
	got := f.post(t, "/single/x")
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || after <= 0 {
		t.Errorf("got %d, Retry-After %q; want 503 with Retry-After", got.status, got.header.Get("Retry-After"))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("got the refusal after %v, want it immediately", took)
	}
}

func TestTimeoutIsAnsweredPromptly(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, "b1", func(*backend, http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	f := newFixture(t, b)
	started := time.Now()
	got := f.post(t, "/short/x")
	if took := time.Since(started); got.status != http.StatusGatewayTimeout || took > 600*time.Millisecond {
		t.Errorf("got %d after %v, want 504 after 150 ms", got.status, took)
	}
}

// TestRequestIsRetriedWhenBackendHangs checks that a request whose first backend server hangs is
// served by the second within the caller's time, provided that it may be repeated.
func TestRequestIsRetriedWhenBackendHangs(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hangs := func(*backend, http.ResponseWriter, *http.Request) { <-release }
	f := newFixture(t, newBackend(t, "b1", hangs), newBackend(t, "b2", respondWith(http.StatusOK, "answer")))
	started := time.Now()
	got := f.post(t, "/repeatable/x")
	if took := time.Since(started); got.body != "answer" || took > 2*time.Second {
		t.Errorf("got %d %q after %v, want the second backend server's response soon", got.status, got.body, took)
	}
	r := f.request(t, "/single/x", "question")
	r.Header.Set("Slipwick-Deadline-Ms", "700")
	if got := send(t, r); got.status != http.StatusGatewayTimeout {
		t.Errorf("non-repeatable request: got %d, want 504", got.status)
	}
}

// TestUnreachableBackendsCostNoRetryBudget checks that a request still finds the one live backend
// server when the rest of the pool is dead and the retry budget is spent: sends that reached no
// backend server are not retries.
func TestUnreachableBackendsCostNoRetryBudget(t *testing.T) {
	var backends []*backend
	for i := range 5 {
		b := newBackend(t, fmt.Sprintf("i%d", i), respondWith(http.StatusOK, "answer"))
		if i < 4 {
			b.server.Close()
		}
		backends = append(backends, b)
	}
	f := newFixture(t, backends...)
	f.gateway.Budget.Ratio, f.gateway.Budget.Extra = 0, 0
	got := send(t, f.request(t, "/single/x", "body"))
	if got.status != http.StatusOK || got.body != "answer" {
		t.Errorf("got %d %q, want the response of the live backend server", got.status, got.body)
	}
	if runs := backends[4].runs.Load(); runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	second := newBackend(t, "b2", respondWith(http.StatusOK, "answer"))
	f := newFixture(t, newBackend(t, "b1", rejectNotRun), second)
	f.gateway.Budget.Extra = 0
	if got := f.post(t, "/repeatable/x").status; got != http.StatusServiceUnavailable {
		t.Errorf("got %d, want 503", got)
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d runs without budget, want 0", got)
	}
}

func TestCallerDisconnectCancelsTheExchange(t *testing.T) {
	disconnected := make(chan struct{})
	b := newBackend(t, "b1", func(_ *backend, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(disconnected)
	})
	f := newFixture(t, b)
	client := &http.Client{
		Timeout: 100 * time.Millisecond,
	}
	response, err := client.Do(f.request(t, "/single/x", "question"))
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("got a response, want a timeout")
	}
	select {
	case <-disconnected:
	case <-time.After(500 * time.Millisecond):
		t.Error("the backend server still works half a second after the caller disconnected")
	}
}
