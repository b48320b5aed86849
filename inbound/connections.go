package inbound

import (
	"container/list"
	"sync"
	"time"
)

// connections are the open connections of a listener, by phase, in the order in which they entered it.
type connections struct {
	mu      sync.Mutex
	byPhase [phaseCount]list.List
	count   int
}

// add adds a connection in phaseHead.
func (s *connections) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.since = phaseHead, time.Now()
	c.element = s.byPhase[phaseHead].PushBack(c)
	s.count++
}

// move moves a connection to the end of a phase, unless it was removed.
func (s *connections) move(c *conn, to phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element == nil || c.phase == to {
		return
	}
	s.byPhase[c.phase].Remove(c.element)
	c.phase, c.since = to, time.Now()
	c.element = s.byPhase[to].PushBack(c)
}

// remove removes a connection and reports whether it was there.
func (s *connections) remove(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element == nil {
		return false
	}
	s.byPhase[c.phase].Remove(c.element)
	c.element = nil
	s.count--
	return true
}

func (s *connections) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// oldest returns the connection of the phases that has been in its phase for longest, and since when; it is nil without
// any.
func (s *connections) oldest(phases ...phase) (oldest *conn, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range phases {
		first := s.byPhase[p].Front()
		if first == nil {
			continue
		}
		if c := first.Value.(*conn); oldest == nil || c.since.Before(since) {
			oldest, since = c, c.since
		}
	}
	return oldest, since
}
