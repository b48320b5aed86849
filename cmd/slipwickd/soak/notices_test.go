package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxAnnounceDelay is how long after a gateway forwarded a response with a leaving notice
	// it may still send new requests of callers to that server.
	maxAnnounceDelay = time.Second
	// requestedPause is the pause that servers which shed load ask for with Retry-After. A gateway
	// may send a server at most maxRequestsInPause requests within it. Requests in the first
	// maxPauseDelay are not counted, as they may already have been under way.
	requestedPause     = 1500 * time.Millisecond
	maxPauseDelay      = 500 * time.Millisecond
	maxRequestsInPause = 2
)

// notices are the leaving notice and the requests for a pause of one incarnation of a backend
// server. It records when each gateway got them.
type notices struct {
	mu sync.Mutex
	// leaving is set if responses announce that the server is leaving, shedding if the server
	// rejects all requests and asks for a pause.
	leaving, shedding bool
	// announcedAt is when a caller first got a response with the leaving notice from a gateway,
	// counted from the gateway's last disturbance.
	announcedAt map[*gateway]time.Time
	// pausedAt is when the server last asked a gateway for a pause in a response that its proxy didn't withhold,
	// requestsInPause the number of requests that the gateway sent in the pause, without those of the first maxPauseDelay.
	pausedAt        map[*gateway]time.Time
	requestsInPause map[*gateway]int
}

func newNotices() *notices {
	return &notices{
		announcedAt:     make(map[*gateway]time.Time),
		pausedAt:        make(map[*gateway]time.Time),
		requestsInPause: make(map[*gateway]int),
	}
}

// isRemembered reports whether a gateway must still know of a notice that it got at noticedAt:
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
	if at := n.pausedAt[g]; isRemembered(g, at) && time.Since(at) > maxPauseDelay && time.Since(at) < requestedPause {
		n.requestsInPause[g]++
		if n.requestsInPause[g] > maxRequestsInPause {
			b.recorder.addViolation("%s got %d requests through %s in the pause that it asked for; the last one, %s, came %v "+
				"after the server asked for it, at %s",
				b.id, n.requestsInPause[g], g.name, s.id, time.Since(at), time.Now().Format(time.StampMilli))
		}
	}
	if n.shedding && !b.proxy.withholdsResponses() {
		if time.Since(n.pausedAt[g]) > requestedPause {
			n.requestsInPause[g] = 0
		}
		n.pausedAt[g] = time.Now()
	}
	return n.leaving, n.shedding
}

// rejectRequest responds that the request was not run, and asks the gateway for a pause.
func rejectRequest(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(requestedPause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordLeavingNotice records that a caller got a response in which its server announced
// that it is leaving.
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

// announceLeaving has a backend server announce in its responses that it is leaving, and writes its
// draining state to the store only maxLeaveDelay later. The server still serves for a while and then
// shuts down.
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
	b.writeDraining()
	time.Sleep(maxLeaveDelay + time.Second)
	b.removeEntry()
	b.shutDown()
}

// shedLoad has a backend server reject all requests for duration and ask for a pause each time. It
// then waits for as long again, in which the server serves.
func shedLoad(f *fleet, random *rand.Rand, duration time.Duration) {
	n := f.randomBackend(random).notices.Load()
	for _, shedding := range []bool{true, false} {
		n.mu.Lock()
		n.shedding = shedding
		n.mu.Unlock()
		time.Sleep(duration)
	}
}
