package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is how many objects one response to a list has.
const pageSize = 500

// object is an object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int    `json:"revision"`
		Creation int    `json:"creation"`
	} `json:"metadata"`
	Specification any `json:"specification"`
	Status        any `json:"status"`
}

// change is a change of an object, as a watch returns it.
type change struct {
	Tombstone bool   `json:"tombstone"`
	Object    object `json:"object"`

	kind string
}

// store is a stand-in of the platform's metadata store. Only the operator and the replicas write to it.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

func newStore(host string) (*store, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(),
		objects: make(map[string]map[string]object),
		changed: make(chan struct{}),
	}
	s.server = &http.Server{
		Handler: s,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put creates or replaces an object.
func (s *store) put(kind, name string, specification any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := s.objects[kind][name]
	if o.Metadata.Creation == 0 {
		o.Metadata.Creation = s.revision
	}
	o.Metadata.Name, o.Metadata.Revision, o.Specification = name, s.revision, specification
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.addLocked(change{
		Object: o,
		kind:   kind,
	})
}

func (s *store) addLocked(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves lists and watches. No other call is needed by the cases.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const usualTime = 4 * time.Millisecond
	time.Sleep(usualTime)
	kind, name, isOne := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable)
	case isOne:
		s.serveOne(w, kind, name)
	case query.Has("watch"):
		s.serveWatch(w, r, kind)
	default:
		s.serveList(w, kind, query.Get("after_revision"))
	}
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, o)
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items, truncated := []object{}, false
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if name <= after {
			continue
		}
		if truncated = len(items) == pageSize; truncated {
			break
		}
		items = append(items, s.objects[kind][name])
	}
	response := map[string]any{"items": items, "truncated": truncated, "as_of": s.revision}
	s.mu.Unlock()
	respond(w, response)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.Atoi(r.URL.Query().Get("watch"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without a wait, or with one that can't be read, the response comes at once.
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, asOf, changed := s.eventsLocked(kind, after), s.revision, s.changed
		s.mu.Unlock()
		if ended || len(events) > 0 {
			respond(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			ended = true
		case <-changed:
		}
	}
}

// eventsLocked returns the changes of a kind after a revision.
func (s *store) eventsLocked(kind string, after int) []change {
	events := []change{}
	for _, c := range s.changes {
		if c.kind == kind && c.Object.Metadata.Revision > after {
			events = append(events, c)
		}
	}
	return events
}

// deeply stands for a value that is nested more deeply than this program's encoder allows.
const deeply = "a value that is nested deeply"

// nested is that value in JSON.
var nested = strings.Repeat("[", nestedDepth) + strings.Repeat("]", nestedDepth)

const nestedDepth = 10001

func respond(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text = bytes.ReplaceAll(text, []byte(strconv.Quote(deeply)), []byte(nested))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the gateway has closed the connection.
	_, _ = w.Write(text)
}
