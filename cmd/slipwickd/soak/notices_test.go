package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// wordBound is how long after a gateway passed on an answer that says so it may send
	// on to a server that leaves what callers send later.
	wordBound = time.Second
	// askedRest is what servers that shed ask for. Within it, but for restOnWay at its
	// start, a gateway may send at most mostInRest requests.
	askedRest  = 1500 * time.Millisecond
	restOnWay  = 500 * time.Millisecond
	mostInRest = 2
)

// words are what one life of a backend server told each gateway.
type words struct {
	mu sync.Mutex
	// leaves and sheds are what it says of itself now.
	leaves, sheds bool
	// heard is when a caller of a gateway first got an answer that says that it leaves.
	heard map[*gateway]time.Time
	// asked is when it asked a gateway for rest last, inRest what came since.
	asked  map[*gateway]time.Time
	inRest map[*gateway]int
}

func newWords() *words {
	return &words{
		heard:  make(map[*gateway]time.Time),
		asked:  make(map[*gateway]time.Time),
		inRest: make(map[*gateway]int),
	}
}

// isOfThisLife tells whether a gateway knows what it was told then: nothing befell it since.
func isOfThisLife(g *gateway, told time.Time) bool {
	return !told.IsZero() && g.calmFor() > time.Since(told)
}

// arrived checks that a request may come, and gives what the answer has to say.
func (b *backend) arrived(s *sent) (leaves, sheds bool) {
	if s == nil {
		return false, false
	}
	w, g := b.words.Load(), s.gateway
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := w.heard[g]; isOfThisLife(g, at) && s.at.Sub(at) > wordBound {
		b.ledger.violated("%s got request %s of %s, sent %v after an answer said that it leaves",
			b.id, s.id, g.name, s.at.Sub(at))
	}
	if at := w.asked[g]; isOfThisLife(g, at) && time.Since(at) > restOnWay && time.Since(at) < askedRest {
		w.inRest[g]++
		if w.inRest[g] > mostInRest {
			b.ledger.violated("%s got %d requests of %s in the rest that it asked for", b.id, w.inRest[g], g.name)
		}
	}
	if w.sheds {
		if time.Since(w.asked[g]) > askedRest {
			w.inRest[g] = 0
		}
		w.asked[g] = time.Now()
	}
	return w.leaves, w.sheds
}

// shed turns a request away.
func shed(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(askedRest.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// passedOn notes an answer that a caller got, and that says that its server leaves.
func (f *fleet) passedOn(s *sent, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.leavers {
		if b.id != server {
			continue
		}
		w := b.words.Load()
		w.mu.Lock()
		if !isOfThisLife(s.gateway, w.heard[s.gateway]) {
			w.heard[s.gateway] = time.Now()
		}
		w.mu.Unlock()
	}
}

// leaveUnheard has a backend server say in its answers that it leaves before its entry
// can, serve on, and end.
func leaveUnheard(f *fleet, random *rand.Rand, _ time.Duration) {
	b := f.take(random)
	if b == nil {
		return
	}
	f.addBackend(b.pool)
	f.mu.Lock()
	f.leavers = append(f.leavers, b)
	f.mu.Unlock()
	w := b.words.Load()
	w.mu.Lock()
	w.leaves = true
	w.mu.Unlock()
	time.Sleep(leaveBound)
	f.store.put("servers", b.id, b.specification("draining"))
	b.leftAt.Store(time.Now().UnixNano())
	time.Sleep(leaveBound + time.Second)
	f.store.removeServer(b.id)
	b.crash()
}

// shedLoad has a backend server turn all away for a while, and ask for rest.
func shedLoad(f *fleet, random *rand.Rand, length time.Duration) {
	w := f.some(random).words.Load()
	for _, sheds := range []bool{true, false} {
		w.mu.Lock()
		w.sheds = sheds
		w.mu.Unlock()
		time.Sleep(length)
	}
}
