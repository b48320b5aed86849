package directory

import "time"

// Rhythm is how long routers wait for the store and for each other, so that
// what changes is known everywhere in time, also while a router on the way is
// silent.
type Rhythm struct {
	// Watch is how long a watch of the store waits, Margin how long after that
	// it may be answered: a store that has fallen silent is noticed in time
	// for routers that follow this one.
	Watch, Margin time.Duration
	// Relay is how long a watch through another router waits, somewhat longer
	// than one of the store, whose end it is told of. RelayMargin is how long
	// after that it may be answered, and how long a list may take: together with
	// a few lists and a call to the store they stay below the time allowed.
	Relay, RelayMargin time.Duration
	// Age is how old another router's knowledge may be: the wait of its own
	// watch and what it takes to notice that the store is silent. TurnStep is how
	// much later each turn of the routers asks the store themselves.
	Age, TurnStep time.Duration
	// Gather is the pause after an answer with changes: more that come soon are
	// told together.
	Gather time.Duration
	// Outing is how long a router that failed is not asked again.
	Outing time.Duration
	// List bounds one list.
	List time.Duration
}

// The shares of the time allowed that a Rhythm takes. A watch that ends in
// silence, or the age of a copy that counts as current, and a list from the store
// over a slow link fit into it.
const (
	watchShare       = 0.4
	marginShare      = 0.15
	relayShare       = 0.45
	relayMarginShare = 0.15
	turnShare        = 0.08
	detectionShare   = 0.1
	batchDelayShare  = 0.04
	peerBackoffShare = 1.5
	listShare        = 1
)

// DefaultWithin is the time allowed where no settings name one. leastWithin and
// mostWithin bound what a Rhythm is made for: below, the waits come near what a
// busy store needs to answer; above, fewer calls are not worth later notice of
// a silent store.
const (
	DefaultWithin = 2 * time.Second
	minWithin     = 600 * time.Millisecond
	maxWithin     = 4 * time.Second
)

// RhythmWithin gives the rhythm that has changes known within the time; 0
// stands for DefaultWithin.
func RhythmWithin(within time.Duration) Rhythm {
	if within <= 0 {
		within = DefaultWithin
	}
	within = min(max(within, minWithin), maxWithin)
	share := func(of float64) time.Duration {
		return time.Duration(of * float64(within))
	}
	return Rhythm{
		Watch:       share(watchShare),
		Margin:      share(marginShare),
		Relay:       share(relayShare),
		RelayMargin: share(relayMarginShare),
		Age:         share(watchShare + marginShare + detectionShare),
		TurnStep:    share(turnShare),
		Gather:      share(batchDelayShare),
		Outing:      share(peerBackoffShare),
		List:        share(listShare),
	}
}

// orDefault gives the default for the zero value.
func (r Rhythm) orDefault() Rhythm {
	if r == (Rhythm{}) {
		return RhythmWithin(DefaultWithin)
	}
	return r
}

// longestRelay bounds the wait that a router grants another one's watch.
const maxRelayWait = maxWithin
