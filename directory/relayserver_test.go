package directory

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// largeBatch returns a configuration with many routes.
func largeBatch(revision uint64) *slipwick.FeedBatch {
	var text strings.Builder
	text.WriteString(`{"routes":[`)
	for i := range 500 {
		fmt.Fprintf(&text, `{"name":"route-%d","host":"a%d.example","path_prefix":"/p%d/",`, i, i%7, i)
		fmt.Fprintf(&text, `"kind":"repeatable","timeout_ms":%d,"max_attempts":2},`, 600+i%3)
	}
	text.WriteString(`{}]}`)
	return &slipwick.FeedBatch{
		IsSnapshot: true,
		Revision:   revision,
		Entries: []slipwick.FeedEntry{
			{
				Name:  "main",
				Value: []byte(text.String()),
			},
			{
				Name:  "binary",
				Value: []byte{0xff, 0xfe, 0},
			},
		},
	}
}

// TestCopiesFitSlowLink has 29 routers list a large configuration at once. The responses together
// have to pass a link of 10 Mbit/s in half a second.
func TestCopiesFitSlowLink(t *testing.T) {
	const routers, maxBytes = 29, 10_000_000 / 8 / 2
	mirror := NewMirror()
	want := largeBatch(3)
	mirror.Apply(want)
	relayServer := &RelayServer{
		Mirrors: map[string]*Mirror{
			"f": mirror,
		},
	}
	var mu sync.Mutex
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		relayServer.ServeHTTP(recorder, r)
		mu.Lock()
		sent += recorder.Body.Len()
		mu.Unlock()
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	var all sync.WaitGroup
	for range routers {
		all.Go(func() {
			relay := &RelayClient{
				Address:  strings.TrimPrefix(server.URL, "http://"),
				FeedName: "f",
				HTTP:     http.DefaultClient,
			}
			got, err := relay.List(t.Context())
			if err != nil {
				t.Error(err)
				return
			}
			values := make(map[string]string)
			for _, e := range got.Entries {
				values[e.Name] = string(e.Value)
			}
			for _, e := range want.Entries {
				if values[e.Name] != string(e.Value) {
					t.Errorf("%s: got %d bytes, want the %d of the copy", e.Name, len(values[e.Name]), len(e.Value))
				}
			}
		})
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	if sent > maxBytes {
		t.Errorf("got %d bytes to %d routers, want at most %d", sent, routers, maxBytes)
	}
	relayServer.mu.Lock()
	defer relayServer.mu.Unlock()
	if got := len(relayServer.encoded); got != 1 {
		t.Errorf("got %d encodings, want 1 for all routers", got)
	}
}

// TestAgeIsCurrentInCachedResponse lists the same copy twice. The encoded copy is reused, but its
// age must be current.
func TestAgeIsCurrentInCachedResponse(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(batch(3, true, "a1"))
	server := httptest.NewServer(&RelayServer{
		Mirrors: map[string]*Mirror{
			"f": mirror,
		},
	})
	defer server.Close()
	relay := &RelayClient{
		Address:  strings.TrimPrefix(server.URL, "http://"),
		FeedName: "f",
		HTTP:     http.DefaultClient,
	}
	for _, minAge := range []time.Duration{0, 30 * time.Millisecond} {
		time.Sleep(minAge)
		got, err := relay.List(t.Context())
		if err != nil || got.Age < minAge-time.Millisecond || got.Age > time.Second {
			t.Errorf("got age %v (%v), want at least %v", got.Age, err, minAge)
		}
	}
}

// TestOlderRoutersAreUnderstood lists without what older routers do not send: the wait in requests
// for lists, and the hops in responses. They run beside newer ones during an upgrade.
func TestOlderRoutersAreUnderstood(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(batch(3, true, "a1"))
	relayServer := &RelayServer{
		Mirrors: map[string]*Mirror{
			"f": mirror,
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.RawQuery = ""
		recorder := httptest.NewRecorder()
		relayServer.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			if name != hopsHeader {
				w.Header()[name] = values
			}
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	relay := &RelayClient{
		Address:  server.Listener.Addr().String(),
		FeedName: "f",
		HTTP:     server.Client(),
	}
	got, err := relay.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	expectEntries(t, "list", got.Entries, "a1")
	if got.Hops != 2 {
		t.Errorf("got %d hops, want 2 because the router may itself follow a watcher", got.Hops)
	}
}
