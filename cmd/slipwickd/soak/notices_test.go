package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxAnnounceDelay is the time after a gateway forwarded a response with a leaving notice
	// in which callers' new requests may still be sent to that server.
	maxAnnounceDelay = time.Second
	// requestedPause is the pause that shedding servers ask for. A gateway may send at most
	// maxDuringPause requests within it; those in its first pauseDelay are not counted, as
	// they may have been under way.
	requestedPause = 1500 * time.Millisecond
	pauseDelay     = 500 * time.Millisecond
	maxDuringPause = 2
)

// notices records what one incarnation of a backend server told each gateway.
type notices struct {
	mu sync.Mutex
	// leaving and shedding are what the server currently announces.
	leaving, shedding bool
	// announcedAt is when a caller of a gateway first got a response with the leaving notice.
	announcedAt map[*gateway]time.Time
	// pausedAt is when the server last asked a gateway for a pause, duringPause the number of
	// requests counted since.
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

// isRemembered reports whether a gateway must still know what it was told at noticedAt:
// it has been undisturbed since.
func isRemembered(g *gateway, noticedAt time.Time) bool {
	return !noticedAt.IsZero() && g.undisturbedFor() > time.Since(noticedAt)
}

// checkArrival checks that the gateway may send the request to this server, and returns
// which notices the response must carry.
func (b *backend) checkArrival(s *sentRequest) (leaving, shedding bool) {
	if s == nil {
		return false, false
	}
	n, g := b.notices.Load(), s.gateway
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.announcedAt[g]; isRemembered(g, at) && s.sentAt.Sub(at) > maxAnnounceDelay {
		b.recorder.addViolation("%s got request %s through %s, sent %v after a response announced that the server leaves",
			b.id, s.id, g.name, s.sentAt.Sub(at))
	}
	if at := n.pausedAt[g]; isRemembered(g, at) && time.Since(at) > pauseDelay && time.Since(at) < requestedPause {
		n.duringPause[g]++
		if n.duringPause[g] > maxDuringPause {
			b.recorder.addViolation("%s got %d requests through %s in the pause that it asked for",
				b.id, n.duringPause[g], g.name)
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

// rejectRequest rejects a request as not run, and asks for a pause.
func rejectRequest(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(requestedPause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordLeavingNotice records that a caller got a response in which its server announced
// that it leaves.
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

// announceLeaving has a backend server announce in its responses that it leaves before its
// entry in the store does. The server still serves for a while and then ends.
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

// shedLoad has a backend server reject all requests for a while and ask for a pause each time.
func shedLoad(f *fleet, random *rand.Rand, duration time.Duration) {
	n := f.randomBackend(random).notices.Load()
	for _, shedding := range []bool{true, false} {
		n.mu.Lock()
		n.shedding = shedding
		n.mu.Unlock()
		time.Sleep(duration)
	}
}
