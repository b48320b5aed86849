package directory

import "time"

// Timing has the wait times of calls between routers and to the store. They are chosen so that
// every router learns of a change at the store within a given time, the propagation time, even if
// a router on the way has stopped responding.
type Timing struct {
	// WatchWait is how long a watch of the store waits, WatchMargin how much longer its response
	// may take. An unresponsive store is detected early enough for the routers that follow this
	// one.
	WatchWait, WatchMargin time.Duration
	// RelayWait is how long a watch at another router waits: somewhat longer than a watch of the
	// store, at whose end the other router confirms its copy. RelayMargin is how much longer
	// the response may take, and the time limit of a list from another router. Together with a
	// few lists and one call to the store they stay within the propagation time.
	RelayWait, RelayMargin time.Duration
	// MaxWaitingAge is how old the local copy may become while this router waits for the response of
	// one other router. The time left then suffices for a list from several others.
	MaxWaitingAge time.Duration
	// MaxAge is how old a current copy may be: the wait of the other router's own watch and the
	// time to detect that the store does not respond. TurnStep is the delay between the turns in
	// which routers ask the store in place of the watchers.
	MaxAge, TurnStep time.Duration
	// BatchDelay is the pause after a response with changes, so that changes in quick succession
	// are delivered together.
	BatchDelay time.Duration
	// PeerBackoff is how long a router that failed is not asked again.
	PeerBackoff time.Duration
	// ListTimeout is the time limit of one list.
	ListTimeout time.Duration
}

// The fields of a Timing as shares of the propagation time; detectionShare is the part of MaxAge in
// which it is detected that the store does not answer. A watch that ends in an outage, or the age of
// a current copy, fits into the propagation time together with a list from the store over a slow
// link.
const (
	watchShare       = 0.4
	marginShare      = 0.15
	relayShare       = 0.45
	relayMarginShare = 0.15
	turnShare        = 0.08
	waitingAgeShare  = 0.75
	detectionShare   = 0.1
	batchDelayShare  = 0.04
	peerBackoffShare = 1.5
	listShare        = 1
)

// DefaultPropagationTime is the propagation time if the settings have none. minPropagationTime and
// maxPropagationTime bound it: with less, the waits come close to the response time of a busy
// store; with more, the calls saved are not worth the later detection of an unresponsive store.
const (
	DefaultPropagationTime = 2 * time.Second
	minPropagationTime     = 600 * time.Millisecond
	maxPropagationTime     = 4 * time.Second
)

// TimingWithin returns the wait times for a propagation time; 0 stands for
// DefaultPropagationTime.
func TimingWithin(propagationTime time.Duration) Timing {
	if propagationTime <= 0 {
		propagationTime = DefaultPropagationTime
	}
	propagationTime = min(max(propagationTime, minPropagationTime), maxPropagationTime)
	share := func(of float64) time.Duration {
		return time.Duration(of * float64(propagationTime))
	}
	return Timing{
		WatchWait:     share(watchShare),
		WatchMargin:   share(marginShare),
		RelayWait:     share(relayShare),
		RelayMargin:   share(relayMarginShare),
		MaxWaitingAge: share(waitingAgeShare),
		MaxAge:        share(watchShare + marginShare + detectionShare),
		TurnStep:      share(turnShare),
		BatchDelay:    share(batchDelayShare),
		PeerBackoff:   share(peerBackoffShare),
		ListTimeout:   share(listShare),
	}
}

// orDefault returns the default if t is the zero value, else t.
func (t Timing) orDefault() Timing {
	if t == (Timing{}) {
		return TimingWithin(DefaultPropagationTime)
	}
	return t
}

// maxRelayWait bounds the wait of another router's watch.
const maxRelayWait = maxPropagationTime
