package gatewayd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/routing"

	"github.com/slipwick/slipwick/cmd/internal/loopback"
)

// fixture has the store and the backend server that gateway processes of a test use.
type fixture struct {
	tables, backends *directory.Mirror
	// evacuations are followed if evacuationTime, which becomes Bounds.EvacuationTime, is set.
	evacuations    *directory.Mirror
	evacuationTime time.Duration
	backend        *httptest.Server
	// timeline counts how often the store was restored from a backup; 0 if it does not report it.
	// revision counts its changes.
	timeline, revision uint64
	// idleTimeout is how long the table allows callers' connections to be idle.
	idleTimeout time.Duration
	// admission becomes Settings.Admission, dataCentre Settings.DataCentre.
	admission  AdmissionMode
	dataCentre string
}

// newFixture returns a fixture with one table and one backend server, which responds
// after the time in the request's X-Pause header.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{
		tables:      directory.NewMirror(),
		backends:    directory.NewMirror(),
		idleTimeout: 5 * time.Second,

		evacuations: directory.NewMirror(),
	}
	f.backend = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if pause, err := time.ParseDuration(r.Header.Get("X-Pause")); err == nil {
			time.Sleep(pause)
		}
		rw.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		rw.Header().Set("Slipwick-Stamp", "s")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(f.backend.Close)
	f.setTable(1)
	f.setBackends("b1")
	return f
}

// replaceEntries makes the names the only entries of a feed of the store.
func (f *fixture) replaceEntries(mirror *directory.Mirror, names ...string) {
	f.revision++
	batch := &slipwick.FeedBatch{
		IsSnapshot: true,
		Timeline:   f.timeline,
		Revision:   f.revision,
	}
	for _, name := range names {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: []byte(fmt.Sprintf("%q", name)),
		})
	}
	mirror.Apply(batch)
}

// setTable stores a table of the version, whose only route has the version as path prefix.
func (f *fixture) setTable(version int) {
	f.replaceEntries(f.tables, fmt.Sprint(version))
}

func (f *fixture) setBackends(ids ...string) {
	f.replaceEntries(f.backends, ids...)
}

// setEvacuated evacuates the data centres of the given backend servers, and no others.
func (f *fixture) setEvacuated(backends ...string) {
	f.replaceEntries(f.evacuations, backends...)
}

func (f *fixture) feeds() Feeds {
	return Feeds{
		Tables:      f.tables,
		Backends:    f.backends,
		Evacuations: f.evacuations,
		DecodeEvacuation: func(name string, _ []byte) (string, error) {
			return "of " + name, nil
		},
		DecodeTable: func(name string, _ []byte) (*routing.Table, error) {
			var version uint64
			if err := json.Unmarshal([]byte(name), &version); err != nil {
				return nil, err
			}
			return routing.NewTable(version, routing.Limits{
				IdleTimeout: f.idleTimeout,
			}, nil, []routing.Route{
				{
					Name:           "r",
					Host:           "a.example",
					AllowAnonymous: true,
					Prefix:         "/" + name + "/",
					Kind:           routing.KindSingle,
					Timeout:        5 * time.Second,
					MaxAttempts:    1,
					Targets: []routing.Target{
						{
							Pool:   "p",
							Weight: 1,
						},
					},
				},
			}, nil), nil
		},
		DecodeBackend: func(name string, _ []byte) (balance.Entry, error) {
			return balance.Entry{
				Backend: slipwick.Backend{
					ID:         name,
					Address:    f.backend.Listener.Addr().String(),
					DataCentre: "of " + name,
				},
				Pool: "p",
			}, nil
		},
	}
}

// testGateway is a gateway that runs inside the test process.
type testGateway struct {
	*Process
	// stop makes it drain and stop, as SIGTERM does.
	stop context.CancelFunc
}

// givenPorts are the ports that freePorts returned: the system may choose a port again that
// was closed a moment ago and is not in use yet.
var givenPorts sync.Map

// freePorts returns the first of three consecutive free ports. No port is returned twice.
func freePorts(t testing.TB) int {
	t.Helper()
	for range 50 {
		first, err := net.Listen("tcp4", loopback.Host()+":0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", loopback.Host(), port+1))
		_ = first.Close()
		if err != nil {
			continue
		}
		third, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", loopback.Host(), port+2))
		_ = second.Close()
		if err != nil {
			continue
		}
		_ = third.Close()
		_, isGiven := givenPorts.LoadOrStore(port, true)
		_, isNextGiven := givenPorts.LoadOrStore(port+1, true)
		_, isLastGiven := givenPorts.LoadOrStore(port+2, true)
		if !isGiven && !isNextGiven && !isLastGiven {
			return port
		}
	}
	t.Fatal("found no three consecutive free ports")
	return 0
}

func freeAddress(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("%s:%d", loopback.Host(), freePorts(t))
}

// TestFreeAddressesDiffer draws 500 addresses, several times as many as a run of this package's
// tests uses. A process with the same address twice would fail to start.
func TestFreeAddressesDiffer(t *testing.T) {
	const draws = 500
	given := make(map[string]bool)
	for range draws {
		address := freeAddress(t)
		if given[address] {
			t.Fatalf("got %s twice within %d draws", address, len(given)+1)
		}
		given[address] = true
	}
}

// startReady starts a gateway and waits until it is ready.
func startReady(t testing.TB, f *fixture, id string, seeds ...string) *testGateway {
	t.Helper()
	r := startUnready(t, f, f.feeds(), id, seeds...)
	waitFor(t, "readiness of "+id, r.ready)
	return r
}

// startUnready starts a gateway without waiting until it is ready.
func startUnready(t testing.TB, f *fixture, feeds Feeds, id string, seeds ...string) *testGateway {
	t.Helper()
	settings := &Settings{
		ID:         id,
		DataCentre: f.dataCentre,
		Headers:    gateway.DefaultHeaders(),
		Seeds:      seeds,
		Listen: Listen{
			Callers:   freeAddress(t),
			Ready:     freeAddress(t),
			ReadyPath: "/ready",
			Peers:     freeAddress(t),
		},
		Retries: Retries{
			Ratio:  0.2,
			Extra:  50,
			Window: 10 * time.Second,
		},
		Bounds: Bounds{
			EvacuationTime: f.evacuationTime,
		},
		GracePeriod: 6 * time.Second,
		Admission:   f.admission,
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := &testGateway{
		Process: New(settings, feeds),
		stop:    cancel,
	}
	go func() {
		if err := r.Run(ctx); err != nil {
			t.Errorf("router %s: %v", id, err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-r.Done()
	})
	return r
}

// ready probes readiness as a load balancer does.
func (r *testGateway) ready() bool {
	response, err := http.Get("http://" + r.Settings.Listen.Ready + r.Settings.Listen.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 5 s waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// post sends a request with the client and returns the status and body of the response. The
// header arguments are pairs of names and values.
func (r *testGateway) post(t testing.TB, client *http.Client, path string, header ...string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+r.Settings.Listen.Callers+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Slipwick-Request", "q")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{},
	}
}
