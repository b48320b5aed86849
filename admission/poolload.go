package admission

import "time"

// engineLoad is the load of a backend server as another router reported it.
type engineLoad struct {
	inFlight int
	// sequence orders the reports of one backend server: a higher one supersedes a lower one.
	sequence   uint64
	receivedAt time.Time
	// direct is true if a member of this hub's group reported the load, and forwarded if the load
	// was sent to the other hubs.
	direct, forwarded bool
}

// poolLoad is what a router knows about the load of a pool.
type poolLoad struct {
	// State as an owner: the last report on this router's own backend servers, and the last total
	// of the whole pool from the hub.
	reported   int
	reportedAt time.Time
	nextReport scheduledReport
	total      int
	totalAt    time.Time

	// State as a hub: the loads of all backend servers, and the last total sent to the group.
	engines        map[uint64]*engineLoad
	broadcastTotal int
	broadcastAt    time.Time
	// fullBroadcastAt is when all loads, changed or not, were last sent to the other hubs.
	fullBroadcastAt time.Time
	nextBroadcast   scheduledReport
	// forwardedLoad is the load of the group as last sent to the other hubs.
	forwardedLoad int

	// trend is the trend of the pool's total.
	trend trend

	// pressedAt is when another router last reported that the pool is under pressure.
	// groupPressedAt is when a member of this hub's group last did.
	pressedAt, groupPressedAt time.Time
}

// scheduledReport is a report or broadcast that will be sent.
type scheduledReport struct {
	// timer is nil if none is scheduled.
	timer *time.Timer
	due   time.Time
}

// schedule has send called when due, unless it is scheduled for an earlier time.
func (s *scheduledReport) schedule(due time.Time, send func()) {
	if s.timer != nil && (!due.Before(s.due) || !s.timer.Stop()) {
		// Stop fails if send waits for the coordinator's lock.
		return
	}
	s.due = due
	s.timer = time.AfterFunc(time.Until(due), send)
}

// cancel has send not called any more, unless it has been already.
func (s *scheduledReport) cancel() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// poolLoad returns the state of the pool's load and creates it on first use.
func (c *Coordinator) poolLoad(pool string) *poolLoad {
	load := c.poolLoads[pool]
	if load == nil {
		load = &poolLoad{
			engines: make(map[uint64]*engineLoad),
		}
		c.poolLoads[pool] = load
	}
	return load
}
