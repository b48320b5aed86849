package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/-/objects/"
	maxPage     = 500
	maxWait     = 30 * time.Second
)

// object is an object of the store.
type object struct {
	kind, name        string
	revision, created uint64
	specification     json.RawMessage
}

// event is a change of an object.
type event struct {
	object
	isRemoved bool
}

// store is a stand-in of the platform's metadata store: linearizable lists and watches, whose history is kept.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// startStore starts a store at a free port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  listener.Addr().String(),
		revision: 100,
		objects:  make(map[string]map[string]object),
		changed:  make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: maxWait,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put creates or replaces an object; its return is the store's acknowledgement.
func (s *store) put(kind, name string, specification any) error {
	text, err := json.Marshal(specification)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := object{
		kind:          kind,
		name:          name,
		revision:      s.revision,
		created:       s.revision,
		specification: text,
	}
	if known, ok := s.objects[kind][name]; ok {
		o.created = known.created
	}
	s.objects[kind][name] = o
	s.addEventLocked(event{
		object: o,
	})
	return nil
}

func (s *store) addEventLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers lists, watches and reads of single objects.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, isObject := strings.CutPrefix(r.URL.Path, objectsPath)
	if !isObject || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, isNamed := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case isNamed:
		s.get(w, kind, name)
	case query.Get("watch") != "":
		after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
		millis, waitErr := strconv.Atoi(query.Get("wait_ms"))
		if errors.Join(err, waitErr) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.watch(r.Context(), w, kind, after, min(time.Duration(millis)*time.Millisecond, maxWait))
	default:
		s.list(w, kind, query.Get("after_revision"))
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, o.encoded())
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := make([]any, 0, len(names))
	for _, name := range names[:min(len(names), maxPage)] {
		items = append(items, s.objects[kind][name].encoded())
	}
	respond(w, map[string]any{
		"items":     items,
		"truncated": len(names) > maxPage,
		"as_of":     s.revision,
	})
}

// watch answers with the changes after a revision as soon as there are any, at the latest after the wait.
func (s *store) watch(ctx context.Context, w http.ResponseWriter, kind string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := make([]any, 0)
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{
					"object":    e.encoded(),
					"tombstone": e.isRemoved,
				})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			respond(w, map[string]any{
				"events": events,
				"as_of":  asOf,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-ctx.Done():
			return
		}
	}
}

// encoded returns the object as answers have it.
func (o object) encoded() map[string]any {
	return map[string]any{
		"metadata": map[string]any{
			"name":       o.name,
			"revision":   o.revision,
			"creation":   o.created,
			"finalizers": []string{},
			"deleting":   false,
		},
		"specification": o.specification,
		"status":        nil,
	}
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(body)
}
