package gatewayd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

const (
	// streamEvents is how many events a stream has, eventsBeforeBreak after how many a new one breaks off.
	streamEvents      = 4
	eventsBeforeBreak = 2
)

// versionFleet has routers before servers of two software versions, whose new streams all break off.
type versionFleet struct {
	*fixture
	// addresses are those of the servers by ID, which begins with the version.
	addresses map[string]string
	routers   []*testGateway
}

func newVersionFleet(t *testing.T, routers int) *versionFleet {
	t.Helper()
	f := &versionFleet{
		fixture:   newFixture(t),
		addresses: make(map[string]string),
	}
	var ids []string
	for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b"} {
		serve := func(w http.ResponseWriter, r *http.Request) { serveVersion(w, r, id) }
		server := httptest.NewServer(http.HandlerFunc(serve))
		t.Cleanup(server.Close)
		f.addresses[id] = server.Listener.Addr().String()
		ids = append(ids, id)
	}
	f.setBackends(ids...)
	var seeds []string
	for i := range routers {
		f.routers = append(f.routers, startUnready(t, f.fixture, f.feeds(), fmt.Sprint("r", i), seeds...))
		seeds = []string{f.routers[0].Settings.Listen.Peers}
	}
	for _, r := range f.routers {
		waitFor(t, "readiness", r.ready)
		waitFor(t, "all routers to know each other", func() bool { return len(r.node.Routers()) == routers })
	}
	return f
}

// versionOf returns the version of a server.
func versionOf(id string) string {
	version, _, _ := strings.Cut(id, "-")
	return version
}

// serveVersion sends a stream whose events have the version. A new one breaks off.
func serveVersion(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
	w.Header().Set("Slipwick-Stamp", id)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	isNew := err != nil
	for i := range streamEvents {
		if !isNew && i <= last {
			continue
		}
		if isNew && i == eventsBeforeBreak {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, versionOf(id))
		_ = http.NewResponseController(w).Flush()
	}
}

func (f *versionFleet) feeds() Feeds {
	feeds := f.fixture.feeds()
	feeds.DecodeTable = func(string, []byte) (*routing.Table, error) {
		return routing.NewTable(1, routing.Limits{
			IdleTimeout: f.idleTimeout,
		}, nil, []routing.Route{
			{
				Name:           "chat",
				Host:           "a.example",
				AllowAnonymous: true,
				Prefix:         "/",
				Kind:           routing.KindStream,
				Resumable:      true,
				MaxAttempts:    1,
				Targets: []routing.Target{
					{
						Pool:   "p",
						Weight: 1,
					},
				},
			},
		}, nil), nil
	}
	feeds.DecodeBackend = func(name string, _ []byte) (balance.Entry, error) {
		return balance.Entry{
			Backend: slipwick.Backend{
				ID:      name,
				Address: f.addresses[name],
			},
			Pool:    "p",
			Version: versionOf(name),
		}, nil
	}
	return feeds
}

// TestStreamsTakenUpAtOtherRoutersKeepTheirVersion has callers take up streams, which all break off, at another
// router than the one that began them.
//
// It guards against streams with events of two software versions, and against routers that take up so few that
// callers lose most of them.
func TestStreamsTakenUpAtOtherRoutersKeepTheirVersion(t *testing.T) {
	const routers, streams = 4, 60
	f := newVersionFleet(t, routers)
	client := newClient()
	defer client.CloseIdleConnections()
	wentOn, mixed := 0, 0
	for i := range streams {
		id := fmt.Sprint("q", i)
		_, begin, _ := f.routers[i%routers].post(t, client, "/x", "Slipwick-Request", id)
		if !strings.Contains(begin, "data: ") {
			t.Fatalf("got %q from router %d, want the begin of a stream", begin, i%routers)
		}
		other := f.routers[(i+1+i/routers%(routers-1))%routers]
		status, rest, err := other.post(t, client, "/x", "Slipwick-Request", id+"-later",
			"Slipwick-Resumes", id, "Last-Event-Id", fmt.Sprint(eventsBeforeBreak-1))
		if status == http.StatusOK && err == nil {
			wentOn++
		}
		if all := begin + rest; strings.Contains(all, "data: v1") && strings.Contains(all, "data: v2") {
			mixed++
		}
	}
	if mixed > 0 {
		t.Errorf("got %d of %d streams with events of two versions, want none", mixed, streams)
	}
	if wentOn < streams*9/10 {
		t.Errorf("got %d of %d streams taken up, want nine tenths", wentOn, streams)
	}
}
