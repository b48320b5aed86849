package balance

import "github.com/slipwick/slipwick/clock"

// PauseForCaller notes that the router stops reading a response because its caller doesn't read it. Until
// ResumeForCaller, the silence of the backend server says nothing about the server.
func (b *Balancer) PauseForCaller(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !lease.isPaused {
		lease.isPaused = true
		lease.server.pausedRequests++
	}
}

// ResumeForCaller notes that the router reads the response again. The time since PauseForCaller does not
// count as a gap of the stream.
func (b *Balancer) ResumeForCaller(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := lease.server, clock.Now()
	if !s.isBusy() {
		s.busySince = now
	}
	lease.lastActivityAt = now
	lease.endPause()
}

// endPause ends the pause of the lease, if there is one.
func (l *Lease) endPause() {
	if l.isPaused {
		l.isPaused = false
		l.server.pausedRequests--
	}
}

// isBusy reports whether this router has requests in flight whose responses it reads, and can arrive.
func (s *server) isBusy() bool {
	return s.inFlight > s.pausedRequests+s.silentRequests
}
