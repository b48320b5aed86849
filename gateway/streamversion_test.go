package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// newVersion starts a backend server of a version of the software.
func newVersion(
	t *testing.T, id, version string, handle func(*backend, http.ResponseWriter, *http.Request),
) *backend {
	b := newBackend(t, id, handle)
	b.version = version
	return b
}

// TestStreamIsContinuedByItsVersionOnly guards against a response with events of two software versions, whose
// servers don't check which of them began the stream.
func TestStreamIsContinuedByItsVersionOnly(t *testing.T) {
	rest := respondWith(http.StatusOK, event("2")+event("3"))
	t.Run("no other server of the version", func(t *testing.T) {
		other := newVersion(t, "b2", "v2", rest)
		f := newFixture(t, newVersion(t, "b1", "v1", breakAfter(event("1"))), other)
		if got := f.post(t, "/resumable/x"); got.body != event("1") || got.bodyErr == nil {
			t.Errorf("got %q (%v), want the first event and an error", got.body, got.bodyErr)
		}
		if got := other.runs.Load(); got != 0 {
			t.Errorf("got %d requests at the other version, want none", got)
		}
	})
	t.Run("another server of the version", func(t *testing.T) {
		for range 10 {
			f := newFixture(t, newVersion(t, "b1", "v1", breakAfter(event("1"))),
				newVersion(t, "b2", "v2", rest), newVersion(t, "b3", "v1", rest))
			got := f.post(t, "/resumable/x")
			if want := event("1") + event("2") + event("3"); got.body != want || got.bodyErr != nil {
				t.Fatalf("got %q (%v), want %q", got.body, got.bodyErr, want)
			}
			if got := f.observer.continued; len(got) != 1 || got[0].Backend != "b3" || !got[0].IsSameResponse {
				t.Fatalf("got continuations %+v, want one at b3 in the same response", got)
			}
		}
	})
	t.Run("broken off before its first event", func(t *testing.T) {
		f := newFixture(t, newVersion(t, "b1", "v1", breakAfter("")), newVersion(t, "b2", "v2", rest))
		if got, want := f.post(t, "/resumable/x").body, event("2")+event("3"); got != want {
			t.Errorf("got %q, want %q: any version may begin the stream", got, want)
		}
	})
}

// takeUp sends a request that takes up, after its first event, the stream which the request with the ID resumes began.
func (f *fixture) takeUp(t *testing.T, resumes string) reply {
	t.Helper()
	r := f.request(t, "/resumable/x", "x")
	r.Header.Set("Slipwick-Request", "later")
	r.Header.Set("Slipwick-Resumes", resumes)
	r.Header.Set("Last-Event-Id", "1")
	return send(t, r)
}

// TestTakenUpStreamIsContinuedByItsVersionOnly guards against events of two software versions over a caller's
// attempts.
func TestTakenUpStreamIsContinuedByItsVersionOnly(t *testing.T) {
	f := newFixture(t, newVersion(t, "b1", "v1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			breakAfter(event("1"))(b, w, r)
		}
		respondWith(http.StatusOK, event("2")+event("3"))(b, w, r)
	}), newVersion(t, "b2", "v2", respondWith(http.StatusOK, event("2")+event("3"))))
	if got := f.post(t, "/resumable/x").body; !strings.HasPrefix(got, event("1")) {
		t.Fatalf("got %q, want the first event", got)
	}
	for range 20 {
		got := f.takeUp(t, "q1")
		if want := event("2") + event("3"); got.body != want || got.header.Get("Slipwick-Stamp") != "b1" {
			t.Fatalf("got %d %q of %s, want %q of b1, whose version began the stream",
				got.status, got.body, got.header.Get("Slipwick-Stamp"), want)
		}
	}
}

// TestUnknownStreamIsNotContinued guards against a router that guesses the version at which a stream began.
func TestUnknownStreamIsNotContinued(t *testing.T) {
	rest := respondWith(http.StatusOK, event("2")+event("3"))
	f := newFixture(t, newVersion(t, "b1", "v1", rest), newVersion(t, "b2", "v2", rest))
	if got := f.post(t, "/repeatable/x"); got.status != http.StatusOK {
		t.Fatalf("got %d, want 200", got.status)
	}
	for name, resumes := range map[string]string{
		"unknown":            "q0",
		"a request that was": "q1",
		"not named":          "",
		"huge":               strings.Repeat("q", 1000),
	} {
		got := f.takeUp(t, resumes)
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("stream of a request that is %s: got %d %q, want 503", name, got.status, got.body)
		}
	}
}

// TestStreamOfAnotherWorkspaceIsNotContinued guards against a caller who learns of what another workspace's request
// with the same ID began.
func TestStreamOfAnotherWorkspaceIsNotContinued(t *testing.T) {
	f := newFixture(t, newVersion(t, "b1", "v1", breakAfter(event("1"))),
		newVersion(t, "b2", "v2", respondWith(http.StatusOK, event("2"))))
	f.post(t, "/resumable/x")
	r := f.request(t, "/resumable/x", "x")
	r.Header.Set("Authorization", "Bearer other")
	r.Header.Set("Slipwick-Resumes", "q1")
	r.Header.Set("Last-Event-Id", "1")
	if got := send(t, r); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %d %q, want 503", got.status, got.body)
	}
}

// TestStreamOfAGoneVersionIsRefusedAtOnce guards against callers who wait for, or come back to, a version that has no
// server any more: they have to begin anew, which a refusal without Retry-After says.
func TestStreamOfAGoneVersionIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newVersion(t, "b2", "v2", respondWith(http.StatusOK, event("2"))))
	f.gateway.Streams.NoteOrigin(streamKey("w", "q1"), originHash("p", "v1"))
	started := time.Now()
	got := f.takeUp(t, "q1")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" {
		t.Errorf("got %d with Retry-After %q, want 503 without", got.status, got.header.Get("Retry-After"))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("got the refusal after %v, want it at once", took)
	}
	if refused := f.observer.refused(); len(refused) != 1 || refused[0].Reason != reasonVersionGone {
		t.Errorf("got refusals %+v, want one because the version is gone", refused)
	}
}

// TestStreamOfTheOnlyVersionIsContinued guards against callers who lose their streams although there has been one
// version only since these can have begun, and against a router that concludes so from a list that is old or new to it.
func TestStreamOfTheOnlyVersionIsContinued(t *testing.T) {
	for _, test := range []struct {
		name string
		// isFirstStart says that no stream can have begun before the router's list.
		isFirstStart bool
		isCurrent    bool
		want         int
	}{
		{"first start", true, true, http.StatusOK},
		{"old list", true, false, http.StatusServiceUnavailable},
		{"new list of a router that started again", false, true, http.StatusServiceUnavailable},
	} {
		f := newFixture(t, newVersion(t, "b1", "v1", respondWith(http.StatusOK, event("2"))),
			newVersion(t, "b2", "v1", respondWith(http.StatusOK, event("2"))))
		if test.isFirstStart {
			f.gateway.Balancer.MarkCachesKnown()
		}
		if !test.isCurrent {
			f.gateway.BackendsAge = func() time.Duration { return time.Second }
		}
		if got := f.takeUp(t, "unknown"); got.status != test.want {
			t.Errorf("%s: got %d %q, want %d", test.name, got.status, got.body, test.want)
		}
	}
}

// TestLeaseOfAnotherVersionIsGivenBack guards against a send to another version that was prepared while the first
// one was silent, before its first event bound the stream.
func TestLeaseOfAnotherVersionIsGivenBack(t *testing.T) {
	serve := respondWith(http.StatusOK, "")
	f := newFixture(t, newVersion(t, "b1", "v1", serve), newVersion(t, "b2", "v2", serve))
	for _, bound := range []string{"v1", "v2"} {
		c := &call{
			gateway: f.gateway,
		}
		c.selection.Pool = "p"
		lease, err := f.gateway.Balancer.Acquire(&c.selection)
		if err != nil {
			t.Fatal(err)
		}
		c.nextLease = lease
		c.selection.Version, c.selection.HasVersion = bound, true
		got := c.takeNextLease()
		if isKept := got != nil; isKept != (lease.Version == bound) {
			t.Errorf("stream bound to %s, lease of %s: got it kept %t", bound, lease.Version, isKept)
		}
		if got != nil {
			f.gateway.Balancer.Abandon(got)
		}
	}
}

// TestStreamIsNotContinuedInAPoolOfALaterTable guards against a stream of unknown origin that goes on in the pool to
// which the route leads now, though it can have begun in the one before.
func TestStreamIsNotContinuedInAPoolOfALaterTable(t *testing.T) {
	f := newFixture(t, newVersion(t, "b1", "v1", respondWith(http.StatusOK, event("2"))))
	f.gateway.Balancer.MarkCachesKnown()
	if got := f.takeUp(t, "unknown"); got.status != http.StatusOK {
		t.Fatalf("got %d in the first table, want 200", got.status)
	}
	moved := testTable(2)
	moved.Route("a.example", "/resumable/").Targets[0].Pool = "q"
	f.gateway.SetTable(moved)
	f.gateway.SetTable(testTable(3))
	if got := f.takeUp(t, "unknown too"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %d after the route led to another pool, want 503", got.status)
	}
	f.gateway.SetTable(testTable(4))
	if since := f.gateway.routes.state("resumable").since; since.IsZero() {
		t.Error("got a route that counts as unchanged after a later table, want the time of its change")
	}
}

// TestLongWaitingCallersBoundTheAgeOfStreams guards against streams that go on at another version, as their callers
// come back for longer than twice the route's timeout.
func TestLongWaitingCallersBoundTheAgeOfStreams(t *testing.T) {
	f := newFixture(t, newVersion(t, "b1", "v1", respondWith(http.StatusOK, event("1"))))
	const maxListAge = 2 * time.Second
	f.gateway.MaxBackendsAge = func() time.Duration { return maxListAge }
	for _, test := range []struct {
		deadline string
		want     time.Duration
	}{
		{"", balance.VersionRetention},
		{"1000", 2*5*time.Second + maxListAge},
		{"30000", 30*time.Second + maxListAge},
		{"2000", 30*time.Second + maxListAge},
		{"86400000", balance.VersionRetention},
	} {
		r := f.request(t, "/resumable/x", "x")
		r.Header.Set(f.gateway.Headers.Deadline, test.deadline)
		send(t, r)
		c := &call{
			gateway: f.gateway,
			request: r,
			route:   f.gateway.Table().Route("a.example", "/resumable/"),
		}
		if got := c.maxStreamAge(f.gateway.routes.state("resumable").longestDeadline); got != test.want {
			t.Errorf("deadline %q: got streams up to %v old, want %v", test.deadline, got, test.want)
		}
	}
}
