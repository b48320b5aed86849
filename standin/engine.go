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

// EngineProfile is how an engine behaves. Zero fields take the defaults.
type EngineProfile struct {
	// Slots is how many answers it makes at once; more wait in line.
	Slots int
	// Tokens is the length of an answer.
	Tokens int
	// TokenEvery is the time between tokens.
	TokenEvery time.Duration
	// Prefill is the added wait for a prompt that is not cached.
	Prefill time.Duration
	// CacheChats is how many chats' prefixes it keeps.
	CacheChats int
	// ReportLag is how late load and cache events are.
	ReportLag time.Duration
	// EventGap drops every n-th cache event; 0 drops none.
	EventGap int
}

func (p *EngineProfile) defaults() {
	if p.Slots == 0 {
		p.Slots = slipwick.DefaultSlots
	}
	if p.Tokens == 0 {
		p.Tokens = 8
	}
	if p.TokenEvery == 0 {
		p.TokenEvery = 5 * time.Millisecond
	}
	if p.CacheChats == 0 {
		p.CacheChats = 256
	}
}

// resumeWindow is how long an answer goes on without a reader.
const resumeWindow = 2 * time.Second

// Engine is a stand-in for a model engine.
type Engine struct {
	profile EngineProfile
	slots   chan struct{}

	mu      sync.Mutex
	faults  Faults
	answers map[string]*answer
	runs    map[string]int
	running int
	waiting int
	cache   *lru.LRU[string, int]
	events  []timedEvent
	last    uint64
	loads   []timedLoad
}

type timedEvent struct {
	at    time.Time
	event slipwick.CacheEvent
}

type timedLoad struct {
	at     time.Time
	report slipwick.LoadReport
}

// NewEngine makes an engine with an empty cache.
func NewEngine(profile EngineProfile) *Engine {
	profile.defaults()
	e := &Engine{
		profile: profile,
		slots:   make(chan struct{}, profile.Slots),
		answers: make(map[string]*answer),
		runs:    make(map[string]int),
	}
	// The size is positive, the only thing that NewLRU refuses.
	e.cache, _ = lru.NewLRU(profile.CacheChats, func(key string, _ int) { e.recordLocked(key, true) })
	return e
}

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Runs gives how often each request ran, by the Digest of its last message.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// Running is the number of answers in progress, waiting ones included.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + e.waiting
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.faults.SaysLeaving {
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.Rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(faults.Rest.Seconds(), 'f', -1, 64))
	}
	switch {
	case faults.EndUnder != "" && bytes.Contains(body, []byte(faults.EndUnder)):
		faults.End()
		panic(http.ErrAbortHandler)
	case faults.Leaving:
		w.Header().Set(engine.LeavingHeader, "true")
		refuse(w, "leaving")
		return
	case faults.Refuse:
		refuse(w, "overloaded")
		return
	}
	request, err := chat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.RequestHeader)
	e.mu.Lock()
	a := newAnswer(id, request, r.Header.Get(engine.ChatHeader))
	e.runs[a.digest]++
	e.answers[id] = a
	e.mu.Unlock()
	go e.generate(a, faults)
	e.send(w, r, a, 0, faults)
}

func refuse(w http.ResponseWriter, text string) {
	w.Header().Set(engine.NotRunHeader, "true")
	http.Error(w, text, http.StatusServiceUnavailable)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	a, faults := e.answers[r.PathValue("id")], e.faults
	e.mu.Unlock()
	faults.Swap = false
	if a == nil || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	e.send(w, r, a, offset, faults)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a := e.answers[r.PathValue("id")]
	e.mu.Unlock()
	if a == nil {
		http.NotFound(w, r)
		return
	}
	a.stop()
}

// generate makes the answer's events, whoever reads them.
func (e *Engine) generate(a *answer, faults Faults) {
	defer e.forget(a)
	e.count(0, 1)
	select {
	case e.slots <- struct{}{}:
	case <-a.ctx.Done():
		e.count(0, -1)
		return
	}
	defer func() { <-e.slots }()
	e.count(1, -1)
	defer e.count(-1, 0)
	if faults.Hang {
		<-a.ctx.Done()
		return
	}
	cached := e.lookUp(a)
	wait := faults.Late
	if cached == 0 {
		wait += e.profile.Prefill
	}
	if !pause(a.ctx, wait) {
		return
	}
	for i := range e.profile.Tokens {
		a.token(i)
		if !pause(a.ctx, e.profile.TokenEvery) {
			return
		}
	}
	a.finish(cached, e.profile.Tokens)
	e.store(a, e.profile.Tokens)
}

// forget drops an answer when nobody can want to resume it any more.
func (e *Engine) forget(a *answer) {
	time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.answers, a.id)
	})
}

func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	e.loads = append(e.loads, timedLoad{
		at: time.Now(),
		report: slipwick.LoadReport{
			Running: e.running,
			Queued:  e.waiting,
		},
	})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var report slipwick.LoadReport
	visible := time.Now().Add(-e.profile.ReportLag)
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
