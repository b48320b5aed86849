package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// notices are what one life of a backend server said of itself in its answers.
type notices struct {
	// leavingAt is when an answer said last that it leaves; zero if none did.
	leavingAt time.Time
	// restUntil is until when it wants nothing from this router.
	restUntil time.Time
}

// saysLeaving tells whether the server said in an answer that it leaves.
func (n *notices) saysLeaving() bool {
	return !n.leavingAt.IsZero()
}

// isResting tells whether it wants nothing from this router for now.
func (n *notices) isResting(now time.Time) bool {
	return now.Before(n.restUntil)
}

// noticesOfLocked gives those of a server's life, kept from an earlier listing if there
// was one: an entry may lapse, and come back, while the server lives.
func (b *Balancer) noticesOfLocked(life uint64) *notices {
	n := b.notices[life]
	if n == nil {
		n = &notices{}
		b.notices[life] = n
	}
	return n
}

// Noticed takes what a backend server said of itself in an answer to the lease's request.
func (b *Balancer) Noticed(lease *Lease, notice slipwick.Notice) {
	if !notice.Leaving && notice.Rest <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noticeLocked(lease.server, notice)
}

func (b *Balancer) noticeLocked(s *server, notice slipwick.Notice) {
	now := clock.Now()
	isNews := notice.Leaving && !s.said.saysLeaving() || notice.Rest > 0 && !s.said.isResting(now)
	if notice.Leaving {
		s.said.leavingAt = now
	}
	if until := now.Add(notice.Rest); notice.Rest > 0 && until.After(s.said.restUntil) {
		s.said.restUntil = until
	}
	if isNews {
		b.OnNotice(s.Backend, notice)
	}
}

// Notices counts the listed backend servers that leave, and those that want nothing from
// this router for now.
func (b *Balancer) Notices() (leaving, resting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, s := range b.servers {
		if s.Leaving || s.said.saysLeaving() {
			leaving++
		}
		if s.said.isResting(now) {
			resting++
		}
	}
	return leaving, resting
}
