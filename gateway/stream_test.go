package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func event(id string) string {
	return "id: " + id + "\ndata: d" + id + "\n\n"
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	want := event("1") + event("2") + event("3")
	f := newFixture(t, newBackend(t, "b1", answers(http.StatusOK, want)))
	got := f.post(t, "/stream/x")
	if got.status != http.StatusOK || got.body != want || got.broken != nil {
		t.Errorf("got %d %q (%v), want %q", got.status, got.body, got.broken, want)
	}
}

func TestStreamThatMayNotBeResumedLooksBroken(t *testing.T) {
	second := newBackend(t, "b2", answers(http.StatusOK, event("2")))
	f := newFixture(t, newBackend(t, "b1", breaks(event("1")+"id: 2\nda")), second)
	got := f.post(t, "/stream/x")
	if got.broken == nil {
		t.Errorf("got %q as a whole answer, want it broken off", got.body)
	}
	if got.body != event("1") {
		t.Errorf("got %q, want the whole events alone", got.body)
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d further runs, want 0", got)
	}
}

func TestStreamThatBreaksBeforeItsFirstEventIsAnsweredTruly(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", breaks("id: 1\nda")), newBackend(t, "b2", answers(http.StatusOK, event("1"))))
	if got := f.post(t, "/stream/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %d, want 502: the request may have run", got.status)
	}
}

// TestStreamIsResumedWithinOneAnswer has the second backend server repeat an
// event that the caller has already.
func TestStreamIsResumedWithinOneAnswer(t *testing.T) {
	second := newBackend(t, "b2", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get("Last-Event-Id"); got != "2" {
			t.Errorf("resumed after event %q, want 2", got)
		}
		answers(http.StatusOK, event("2")+event("3")+event("4"))(b, w, r)
	})
	f := newFixture(t, newBackend(t, "b1", breaks(event("1")+event("2")+"id: 3\nda")), second)
	got := f.post(t, "/resumable/x")
	want := event("1") + event("2") + event("3") + event("4")
	if got.body != want || got.broken != nil {
		t.Errorf("got %q (%v), want %q", got.body, got.broken, want)
	}
	if got := got.header.Get("Slipwick-Stamp"); got != "b1" {
		t.Errorf("got the stamp of %s, want the first backend server's", got)
	}
}

// TestStreamThatHangsGoesOnElsewhere has the first backend server fall silent
// in the middle of the stream, its connection staying open.
func TestStreamThatHangsGoesOnElsewhere(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Slipwick-Stamp", b.id)
		_, _ = io.WriteString(w, event("1"))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	f := newFixture(t, first, newBackend(t, "b2", answers(http.StatusOK, event("2"))))
	got := f.post(t, "/resumable/x")
	if want := event("1") + event("2"); got.body != want || got.broken != nil {
		t.Errorf("got %q (%v), want %q", got.body, got.broken, want)
	}
}

func TestStreamThatCannotGoOnLooksBroken(t *testing.T) {
	for name, second := range map[string]func(*backend, http.ResponseWriter, *http.Request){
		"breaks again": breaks(event("3")),
		"fails":        answers(http.StatusInternalServerError, "failure"),
		"not found":    answers(http.StatusNotFound, "nothing"),
		"spoilt": func(_ *backend, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, event("3"))
		},
	} {
		f := newFixture(t, newBackend(t, "b1", breaks(event("1")+event("2"))), newBackend(t, "b2", second))
		got := f.post(t, "/resumable/x")
		if got.broken == nil {
			t.Errorf("%s: got %q as a whole answer, want it broken off", name, got.body)
		}
		if !strings.HasPrefix(event("1")+event("2")+event("3"), got.body) {
			t.Errorf("%s: got %q, want nothing but events in order", name, got.body)
		}
	}
}

func TestPassedOnTakesOnlyWhatIsNew(t *testing.T) {
	p := passedOn{
		lastID: "4",
	}
	if got, want := string(p.take([]byte(event("3")+event("4")+event("5")))), event("5"); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if p.lastID != "5" || p.events != 1 {
		t.Errorf("got last ID %s and %d events, want 5 and 1", p.lastID, p.events)
	}
}

func TestWholeEvents(t *testing.T) {
	for text, whole := range map[string]string{
		"":                              "",
		"id: 1\ndata: a\n":              "",
		"id: 1\ndata: a\n\n":            "id: 1\ndata: a\n\n",
		"id: 1\ndata: a\n\nid: 2":       "id: 1\ndata: a\n\n",
		"id: 1\r\ndata: a\r\n\r\nid:":   "id: 1\r\ndata: a\r\n\r\n",
		"id: 1\ndata: a\n\ndata: b\n\n": "id: 1\ndata: a\n\ndata: b\n\n",
	} {
		want := len(whole)
		if got := wholeEvents([]byte(text)); got != want {
			t.Errorf("%q: got %d, want %d", text, got, want)
		}
	}
}
