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
	maxAnnounceDelay = time.Second
	// askedRest is what servers that shed ask for. Within it, but for restOnWay at its
	// start, a gateway may send at most mostInRest requests.
	requestedPause = 1500 * time.Millisecond
	pauseDelay     = 500 * time.Millisecond
	maxDuringPause = 2
)

// words are what one life of a backend server told each gateway.
type notices struct {
	mu sync.Mutex
	// leaves and sheds are what it says of itself now.
	leaving, shedding bool
	// heard is when a caller of a gateway first got an answer that says that it leaves.
	announcedAt map[*gateway]time.Time
	// asked is when it asked a gateway for rest last, inRest what came since.
	pausedAt    map[*gateway]time.Time
	duringPause map[*gateway]int
}

func newNotices() *notices {
	return &notices{
		announcedAt: make(map[*gateway]time.Time),
		pausedAt:    make(map[*gateway]time.Time),
		duringPause: make(map[*gateway]int),
	}
}

// isOfThisLife tells whether a gateway knows what it was told then: nothing befell it since.
func isRemembered(g *gateway, noticedAt time.Time) bool {
	return !noticedAt.IsZero() && g.undisturbedFor() > time.Since(noticedAt)
}

// arrived checks that a request may come, and gives what the answer has to say.
func (b *backend) checkArrival(s *sentRequest) (leaving, shedding bool) {
	if s == nil {
		return false, false
	}
	n, g := b.notices.Load(), s.gateway
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.announcedAt[g]; isRemembered(g, at) && s.sentAt.Sub(at) > maxAnnounceDelay {
		b.recorder.addViolation("%s got request %s of %s, sent %v after an answer said that it leaves",
			b.id, s.id, g.name, s.sentAt.Sub(at))
	}
	if at := n.pausedAt[g]; isRemembered(g, at) && time.Since(at) > pauseDelay && time.Since(at) < requestedPause {
		n.duringPause[g]++
		if n.duringPause[g] > maxDuringPause {
			b.recorder.addViolation("%s got %d requests of %s in the rest that it asked for", b.id, n.duringPause[g], g.name)
		}
	}
	if n.shedding {
		if time.Since(n.pausedAt[g]) > requestedPause {
			n.duringPause[g] = 0
		}
		n.pausedAt[g] = time.Now()
	}
	return n.leaving, n.shedding
}

// shed turns a request away.
func rejectRequest(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(requestedPause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// passedOn notes an answer that a caller got, and that says that its server leaves.
func (f *fleet) recordLeavingNotice(s *sentRequest, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.announcers {
		if b.id != server {
			continue
		}
		n := b.notices.Load()
		n.mu.Lock()
		if !isRemembered(s.gateway, n.announcedAt[s.gateway]) {
			n.announcedAt[s.gateway] = time.Now()
		}
		n.mu.Unlock()
	}
}

// leaveUnheard has a backend server say in its answers that it leaves before its entry
// can, serve on, and end.
func announceLeaving(f *fleet, random *rand.Rand, _ time.Duration) {
	b := f.takeBackend(random)
	if b == nil {
		return
	}
	f.addBackend(b.pool)
	f.mu.Lock()
	f.announcers = append(f.announcers, b)
	f.mu.Unlock()
	n := b.notices.Load()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	time.Sleep(maxLeaveDelay)
	f.store.put("servers", b.id, b.specification("draining"))
	b.leavingAt.Store(time.Now().UnixNano())
	time.Sleep(maxLeaveDelay + time.Second)
	f.store.removeServer(b.id)
	b.crash()
}

// shedLoad has a backend server turn all away for a while, and ask for rest.
func shedLoad(f *fleet, random *rand.Rand, duration time.Duration) {
	n := f.randomBackend(random).notices.Load()
	for _, shedding := range []bool{true, false} {
		n.mu.Lock()
		n.shedding = shedding
		n.mu.Unlock()
		time.Sleep(duration)
	}
}
