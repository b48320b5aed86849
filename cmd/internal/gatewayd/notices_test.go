package gatewayd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

const (
	// inFlightMargin is how long after a notice callers may still send requests that reach the server. A
	// busy machine may delay requests on their way by more than that, so that their arrival tells nothing.
	inFlightMargin = 500 * time.Millisecond
	// maxTransit is how long after a notice requests may still arrive whose callers sent them before. Half of
	// the bound for leaving servers: a router must not hold such a request and send it after the notice.
	maxTransit = time.Second
	// requestedPause is the pause that servers ask for.
	requestedPause = 2 * time.Second
	// noticeRequestInterval is the interval between two requests to a router, and the pause after
	// each event of a response. noticeTestDuration is how long requests are sent.
	noticeRequestInterval = 15 * time.Millisecond
	noticeTestDuration    = 4 * time.Second
	// routerHeader is the request header with the ID of the router that the test sends to, sentHeader that
	// with the time at which the caller sent it.
	routerHeader = "X-Router"
	sentHeader   = "X-Sent"
)

// arrival is when a request arrived at a server, and when its caller sent it.
type arrival struct {
	at, sentAt time.Time
}

// noticeServer is a backend server that sends notices in its responses: that it is leaving, or that
// it asks for a pause.
type noticeServer struct {
	id     string
	server *httptest.Server
	// leaving makes it announce in all responses that it is leaving, wantsPause makes it reject
	// all requests and ask for a pause.
	leaving, wantsPause atomic.Bool

	mu sync.Mutex
	// arrivals are the times of requests, noticesSent the times at which responses with a notice
	// ended, by router.
	arrivals    map[string][]arrival
	noticesSent map[string][]time.Time
}

func (s *noticeServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	router, leaving, wantsPause := r.Header.Get(routerHeader), s.leaving.Load(), s.wantsPause.Load()
	s.recordArrival(router, r.Header.Get(sentHeader))
	w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
	if leaving {
		w.Header().Set("Slipwick-Leaving", "1")
	}
	if leaving || wantsPause {
		defer s.recordNotice(router)
	}
	if wantsPause {
		w.Header().Set("Slipwick-Not-Run", "1")
		w.Header().Set("Retry-After", fmt.Sprint(requestedPause.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Slipwick-Stamp", s.id)
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(noticeRequestInterval)
	}
}

func (s *noticeServer) recordArrival(router, sentText string) {
	now := time.Now()
	// Without the time, the request counts as sent when it arrived.
	sentAt, err := time.Parse(time.RFC3339Nano, sentText)
	if err != nil {
		sentAt = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[router] = append(s.arrivals[router], arrival{
		at:     now,
		sentAt: sentAt,
	})
}

func (s *noticeServer) recordNotice(router string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticesSent[router] = append(s.noticesSent[router], time.Now())
}

// requestsAfterNotice returns the number of requests that a router sent to the server and that their
// callers sent later than inFlightMargin after the first response that announced that the server is
// leaving.
func (s *noticeServer) requestsAfterNotice(router string) (late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.noticesSent[router]) == 0 {
		return 0
	}
	for _, a := range s.arrivals[router] {
		if notice := s.noticesSent[router][0]; a.sentAt.Sub(notice) > inFlightMargin || a.at.Sub(notice) > maxTransit {
			late++
		}
	}
	return late
}

// requestsDuringPause returns the number of requests that a router sent during a pause that the
// server had asked it for, and that their callers sent later than inFlightMargin after the response
// that did so.
func (s *noticeServer) requestsDuringPause(router string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals[router] {
		for _, noticeAt := range s.noticesSent[router] {
			since := a.at.Sub(noticeAt)
			if since < requestedPause && (a.sentAt.Sub(noticeAt) > inFlightMargin || since > maxTransit) {
				count++
				break
			}
		}
	}
	return count
}

// noticeFleet has routers with a pool of servers whose list in the store does not change.
type noticeFleet struct {
	*fixture
	servers []*noticeServer
	routers []*testGateway
	client  *http.Client
}

func newNoticeFleet(t *testing.T, servers, routers int) *noticeFleet {
	t.Helper()
	f := &noticeFleet{
		fixture: newFixture(t),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 50,
			},
		},
	}
	t.Cleanup(f.client.CloseIdleConnections)
	var ids []string
	for i := range servers {
		s := &noticeServer{
			id:          fmt.Sprint("s", i),
			arrivals:    make(map[string][]arrival),
			noticesSent: make(map[string][]time.Time),
		}
		s.server = httptest.NewServer(http.HandlerFunc(s.serve))
		t.Cleanup(s.server.Close)
		f.servers = append(f.servers, s)
		ids = append(ids, s.id)
	}
	f.setBackends(ids...)
	var seeds []string
	for i := range routers {
		f.routers = append(f.routers, startUnready(t, f.fixture, f.feeds(), fmt.Sprint("r", i), seeds...))
		seeds = []string{f.routers[0].Settings.Listen.Peers}
	}
	for _, r := range f.routers {
		waitFor(t, "readiness", r.ready)
	}
	waitFor(t, "all routers to know each other", func() bool { return len(f.routers[0].node.Routers()) == routers })
	return f
}

func (f *noticeFleet) feeds() Feeds {
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
				Timeout:        5 * time.Second,
				MaxAttempts:    2,
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
		entry := balance.Entry{
			Backend: slipwick.Backend{
				ID:         name,
				DataCentre: "d",
			},
			Pool: "p",
		}
		for _, s := range f.servers {
			if s.id == name {
				entry.Address = s.server.Listener.Addr().String()
			}
		}
		return entry, nil
	}
	return feeds
}

// sendLoad sends requests to all routers for noticeTestDuration, and returns the number of
// responses by status; 0 stands for requests without one.
func (f *noticeFleet) sendLoad(t *testing.T) map[int]int {
	t.Helper()
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	started := time.Now()
	for i := 0; time.Since(started) < noticeTestDuration; i++ {
		for j, router := range f.routers {
			callers.Go(func() {
				status, _, err := router.post(t, f.client, "/chat", "Slipwick-Request", fmt.Sprintf("q-%d-%d", i, j),
					routerHeader, router.Settings.ID, sentHeader, time.Now().Format(time.RFC3339Nano))
				if err != nil {
					status = 0
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		time.Sleep(noticeRequestInterval)
	}
	callers.Wait()
	return statuses
}

// TestServerThatAnnouncesLeavingGetsNoNewRequests has one of six servers announce in all its
// responses that it is leaving, while the list of backend servers does not change.
//
// It guards against routers that keep sending to a leaving server until it ends, which was
// seen for 12 s and more. The store was unavailable when the server began to leave, so all
// routers still had it as ready in their lists. They forwarded its notices to callers but
// did not evaluate them.
func TestServerThatAnnouncesLeavingGetsNoNewRequests(t *testing.T) {
	f := newNoticeFleet(t, 6, 3)
	leaving := f.servers[0]
	leaving.leaving.Store(true)
	statuses := f.sendLoad(t)
	for _, r := range f.routers {
		if late := leaving.requestsAfterNotice(r.Settings.ID); late > 0 {
			t.Errorf("router %s: got %d requests later than %v after the notice, want none",
				r.Settings.ID, late, inFlightMargin)
		}
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("got responses by status %v, want all served", statuses)
	}
}

// TestServerThatAsksForPauseGetsNoRequests has two of six servers reject all requests and ask
// for a pause.
//
// It guards against routers that ignore the pause. A server that rejects everything responds
// at once and has no load, so it looked like the least loaded one and was chosen again: servers
// that asked for 3 s got up to a dozen requests from one router in that time, more than any
// other server. After 3 s the retry budget was spent and callers were refused, although 13 of
// 18 servers had free capacity. A rejection affected only the request that was rejected, and
// nothing read how long the server wanted no requests.
func TestServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	f := newNoticeFleet(t, 6, 3)
	pausing := f.servers[:2]
	for _, s := range pausing {
		s.wantsPause.Store(true)
	}
	statuses := f.sendLoad(t)
	for _, r := range f.routers {
		for _, s := range pausing {
			if got := s.requestsDuringPause(r.Settings.ID); got > 0 {
				t.Errorf("router %s: got %d requests at %s during its pause, want none", r.Settings.ID, got, s.id)
			}
		}
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("got responses by status %v, want all served by the others", statuses)
	}
}
