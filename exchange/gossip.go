package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quarantine"
)

const (
	// maxCrashes bounds a datagram of crashes so that it fits one packet of 1,500 bytes: a crash
	// takes at most 33 bytes.
	maxCrashes = 40
	// maxCrashAge is the largest age of a crash that is sent; it fits into the message's field.
	maxCrashAge = 24 * time.Hour
	// gossipFanOut is the number of routers to which each router sends crashes that are new to it.
	// Those relay them, so that 330 routers know them after three hops, even if one packet in ten
	// is lost. A small fleet is reached in one hop.
	gossipFanOut = 10
	// resendInterval is how often the crashes that Tracker.RecentCrashes returns are sent again, to
	// resendFanOut routers chosen at random: a router that has started, or that was partitioned,
	// learns of quarantined requests within seconds. Nothing is sent while no request is quarantined
	// and none has several recent crashes.
	resendInterval = time.Second
	resendFanOut   = 3
	// maxResent bounds the crashes that are sent again at a time.
	maxResent = 2 * maxCrashes
)

// CrashGossiper spreads by gossip which requests were running when backend servers crashed. New
// crashes are sent at once, since a request that is not yet quarantined may crash some ten servers
// a second. Set the exported fields before Run.
type CrashGossiper struct {
	Self      string
	Tracker   *quarantine.Tracker
	Transport Transport
	// Routers returns the live routers, with or without this one.
	Routers func() []slipwick.Router
	// Address returns the address that Transport takes for a router.
	Address func(slipwick.Router) string
	// Shuffle puts the routers in random order; NewCrashGossiper sets it to rand.Shuffle.
	Shuffle func(n int, swap func(i, j int))

	sequence atomic.Uint64
	trigger  chan struct{}
	done     chan struct{}
}

// NewCrashGossiper returns a gossiper for the router with this ID. Set the other exported fields
// before Run.
func NewCrashGossiper(self string) *CrashGossiper {
	g := &CrashGossiper{
		Self:    self,
		Shuffle: rand.Shuffle,

		trigger: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	g.sequence.Store(firstSequence())
	return g
}

// Done returns a channel that is closed when Run has returned.
func (g *CrashGossiper) Done() <-chan struct{} {
	return g.done
}

// Trigger makes Run send the pending crashes after a short delay. It doesn't block.
func (g *CrashGossiper) Trigger() {
	signal(g.trigger)
}

// Run sends crashes until ctx ends.
func (g *CrashGossiper) Run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.gossip(g.Tracker.RecentCrashes(maxResent), resendFanOut)
		case <-g.trigger:
			// Crashes of several requests at one server arrive together and are sent in one
			// datagram.
			time.Sleep(urgentDelay)
			g.gossip(g.Tracker.TakePending(), gossipFanOut)
		}
	}
}

// gossip sends crashes to a number of routers chosen at random.
func (g *CrashGossiper) gossip(crashes []quarantine.Crash, fanOut int) {
	if len(crashes) == 0 {
		return
	}
	others := excluding(g.Routers(), g.Self)
	g.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(fanOut, len(others))]
	for len(crashes) > 0 {
		n := min(len(crashes), maxCrashes)
		packet := marshal(g.encode(crashes[:n]))
		for _, r := range others {
			g.Transport.Send(g.Address(r), packet)
		}
		crashes = crashes[n:]
	}
}

func (g *CrashGossiper) encode(crashes []quarantine.Crash) *exchangepb.Told {
	message := &exchangepb.Told{
		From:     g.Self,
		Sequence: g.sequence.Add(1),
		Scope:    exchangepb.Scope_SCOPE_NONE,
	}
	for _, crash := range crashes {
		message.EndedKeys = append(message.EndedKeys, uint64(crash.Key))
		message.EndedServers = append(message.EndedServers, crash.ServerIDHash)
		message.EndedLives = append(message.EndedLives, crash.Incarnation)
		message.EndedExcused = append(message.EndedExcused, crash.Excused)
		age := time.Duration(0)
		if !crash.SeenAt.IsZero() {
			age = min(max(clock.Since(crash.SeenAt), 0), maxCrashAge)
		}
		message.EndedAges = append(message.EndedAges, uint32(age.Milliseconds()))
	}
	return message
}

// DecodeCrashes returns the crashes that a CrashGossiper sent in a packet, for routers that have no
// Syncer to receive it. It returns nil if the packet can't be decoded.
func DecodeCrashes(packet []byte) []quarantine.Crash {
	message := &exchangepb.Told{}
	if proto.Unmarshal(packet, message) != nil {
		return nil
	}
	return decodeCrashes(message)
}

// decodeCrashes leaves out entries for which one of the lists is too short.
func decodeCrashes(message *exchangepb.Told) []quarantine.Crash {
	n := min(len(message.GetEndedKeys()), len(message.GetEndedServers()),
		len(message.GetEndedLives()), len(message.GetEndedExcused()))
	crashes := make([]quarantine.Crash, 0, n)
	for i := range n {
		crash := quarantine.Crash{
			Key:          quarantine.Key(message.GetEndedKeys()[i]),
			ServerIDHash: message.GetEndedServers()[i],
			Incarnation:  message.GetEndedLives()[i],
			Excused:      message.GetEndedExcused()[i],
		}
		if crash.Key.IsPart() && i < len(message.GetEndedAges()) {
			crash.SeenAt = clock.Now().Add(-time.Duration(message.GetEndedAges()[i]) * time.Millisecond)
		}
		crashes = append(crashes, crash)
	}
	return crashes
}
