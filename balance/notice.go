package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// leavingExpiry is how long a server counts as leaving after its last announcement, if its
	// entry does not distinguish it from its successor. A server that is leaving runs on for
	// many seconds. A successor gets no requests for this long.
	leavingExpiry = 30 * time.Second
	// noticeRetention is how long notices are kept after the server's entry is gone. An entry
	// that expired while the store was unavailable reappears some seconds after the store does.
	noticeRetention = 10 * time.Minute
)

// notices is what one incarnation of a backend server announced about itself in its responses.
// A server announces that it is leaving, or asks for a pause, before any list can say so, and
// also while the list's store is unavailable. Its announcement takes effect at once, whatever the
// list says. It cannot be withdrawn: an incarnation that is leaving ends, and the next one has
// notices of its own.
type notices struct {
	// leavingAt is when a response last announced that the server is leaving, zero if none did.
	// The announcement is ignored after expiry, or never if that is 0.
	leavingAt time.Time
	expiry    time.Duration
	// pausedUntil is the end of the pause that the server asked this router for.
	pausedUntil time.Time
	// leavingSent and pauseSent are when the latest requests were sent whose responses said so, in Unix milliseconds; 0
	// if that isn't known.
	leavingSent, pauseSent int64
}

// saysLeaving reports whether the server announced that it is leaving. The receiver may be nil,
// as most servers never announce anything.
func (n *notices) saysLeaving() bool {
	return n != nil && !n.leavingAt.IsZero() && (n.expiry == 0 || clock.Since(n.leavingAt) < n.expiry)
}

// isLeaving reports whether the server is leaving, by the list or its own announcement.
func (s *server) isLeaving() bool {
	return s.Leaving || s.notices.saysLeaving()
}

// remainingPause returns the remaining pause that the server asked this router for.
func (n *notices) remainingPause(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(n.pausedUntil.Sub(now), 0)
}

// isPaused reports whether the server asked this router for a pause that is not over.
func (n *notices) isPaused(now time.Time) bool {
	return n.remainingPause(now) > 0
}

// extendPause extends the pause that the server asked this router for.
func (n *notices) extendPause(until time.Time) {
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
}

// pauseSuccessorLocked notes a pause that a server asked for after it had refused a connection: the next incarnation
// may already run at its address, while its entry is not known yet.
func (b *Balancer) pauseSuccessorLocked(s *server, until time.Time) {
	if !s.hasRefused {
		return
	}
	s.successorPausedUntil = until
	if successor := b.servers[s.ID]; successor != nil && successor != s {
		b.inheritPauseLocked(successor, s)
	}
}

// inheritPauseLocked applies a pause to a server that an earlier incarnation at its address seems to have asked for.
func (b *Balancer) inheritPauseLocked(s, earlier *server) {
	if s.Address == earlier.Address && clock.Now().Before(earlier.successorPausedUntil) {
		b.ensureNoticesLocked(s.hash).extendPause(earlier.successorPausedUntil)
	}
}

// inheritNoticesLocked applies those notices of an earlier incarnation at a server's address to the server that are
// its own: the requests were sent after it had started, while the list had the earlier one, as after a restore of the
// store from a backup. The start is by the server's clock. If that is behind, a restarted server gets no requests for
// the rest of a pause, or for leavingExpiry.
func (b *Balancer) inheritNoticesLocked(s, earlier *server) {
	known := b.notices[earlier.hash]
	if known == nil || s.Address != earlier.Address || s.StartTime == 0 {
		return
	}
	now := clock.Now()
	isPaused := known.pauseSent >= s.StartTime && known.isPaused(now)
	isLeaving := known.leavingSent >= s.StartTime && known.saysLeaving()
	if !isPaused && !isLeaving {
		return
	}
	inherited, news := b.ensureNoticesLocked(s.hash), slipwick.Notice{}
	if isPaused && !inherited.isPaused(now) {
		news.Pause = known.remainingPause(now)
	}
	if isPaused {
		inherited.extendPause(known.pausedUntil)
	}
	if isLeaving && !inherited.saysLeaving() {
		news.Leaving = true
		inherited.leavingAt, inherited.expiry = now, leavingExpiry
		b.queueLeavingLocked(s)
	}
	if news != (slipwick.Notice{}) {
		b.OnNotice(s.Backend, news)
	}
}

// announcementExpiry returns how long a server's own announcement that it is leaving counts; 0 for good.
func (b *Balancer) announcementExpiry() time.Duration {
	if b.EntriesReused {
		return leavingExpiry
	}
	return 0
}

// ensureNoticesLocked returns the notices of an incarnation, and creates them if needed. They
// outlive its entry, which may expire and reappear while the server runs.
func (b *Balancer) ensureNoticesLocked(incarnation uint64) *notices {
	n := b.notices[incarnation]
	if n == nil {
		n = &notices{
			expiry: b.announcementExpiry(),
		}
		b.notices[incarnation] = n
	}
	if s := b.serversByHash[incarnation]; s != nil {
		s.notices = n
	}
	return n
}

// markUnlistedLocked notes that an incarnation is no longer listed, and drops its notices if
// they are empty.
func (b *Balancer) markUnlistedLocked(incarnation uint64) {
	if n := b.notices[incarnation]; n == nil || n.leavingAt.IsZero() && n.pausedUntil.IsZero() {
		delete(b.notices, incarnation)
		return
	}
	b.unlistedNotices[incarnation] = true
}

// dropOldNoticesLocked drops notices of incarnations that have not been listed for a while.
func (b *Balancer) dropOldNoticesLocked() {
	now := clock.Now()
	for incarnation := range b.unlistedNotices {
		n := b.notices[incarnation]
		if b.serversByHash[incarnation] != nil || n == nil {
			delete(b.unlistedNotices, incarnation)
			continue
		}
		if !n.isPaused(now) && now.Sub(n.leavingAt) > noticeRetention {
			delete(b.notices, incarnation)
			delete(b.unlistedNotices, incarnation)
		}
	}
}

// RecordNotice takes what a backend server announced about itself in the response to the
// lease's request.
func (b *Balancer) RecordNotice(lease *Lease, notice slipwick.Notice) {
	if !notice.Leaving && notice.Pause <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiveNoticeLocked(lease.server, notice)
	known := b.notices[lease.server.hash]
	if notice.Leaving {
		known.leavingSent = lease.sentUnix
	}
	if notice.Pause > 0 {
		known.pauseSent = lease.sentUnix
	}
	if listed := b.servers[lease.server.ID]; listed != nil && listed != lease.server {
		b.inheritNoticesLocked(listed, lease.server)
	}
}

// RecordNoticeFrom takes what a backend server announced about itself in a response to a call that
// the router makes for itself, such as one that lists the server's cache, and not for a caller. It
// is ignored unless the incarnation that was called is the one listed.
func (b *Balancer) RecordNoticeFrom(backend *slipwick.Backend, notice slipwick.Notice) {
	if !notice.Leaving && notice.Pause <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[backend.ID]; s != nil && s.Incarnation() == backend.Incarnation() {
		b.receiveNoticeLocked(s, notice)
	}
}

// receiveNoticeLocked applies a notice that this router received from the server, and queues it
// for the other routers.
func (b *Balancer) receiveNoticeLocked(s *server, notice slipwick.Notice) {
	if b.applyNoticeLocked(s, notice) && notice.Leaving {
		b.queueLeavingLocked(s)
	}
}

// queueLeavingLocked queues for the other routers that a server is leaving.
func (b *Balancer) queueLeavingLocked(s *server) {
	if len(b.pendingLeaving) < maxPendingItems {
		b.pendingLeaving = append(b.pendingLeaving, s.hash)
	}
}

// ReceiveLeaving takes the backend servers that announced to other routers that they are
// leaving. In a large fleet each router sends to one server so seldom that otherwise every
// router would find out by a request of its own, which the server may not run long enough to
// answer.
func (b *Balancer) ReceiveLeaving(servers []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range servers {
		if s := b.serversByHash[hash]; s != nil {
			b.applyNoticeLocked(s, slipwick.Notice{
				Leaving: true,
			})
		}
	}
}

// applyNoticeLocked applies a notice and reports whether it says anything new.
func (b *Balancer) applyNoticeLocked(s *server, notice slipwick.Notice) bool {
	// The entry may have expired, and reappeared, while the request was in flight.
	now, known := clock.Now(), b.ensureNoticesLocked(s.hash)
	isNew := notice.Leaving && !known.saysLeaving() || notice.Pause > 0 && !known.isPaused(now)
	if notice.Leaving {
		known.leavingAt, known.expiry = now, b.announcementExpiry()
	}
	if notice.Pause > 0 {
		known.extendPause(now.Add(notice.Pause))
		b.pauseSuccessorLocked(s, now.Add(notice.Pause))
	}
	if b.serversByHash[s.hash] == nil {
		b.unlistedNotices[s.hash] = true
	}
	if isNew {
		b.OnNotice(s.Backend, notice)
	}
	return isNew
}

// NoticeCounts counts the listed backend servers that are leaving, and those that asked this router
// for a pause.
func (b *Balancer) NoticeCounts() (leaving, paused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, s := range b.servers {
		if s.isLeaving() {
			leaving++
		}
		if s.notices.isPaused(now) {
			paused++
		}
	}
	return leaving, paused
}
