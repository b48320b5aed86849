package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/engine"
)

// EngineProfile holds the parameters of an engine. If Slots, Tokens, TokenInterval
// or CachedChats is 0, NewEngine sets a default.
type EngineProfile struct {
	// Slots is how many responses are generated at once; further requests are
	// queued.
	Slots int
	// Tokens is the number of tokens of a response.
	Tokens int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// PrefillTime is added to the response time if the prompt is not cached.
	PrefillTime time.Duration
	// CachedChats is how many chats' prefixes the engine caches.
	CachedChats int
	// ReportDelay is the delay of load reports and cache events.
	ReportDelay time.Duration
	// EventDropInterval drops every n-th cache event; 0 drops none.
	EventDropInterval int
}

func (p *EngineProfile) setDefaults() {
	if p.Slots == 0 {
		p.Slots = slipwick.DefaultSlots
	}
	if p.Tokens == 0 {
		p.Tokens = 8
	}
	if p.TokenInterval == 0 {
		p.TokenInterval = 5 * time.Millisecond
	}
	if p.CachedChats == 0 {
		p.CachedChats = 256
	}
}

// resumeWindow is how long a response can be resumed after it ended.
const resumeWindow = 2 * time.Second

// Engine is a stand-in for an inference engine.
type Engine struct {
	profile EngineProfile
	slots   chan struct{}

	mu           sync.Mutex
	faults       Faults
	responses    map[string]*activeResponse
	runs         map[string]int
	running      int
	queued       int
	cache        *lru.LRU[string, int]
	events       []timedEvent
	lastSequence uint64
	loads        []timedLoad
}

// timedEvent is a cache event and when it was recorded. The engine reports it from
// ReportDelay later.
type timedEvent struct {
	at    time.Time
	event slipwick.CacheEvent
}

// timedLoad is the load from a point in time on. The engine reports it from
// ReportDelay later.
type timedLoad struct {
	at     time.Time
	report slipwick.LoadReport
}

// NewEngine creates an engine with an empty cache.
func NewEngine(profile EngineProfile) *Engine {
	profile.setDefaults()
	e := &Engine{
		profile:   profile,
		slots:     make(chan struct{}, profile.Slots),
		responses: make(map[string]*activeResponse),
		runs:      make(map[string]int),
	}
	// NewLRU fails only if the size is not positive.
	e.cache, _ = lru.NewLRU(profile.CachedChats, func(key string, _ int) { e.recordEventLocked(key, true) })
	return e
}

// SetFaults replaces the faults. They apply to requests that arrive later; the
// zero value switches all of them off.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Runs returns how often each request ran, by the Digest of its last message.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// InFlight returns the number of requests that run or are queued.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + e.queued
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.faults.AnnounceLeaving {
		w.Header().Set(engine.LeavingHeader, "true")
	}
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.CompletionsPath, e.complete)
	mux.HandleFunc("GET "+engine.StreamsPath+"{id}", e.resume)
	mux.HandleFunc("DELETE "+engine.StreamsPath+"{id}", e.cancel)
	mux.HandleFunc("GET "+engine.LoadPath, e.load)
	mux.HandleFunc("GET "+engine.CacheEventsPath, e.cacheEvents)
	mux.ServeHTTP(w, r)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(faults.RetryAfter.Seconds(), 'f', -1, 64))
	}
	switch {
	case faults.CrashOn != "" && bytes.Contains(body, []byte(faults.CrashOn)):
		faults.OnCrash()
		panic(http.ErrAbortHandler)
	case faults.Leaving:
		w.Header().Set(engine.LeavingHeader, "true")
		reject(w, "leaving")
		return
	case faults.Reject:
		reject(w, "overloaded")
		return
	}
	request, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.RequestHeader)
	e.mu.Lock()
	a := newActiveResponse(id, request, r.Header.Get(engine.ChatHeader))
	e.runs[a.digest]++
	e.responses[id] = a
	e.mu.Unlock()
	go e.generate(a, faults)
	e.send(w, r, a, 0, faults)
}

// reject responds 503 and says that the request was not run.
func reject(w http.ResponseWriter, text string) {
	w.Header().Set(engine.NotRunHeader, "true")
	http.Error(w, text, http.StatusServiceUnavailable)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	a, faults := e.responses[r.PathValue("id")], e.faults
	e.mu.Unlock()
	faults.SkipEvent = false
	if a == nil || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	e.send(w, r, a, offset, faults)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a := e.responses[r.PathValue("id")]
	e.mu.Unlock()
	if a == nil {
		http.NotFound(w, r)
		return
	}
	a.cancel()
}

// generate adds the response's events, whether or not a connection reads them.
func (e *Engine) generate(a *activeResponse, faults Faults) {
	defer e.removeLater(a)
	e.addLoad(0, 1)
	select {
	case e.slots <- struct{}{}:
	case <-a.ctx.Done():
		e.addLoad(0, -1)
		return
	}
	defer func() { <-e.slots }()
	e.addLoad(1, -1)
	defer e.addLoad(-1, 0)
	if faults.Hang {
		<-a.ctx.Done()
		return
	}
	cached := e.cachedTokens(a)
	wait := faults.ResponseDelay
	if cached == 0 {
		wait += e.profile.PrefillTime
	}
	if !sleep(a.ctx, wait) {
		return
	}
	for i := range e.profile.Tokens {
		a.appendToken(i)
		if !sleep(a.ctx, e.profile.TokenInterval) {
			return
		}
	}
	a.finish(cached, e.profile.Tokens)
	e.cachePrefix(a, e.profile.Tokens)
}

// removeLater removes a response after resumeWindow.
func (e *Engine) removeLater(a *activeResponse) {
	time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.responses, a.id)
	})
}

// sleep waits. It reports false if ctx ended in the meantime.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// addLoad changes the numbers of running and queued requests and records the new
// load.
func (e *Engine) addLoad(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.queued += queued
	e.loads = append(e.loads, timedLoad{
		at: time.Now(),
		report: slipwick.LoadReport{
			Running: e.running,
			Queued:  e.queued,
		},
	})
}

// load serves the newest load that is at least ReportDelay old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var report slipwick.LoadReport
	visible := time.Now().Add(-e.profile.ReportDelay)
	for len(e.loads) > 1 && !e.loads[1].at.After(visible) {
		e.loads = e.loads[1:]
	}
	if len(e.loads) > 0 && !e.loads[0].at.After(visible) {
		report = e.loads[0].report
	}
	report.Leaving = e.faults.Leaving
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}
