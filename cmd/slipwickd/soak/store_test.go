package soak

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeMode is how the store responds to requests.
type storeMode string

const (
	storeServes storeMode = "serves"
	// storeRefuses responds to each request with 503.
	storeRefuses storeMode = "refuses"
	// storeUnresponsive responds to no request.
	storeUnresponsive storeMode = "unresponsive"
	// storeSlow delays each response.
	storeSlow storeMode = "slow"
	// storeHistoryLost responds to each new watch with 410: the store no longer has the history of
	// changes.
	storeHistoryLost storeMode = "history lost"
)

// object is an object in the JSON format of the platform.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int    `json:"revision"`
	} `json:"metadata"`
	Specification any `json:"specification"`
}

// storeEvent is a change of an object in the JSON format of the platform. A tombstone says that the
// object was removed.
type storeEvent struct {
	Tombstone bool   `json:"tombstone"`
	Object    object `json:"object"`

	// kind is the kind of the object: servers or config. at is the time of the write.
	kind string
	at   time.Time
}

// store is a fake of the platform's metadata store.
type store struct {
	address string

	mu           sync.Mutex
	mode         storeMode
	healthySince time.Time
	// timeline starts at 1 and grows by one each time the store is restored from a backup. The
	// header Store-Era sends it to gateways. revision is that of the latest write.
	timeline, revision int
	// objects are the current objects, by kind and name.
	objects map[string]map[string]object
	// events are all changes, in the order of their revisions.
	events []storeEvent
	// lastWrites has the last write of the operator and the servers to each object, removals
	// included, by kind and name.
	lastWrites map[string]storeEvent
	// changed is closed, and replaced, when the state or the mode of the store changes.
	changed chan struct{}
}

func newStore(t *testing.T, host string) *store {
	t.Helper()
	s := &store{
		mode:         storeServes,
		healthySince: time.Now(),
		timeline:     1,
		objects:      make(map[string]map[string]object),
		lastWrites:   make(map[string]storeEvent),
		changed:      make(chan struct{}),
	}
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{
		Handler: s,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// setMode changes how the store responds. Pending watches wake up and check the new mode.
func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.healthySince = time.Now()
	s.wakeWatchesLocked()
}

// healthyFor returns the time since the store was last set to storeServes or restored, or 0 in
// another mode.
func (s *store) healthyFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeServes {
		return 0
	}
	return time.Since(s.healthySince)
}

func (s *store) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(kind, name string, specification any) {
	s.write(kind, name, specification, false)
}

func (s *store) removeServer(name string) { s.write("servers", name, nil, true) }

func (s *store) write(kind, name string, specification any, isTombstone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWrites[kind+"/"+name] = s.writeLocked(kind, name, specification, isTombstone)
}

func (s *store) writeLocked(kind, name string, specification any, isTombstone bool) storeEvent {
	s.revision++
	o := object{
		Specification: specification,
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	e := storeEvent{
		Tombstone: isTombstone,
		Object:    o,
		kind:      kind,
		at:        time.Now(),
	}
	s.events = append(s.events, e)
	s.applyLocked(&e)
	s.wakeWatchesLocked()
	return e
}

func (s *store) applyLocked(e *storeEvent) {
	if s.objects[e.kind] == nil {
		s.objects[e.kind] = make(map[string]object)
	}
	s.objects[e.kind][e.Object.Metadata.Name] = e.Object
	if e.Tombstone {
		delete(s.objects[e.kind], e.Object.Metadata.Name)
	}
}

// ServeHTTP lists the objects of a kind or, with the query parameter watch, waits for changes after
// the revision in it.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/-/objects/")
	query := r.URL.Query()
	s.mu.Lock()
	mode, timeline := s.mode, s.timeline
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(timeline))
	switch mode {
	case storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeUnresponsive:
		<-r.Context().Done()
		return
	case storeSlow:
		time.Sleep(250 * time.Millisecond)
	default:
	}
	if !query.Has("watch") {
		s.mu.Lock()
		items := slices.Collect(maps.Values(s.objects[kind]))
		response := map[string]any{"items": items, "truncated": false, "as_of": s.revision}
		w.Header().Set("Store-Era", strconv.Itoa(s.timeline))
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(response)
		return
	}
	if mode == storeHistoryLost {
		w.WriteHeader(http.StatusGone)
		return
	}
	after, _ := strconv.Atoi(query.Get("watch"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
}

// watch responds with the changes of a kind after a revision, or with none if the wait is over. It
// responds with 410 if the store has not reached that revision, as after a restore, and aborts the
// connection if the mode becomes storeRefuses or storeUnresponsive.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		mode, asOf, changed := s.mode, s.revision, s.changed
		w.Header().Set("Store-Era", strconv.Itoa(s.timeline))
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case mode == storeRefuses || mode == storeUnresponsive:
			panic(http.ErrAbortHandler)
		case after > asOf:
			w.WriteHeader(http.StatusGone)
			return
		case timedOut || len(events) > 0:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}
