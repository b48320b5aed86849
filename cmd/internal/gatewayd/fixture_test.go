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

// world is a store and a backend server for gateway processes.
type world struct {
	tables, backends *directory.Mirror
	// evacuations are followed if evacuate, the time for it, is set.
	evacuations *directory.Mirror
	evacuate    time.Duration
	backend     *httptest.Server
	// timeline counts how often the store came back from a copy; 0 of one that tells none.
	timeline, revision uint64
	// idle is the tables' limit on resting connections.
	idle time.Duration
}

// newWorld makes a store with one table and one backend server, which answers
// after the pause that the header X-Pause tells.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		tables:   directory.NewMirror(),
		backends: directory.NewMirror(),
		idle:     5 * time.Second,

		evacuations: directory.NewMirror(),
	}
	w.backend = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if pause, err := time.ParseDuration(r.Header.Get("X-Pause")); err == nil {
			time.Sleep(pause)
		}
		rw.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		rw.Header().Set("Slipwick-Stamp", "s")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(w.backend.Close)
	w.setTable(1)
	w.setBackends("b1")
	return w
}

func (w *world) put(mirror *directory.Mirror, names ...string) {
	w.revision++
	batch := &slipwick.FeedBatch{
		Whole:    true,
		Timeline: w.timeline,
		Revision: w.revision,
	}
	for _, name := range names {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: []byte(fmt.Sprintf("%q", name)),
		})
	}
	mirror.Apply(batch)
}

// setTable puts a version in force; its one route has the version as prefix.
func (w *world) setTable(version int) {
	w.put(w.tables, fmt.Sprint(version))
}

func (w *world) setBackends(ids ...string) {
	w.put(w.backends, ids...)
}

// setEvacuated evacuates the data centres of backend servers.
func (w *world) setEvacuated(backends ...string) {
	w.put(w.evacuations, backends...)
}

func (w *world) feeds() Feeds {
	return Feeds{
		Tables:      w.tables,
		Backends:    w.backends,
		Evacuations: w.evacuations,
		DecodeEvacuation: func(name string, _ []byte) (string, error) {
			return "of " + name, nil
		},
		DecodeTable: func(name string, _ []byte) (*routing.Table, error) {
			var version uint64
			if err := json.Unmarshal([]byte(name), &version); err != nil {
				return nil, err
			}
			return routing.NewTable(version, routing.Limits{
				IdleTimeout: w.idle,
			}, nil, []routing.Route{
				{
					Name:        "r",
					Host:        "a.example",
					Prefix:      "/" + name + "/",
					Kind:        routing.KindSingle,
					Timeout:     5 * time.Second,
					MaxAttempts: 1,
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
					Address:    w.backend.Listener.Addr().String(),
					DataCentre: "of " + name,
				},
				Pool: "p",
			}, nil
		},
	}
}

// running is a gateway process in this one.
type running struct {
	*Process
	// stop asks it to stop, as SIGTERM does.
	stop context.CancelFunc
}

// givenPorts are those that freePorts gave: the system may choose a port again that was
// closed a moment ago and is not in use yet.
var givenPorts sync.Map

// freePorts gives two ports that follow each other, none of them twice.
func freePorts(t *testing.T) int {
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
		_ = second.Close()
		_, isGiven := givenPorts.LoadOrStore(port, true)
		_, isNextGiven := givenPorts.LoadOrStore(port+1, true)
		if !isGiven && !isNextGiven {
			return port
		}
	}
	t.Fatal("found no two free ports")
	return 0
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("%s:%d", loopback.Host(), freePorts(t))
}

// start starts a process and waits until it is ready.
func start(t *testing.T, w *world, id string, seeds ...string) *running {
	t.Helper()
	r := begin(t, w, w.feeds(), id, seeds...)
	waitFor(t, "readiness of "+id, r.ready)
	return r
}

// begin starts a process.
func begin(t *testing.T, w *world, feeds Feeds, id string, seeds ...string) *running {
	t.Helper()
	settings := &Settings{
		ID:      id,
		Headers: gateway.DefaultHeaders(),
		Seeds:   seeds,
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
			Evacuate: w.evacuate,
		},
		Grace: 6 * time.Second,
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := &running{
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

// ready asks as a balancer does.
func (r *running) ready() bool {
	response, err := http.Get("http://" + r.Settings.Listen.Ready + r.Settings.Listen.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 5 s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ask sends a request over the client and gives the status and the body.
func (r *running) ask(t *testing.T, client *http.Client, path string, header ...string) (int, string, error) {
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
