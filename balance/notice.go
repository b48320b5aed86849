package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// leavingLapse is how long after it last said so a server counts as leaving whose
	// successor can't be told from it by its entry. What leaves lives on for many
	// seconds; one that was replaced goes without work for this long.
	leavingExpiry = 30 * time.Second
	// noticesKept is for how long what a server said is kept after its entry went: an
	// entry that lapsed as the store was away is back some seconds after its return.
	noticeRetention = 10 * time.Minute
)

// notices are what one life of a backend server said of itself in its answers. A server
// says that it leaves, or wants rest, before any list can say so, and also while the
// list's store is away: its own word binds at once, whatever the list says. It can't be
// taken back: a life that leaves ends, and the next one has notices of its own.
type notices struct {
	// leavingAt is when an answer said last that it leaves; zero if none did. lapses is
	// after how long that counts no more; 0 if it always does.
	leavingAt time.Time
	expiry    time.Duration
	// restUntil is until when it wants nothing from this router.
	restUntil time.Time
}

// saysLeaving tells whether the server said in an answer that it leaves. Most servers never
// said anything, and have no notices at all.
func (n *notices) saysLeaving() bool {
	return n != nil && !n.leavingAt.IsZero() && (n.expiry == 0 || clock.Since(n.leavingAt) < n.expiry)
}

// isLeaving tells whether the server leaves, by the list or by its own word.
func (s *server) isLeaving() bool {
	return s.Leaving || s.notices.saysLeaving()
}

// rest is for how long it wants nothing from this router.
func (n *notices) rest(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(n.restUntil.Sub(now), 0)
}

// isResting tells whether it wants nothing from this router for now.
func (n *notices) isResting(now time.Time) bool {
	return n.rest(now) > 0
}

// noticesOfLocked gives those of a server's life to add to. They are kept when its entry
// goes: it may lapse, and come back, while the server lives.
func (b *Balancer) ensureNoticesLocked(life uint64) *notices {
	n := b.notices[life]
	if n == nil {
		n = &notices{}
		if b.InPlace {
			n.expiry = leavingExpiry
		}
		b.notices[life] = n
	}
	if s := b.hashes[life]; s != nil {
		s.notices = n
	}
	return n
}

// orphanLocked notes that a life is no longer listed. What it never said is forgotten.
func (b *Balancer) markUnlistedLocked(life uint64) {
	if n := b.notices[life]; n == nil || n.leavingAt.IsZero() && n.restUntil.IsZero() {
		delete(b.notices, life)
		return
	}
	b.unlistedNotices[life] = true
}

// forgetNoticesLocked drops those of lives that are no longer listed, after a while.
func (b *Balancer) dropOldNoticesLocked() {
	now := clock.Now()
	for life := range b.unlistedNotices {
		n := b.notices[life]
		if b.hashes[life] != nil || n == nil {
			delete(b.unlistedNotices, life)
			continue
		}
		if !n.isResting(now) && now.Sub(n.leavingAt) > noticeRetention {
			delete(b.notices, life)
			delete(b.unlistedNotices, life)
		}
	}
}

// Noticed takes what a backend server said of itself in an answer to the lease's request.
func (b *Balancer) Noticed(lease *Lease, notice slipwick.Notice) {
	if !notice.Leaving && notice.Rest <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiveNoticeLocked(lease.server, notice)
}

// NoticedBy takes what a backend server said of itself in an answer to something else than
// a request, if the life that was asked is the one listed.
func (b *Balancer) NoticedBy(backend *slipwick.Backend, notice slipwick.Notice) {
	if !notice.Leaving && notice.Rest <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[backend.ID]; s != nil && s.Life() == backend.Life() {
		b.receiveNoticeLocked(s, notice)
	}
}

// noticedLocked takes a notice that this router was given, and has the others told.
func (b *Balancer) receiveNoticeLocked(s *server, notice slipwick.Notice) {
	if b.applyNoticeLocked(s, notice) && notice.Leaving && len(b.pendingLeaving) < maxPendingReads {
		b.pendingLeaving = append(b.pendingLeaving, s.hash)
	}
}

// HearLeaving takes which backend servers told other routers that they leave. Each router
// sends so seldom to one server of a large fleet that without it every router would find
// out for itself, with a request that the server may not live to answer.
func (b *Balancer) HearLeaving(servers []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range servers {
		if s := b.hashes[hash]; s != nil {
			b.applyNoticeLocked(s, slipwick.Notice{
				Leaving: true,
			})
		}
	}
}

// noticeLocked tells whether the notice is news.
func (b *Balancer) applyNoticeLocked(s *server, notice slipwick.Notice) bool {
	// The entry may have lapsed, and come back, while the request was under way.
	now, known := clock.Now(), b.ensureNoticesLocked(s.hash)
	isNew := notice.Leaving && !known.saysLeaving() || notice.Rest > 0 && !known.isResting(now)
	if notice.Leaving {
		known.leavingAt = now
	}
	if until := now.Add(notice.Rest); notice.Rest > 0 && until.After(known.restUntil) {
		known.restUntil = until
	}
	if b.hashes[s.hash] == nil {
		b.unlistedNotices[s.hash] = true
	}
	if isNew {
		b.OnNotice(s.Backend, notice)
	}
	return isNew
}

// Notices counts the listed backend servers that leave, and those that want nothing from
// this router for now.
func (b *Balancer) Notices() (leaving, resting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, s := range b.servers {
		if s.isLeaving() {
			leaving++
		}
		if s.notices.isResting(now) {
			resting++
		}
	}
	return leaving, resting
}
