package gateway

import (
	"net/http"
	"testing"

	"github.com/slipwick/slipwick/upstream"
)

// TestObserverSeesHowAResponseEnds guards against a delivered response of which nobody can tell afterwards
// whether its end was proved: the framing and the bytes after the last event are reported.
func TestObserverSeesHowAResponseEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		path    string
		respond func(*backend, http.ResponseWriter, *http.Request)
		want    ReadResponse
	}{
		"length": {
			path:    "/single/x",
			respond: respondWith(http.StatusOK, "answer"),
			want: ReadResponse{
				Framing: upstream.FramingLength,
			},
		},
		"chunks": {
			path: "/stream/x",
			respond: func(b *backend, w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Transfer-Encoding", "chunked")
				respondWith(http.StatusOK, event("1")+event("2"))(b, w, r)
			},
			want: ReadResponse{
				Framing: upstream.FramingChunked,
				Events:  2,
			},
		},
		"close": {
			path:    "/stream/x",
			respond: respondUnframed(t, "text/event-stream", event("1"), endsOrderly),
			want: ReadResponse{
				Framing: upstream.FramingClose,
				Events:  1,
			},
		},
	} {
		f := newFixture(t, newBackend(t, "b1", tc.respond))
		f.post(t, tc.path)
		tc.want.RequestID, tc.want.Backend, tc.want.Status = "q1", "b1", http.StatusOK
		reads := f.observer.responsesRead()
		if len(reads) != 1 || reads[0] != tc.want {
			t.Errorf("%s: got %+v, want only %+v", name, reads, tc.want)
		}
	}
}
