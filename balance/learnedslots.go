package balance

// learnedSlots is how many requests a server turned out to work on at once, if that is fewer than the
// slots that it declares. It belongs to one incarnation.
type learnedSlots struct {
	// limit is 0 while nothing was learned.
	limit float64
}

const (
	// minLearnedSlots keeps a server in use, so that its completed requests can raise the limit.
	minLearnedSlots = 1
	// maxDecrease is the part of the limit that one rejection takes away at most: the requests of other
	// routers are known late, so that the server may have had many more in flight.
	maxDecrease = 0.5
	// minMemoryLoad is the part of its slots that an engine runs at least, and minWaitingShare the number
	// of waiting requests for each that runs, when its memory makes requests wait, and not prompts
	// that it prefills: requests count as waiting until their first token.
	minMemoryLoad   = 0.5
	minWaitingShare = 0.5
)

// lower sets the limit to a number of requests, if that is lower than the limit, which is declared while
// nothing was learned. It takes away no more than maxDecrease of it.
func (l *learnedSlots) lower(requests float64, declared int) {
	current := l.limit
	if current == 0 {
		current = float64(declared)
	}
	if requests < current {
		l.limit = max(requests, (1-maxDecrease)*current, minLearnedSlots)
	}
}

// raise counts completed requests: the limit rises by a slot when as many have completed as it has slots,
// and by no more than a slot at a time, until it reaches the declared slots.
func (l *learnedSlots) raise(completed float64, declared int) {
	if l.limit == 0 {
		return
	}
	l.limit += min(completed/l.limit, 1)
	if l.limit >= float64(declared) {
		l.limit = 0
	}
}

// slots returns the slots of a server that declares a number of them.
func (l *learnedSlots) slots(declared int) int {
	if l.limit == 0 {
		return declared
	}
	return min(int(l.limit), declared)
}

// learnRejectionLocked lowers the limit of a server that rejected a request towards its requests in
// flight.
func (b *Balancer) learnRejectionLocked(s *server, inFlight float64) {
	if inFlight < float64(s.EffectiveSlots()) {
		s.learned.lower(inFlight, s.EffectiveSlots())
	}
}

// learnCompletionLocked raises the limit of a server that completed a request. Each router sees only its
// own requests; the other routers are assumed to complete as many there.
func (b *Balancer) learnCompletionLocked(s *server) {
	s.learned.raise(float64(b.otherRouters+1), s.EffectiveSlots())
}

// learnLoad lowers the limit of a server that lets requests wait although it has free slots, which
// shows that its memory doesn't suffice for more.
func (s *server) learnLoad(load Load) {
	slots := s.EffectiveSlots()
	if load.Running < slots && float64(load.Running) >= minMemoryLoad*float64(slots) &&
		float64(load.Waiting) >= minWaitingShare*float64(load.Running) {
		s.learned.lower(float64(load.Running), slots)
	}
}
