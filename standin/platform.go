package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
)

// Rate limits of the platform, in calls per second of all callers together.
const (
	WriteRate = 100
	ReadRate  = 2000
)

// Platform is a stand-in for the platform's object API and list of boxes. The
// exported fields must be set before it serves requests.
type Platform struct {
	// ListDelay is the delay after which the list of boxes shows a change.
	ListDelay time.Duration

	writes, reads *rate.Limiter

	mu          sync.Mutex
	objects     map[string]slipwick.Object
	lastVersion slipwick.Version
	// changed is closed at each write, which wakes the watches, and then replaced.
	changed chan struct{}
	boxes   map[string]slipwick.Box
	outage  bool
	// lostResponses is how many of the next writes take effect without a
	// response.
	lostResponses int
	callCount     map[string]int
}

// NewPlatform creates a platform without objects and boxes.
func NewPlatform() *Platform {
	return &Platform{
		writes:    rate.NewLimiter(WriteRate, WriteRate),
		reads:     rate.NewLimiter(ReadRate, ReadRate),
		objects:   make(map[string]slipwick.Object),
		changed:   make(chan struct{}),
		boxes:     make(map[string]slipwick.Box),
		callCount: make(map[string]int),
	}
}

// SetOutage switches an outage on or off. All calls get status 503 during an
// outage.
func (p *Platform) SetOutage(outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = outage
}

// LoseResponses aborts the connection after each of the next n writes that take
// effect.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostResponses = n
}

// Calls returns the number of calls so far by kind: get, put, watch, list, boxes.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int, len(p.callCount))
	for kind, count := range p.callCount {
		calls[kind] = count
	}
	return calls
}

// SetBox adds a box to the list or replaces it, after ListDelay.
func (p *Platform) SetBox(box slipwick.Box) {
	p.changeList(func() { p.boxes[box.ID] = box })
}

// RemoveBox removes a box from the list, after ListDelay.
func (p *Platform) RemoveBox(id string) {
	p.changeList(func() { delete(p.boxes, id) })
}

// changeList calls change with p.mu held, after ListDelay.
func (p *Platform) changeList(change func()) {
	apply := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		change()
	}
	if p.ListDelay == 0 {
		apply()
		return
	}
	time.AfterFunc(p.ListDelay, apply)
}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := callKind(r)
	if !p.admit(w, kind) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	switch kind {
	case "boxes":
		p.listBoxes(w)
	case "list":
		p.listObjects(w, r.URL.Query().Get("prefix"))
	case "put":
		p.put(w, r, key)
	case "watch":
		p.watch(w, r, key)
	default:
		p.get(w, key)
	}
}

func callKind(r *http.Request) string {
	switch {
	case r.URL.Path == "/v1/boxes":
		return "boxes"
	case r.Method == http.MethodPut:
		return "put"
	case r.URL.Query().Has("prefix"):
		return "list"
	case r.URL.Query().Get("watch") == "true":
		return "watch"
	default:
		return "get"
	}
}

// admit counts the call. It rejects the call and reports false in an outage or
// above the rate limit.
func (p *Platform) admit(w http.ResponseWriter, kind string) bool {
	p.mu.Lock()
	p.callCount[kind]++
	outage := p.outage
	p.mu.Unlock()
	limiter := p.reads
	if kind == "put" {
		limiter = p.writes
	}
	switch {
	case outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case !limiter.Allow():
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
	default:
		return true
	}
	return false
}

func (p *Platform) get(w http.ResponseWriter, key string) {
	p.mu.Lock()
	object, found := p.objects[key]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, nil)
		return
	}
	writeObject(w, object)
}

func writeObject(w http.ResponseWriter, object slipwick.Object) {
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

func etag(version slipwick.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil {
		http.Error(w, "timeout is not a duration", http.StatusBadRequest)
		return
	}
	expired := time.After(timeout)
	for {
		p.mu.Lock()
		object, changed := p.objects[key], p.changed
		p.mu.Unlock()
		if uint64(object.Version) > after {
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
		case <-expired:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, slipwick.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	version, conflict := p.putLocked(r.Header, key, value)
	lose := !conflict && p.lostResponses > 0
	if lose {
		p.lostResponses--
	}
	p.mu.Unlock()
	switch {
	case conflict:
		http.Error(w, "version does not match", http.StatusPreconditionFailed)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", etag(version))
	}
}

// putLocked writes the object if the condition in the header holds, and else
// reports a conflict; p.mu is held.
func (p *Platform) putLocked(header http.Header, key string, value []byte) (version slipwick.Version, conflict bool) {
	object, exists := p.objects[key]
	switch {
	case header.Get("If-None-Match") == "*":
		conflict = exists
	case header.Get("If-Match") != "":
		conflict = !exists || header.Get("If-Match") != etag(object.Version)
	}
	if conflict {
		return 0, true
	}
	p.lastVersion++
	p.objects[key] = slipwick.Object{
		Key:     key,
		Value:   value,
		Version: p.lastVersion,
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.lastVersion, false
}

func (p *Platform) listObjects(w http.ResponseWriter, prefix string) {
	p.mu.Lock()
	objects := []slipwick.Object{}
	for key, object := range p.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(objects, func(a, b slipwick.Object) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(objects)
}

func (p *Platform) listBoxes(w http.ResponseWriter) {
	p.mu.Lock()
	boxes := []slipwick.Box{}
	for _, box := range p.boxes {
		boxes = append(boxes, box)
	}
	p.mu.Unlock()
	slices.SortFunc(boxes, func(a, b slipwick.Box) int { return strings.Compare(a.ID, b.ID) })
	_ = json.NewEncoder(w).Encode(boxes)
}
