package exchange

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
	"github.com/slipwick/slipwick/quarantine"
)

// gossipFleet is a fleet of routers that send each other crashes over a network with packet loss.
type gossipFleet struct {
	mu       sync.Mutex
	routers  []slipwick.Router
	trackers map[string]*quarantine.Tracker
	// lossRate is the share of datagrams that are lost, maxPacket the size of the largest one, sent
	// the number of all datagrams. Routers in partitioned receive nothing.
	lossRate  float64
	seed      uint64
	maxPacket int
	sent      int
	// sentOnLink counts the datagrams from one router to another.
	sentOnLink  map[[2]string]uint64
	partitioned map[string]bool
}

// gossipTransport is the transport of one router.
type gossipTransport struct {
	*gossipFleet
	from string
}

// Send delivers a datagram after a delay, or loses it. Which datagrams are lost is drawn from the
// link and the number of the datagram on it, so that it does not depend on the order in which
// routers run.
func (t gossipTransport) Send(address string, packet []byte) {
	f := t.gossipFleet
	f.mu.Lock()
	f.maxPacket = max(f.maxPacket, len(packet))
	f.sent++
	link := [2]string{t.from, address}
	f.sentOnLink[link]++
	draw := rand.New(rand.NewPCG(f.seed+f.sentOnLink[link], placement.IDHash(t.from+">"+address)))
	isLost := draw.Float64() < f.lossRate || f.partitioned[address]
	tracker := f.trackers[address]
	f.mu.Unlock()
	if isLost || tracker == nil {
		return
	}
	time.AfterFunc(2*time.Millisecond, func() {
		syncer := NewSyncer(address)
		syncer.OnCrashes = tracker.Merge
		syncer.Receive("", packet)
	})
}

func (f *gossipFleet) liveRouters() []slipwick.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// start adds a router to the fleet and runs it.
func (f *gossipFleet) start(ctx context.Context, id string) {
	tracker, gossiper := quarantine.NewTracker(id), NewCrashGossiper(id)
	tracker.Routers, gossiper.Routers = f.liveRouters, f.liveRouters
	tracker.OnPending = gossiper.Trigger
	gossiper.Tracker, gossiper.Transport = tracker, gossipTransport{f, id}
	gossiper.Shuffle = rand.New(rand.NewPCG(f.seed, placement.IDHash(id))).Shuffle
	gossiper.Address = func(r slipwick.Router) string { return r.ID }
	f.mu.Lock()
	f.routers = append(f.routers, slipwick.Router{
		ID: id,
	})
	f.trackers[id] = tracker
	f.mu.Unlock()
	go gossiper.Run(ctx)
}

func (f *gossipFleet) countQuarantining(key quarantine.Key) int {
	f.mu.Lock()
	trackers := slices.Collect(maps.Values(f.trackers))
	f.mu.Unlock()
	n := 0
	for _, tracker := range trackers {
		if tracker.IsQuarantined(key) {
			n++
		}
	}
	return n
}

func (f *gossipFleet) packetsSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

func newGossipFleet(ctx context.Context, n int, lossRate float64, seed uint64) *gossipFleet {
	f := &gossipFleet{
		trackers:    make(map[string]*quarantine.Tracker),
		lossRate:    lossRate,
		seed:        seed,
		sentOnLink:  make(map[[2]string]uint64),
		partitioned: make(map[string]bool),
	}
	for i := range n {
		f.start(ctx, fmt.Sprint("router-", i))
	}
	return f
}

// crashUnder crashes a server while it runs a request for a router.
func (f *gossipFleet) crashUnder(key quarantine.Key, router int, server string) {
	attempt, ok := f.trackers[fmt.Sprint("router-", router)].Begin(key, &slipwick.Backend{
		ID: server,
	}, false, func() {})
	if ok {
		attempt.End(quarantine.OutcomeCrashed)
	}
}

// TestFleetQuarantinesRequestThatCrashedServersOfSeveralRouters has each of three crashes seen by
// another router, while one datagram in ten is lost. Nearly all routers must quarantine the request
// before retries of the caller crash further servers, and all once the crashes are sent again.
func TestFleetQuarantinesRequestThatCrashedServersOfSeveralRouters(t *testing.T) {
	const seeds = 5
	for _, n := range []int{2, 8, 80, 330} {
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newGossipFleet(ctx, n, 0.1, seed)
				for i := range 3 {
					f.crashUnder(7, i*(n-1)/2, fmt.Sprint("engine-", i))
				}
				time.Sleep(150 * time.Millisecond)
				// In a large fleet one router in a hundred may learn of it only when crashes are
				// sent again.
				if got, want := f.countQuarantining(7), n-n/100; got < want {
					t.Errorf("%d routers, seed %d: got %d that quarantine it after 150 ms, want %d", n, seed, got, want)
				}
				time.Sleep(4 * time.Second)
				if got := f.countQuarantining(7); got != n {
					t.Errorf("%d routers, seed %d: got %d that quarantine it after 4 s, want all", n, seed, got)
				}
				cancel()
				synctest.Wait()
				if got, want := f.maxPacket, 1472; got > want {
					t.Errorf("%d routers: got a datagram of %d bytes, want at most %d", n, got, want)
				}
			})
		}
	}
}

// TestStartingRouterLearnsOfQuarantinedRequests starts a router after the crashes, and reconnects
// another that was partitioned.
func TestStartingRouterLearnsOfQuarantinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newGossipFleet(ctx, 8, 0.1, 1)
		f.mu.Lock()
		f.partitioned["router-5"] = true
		f.mu.Unlock()
		for i := range 3 {
			f.crashUnder(7, 0, fmt.Sprint("engine-", i))
		}
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.partitioned = nil
		f.mu.Unlock()
		f.start(ctx, "late")
		time.Sleep(3 * time.Second)
		if got := f.countQuarantining(7); got != 9 {
			t.Errorf("got %d routers that quarantine it, want 9", got)
		}
		cancel()
		synctest.Wait()
	})
}

// TestNothingIsSentWithoutCrashes runs a fleet for a minute without crashes, and another minute
// after a single crash, which must not be sent again.
func TestNothingIsSentWithoutCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newGossipFleet(ctx, 8, 0, 1)
		time.Sleep(time.Minute)
		if got := f.packetsSent(); got > 0 {
			t.Errorf("got %d datagrams, want none", got)
		}
		f.crashUnder(7, 0, "engine")
		time.Sleep(time.Minute)
		// Each router sends a crash once, when it is new to it.
		if got, want := f.packetsSent(), 8*7; got > want {
			t.Errorf("got %d datagrams for one crash, want at most %d", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// TestIncompleteCrashesAreLeftOut decodes a message as it was encoded, and with one list shortened.
func TestIncompleteCrashesAreLeftOut(t *testing.T) {
	crashes := []quarantine.Crash{
		{Key: 1, ServerIDHash: 2, Incarnation: 3}, {Key: 4, ServerIDHash: 5, Incarnation: -6, Excused: true},
	}
	message := NewCrashGossiper("r").encode(crashes)
	if got := decodeCrashes(message); !slices.Equal(got, crashes) {
		t.Errorf("got %v, want %v", got, crashes)
	}
	message.EndedLives = message.EndedLives[:1]
	if got := decodeCrashes(message); !slices.Equal(got, crashes[:1]) {
		t.Errorf("shortened list: got %v, want %v", got, crashes[:1])
	}
}

// TestAgesOfCrashesAreSent guards against crashes that all count as seen when the message arrives: a
// router that has just started would take them for one failure of several servers.
func TestAgesOfCrashesAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := quarantine.PartKey("p", 1)
		crashes := []quarantine.Crash{{Key: part, SeenAt: time.Now()}, {Key: part, ServerIDHash: 1, SeenAt: time.Now()}}
		time.Sleep(700 * time.Millisecond)
		crashes[1].SeenAt = time.Now()
		message := NewCrashGossiper("r").encode(crashes)
		if got := decodeCrashes(message); !got[0].SeenAt.Equal(crashes[0].SeenAt) || !got[1].SeenAt.Equal(crashes[1].SeenAt) {
			t.Errorf("got %v, want %v", got, crashes)
		}
		message.EndedAges = nil
		if got := decodeCrashes(message); len(got) != 2 || !got[0].SeenAt.IsZero() {
			t.Errorf("from an older router: got %v, want two crashes without a time", got)
		}
	})
}

// TestCrashSequenceSurvivesRestart guards against datagrams of a restarted router that look older than
// those that it sent before, in the order that the definition of the message promises.
func TestCrashSequenceSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := NewCrashGossiper("r")
		last := uint64(0)
		for range 1000 {
			sequence := first.encode(nil).GetSequence()
			if sequence <= last {
				t.Fatalf("got sequence %d after %d, want it to increase", sequence, last)
			}
			last = sequence
		}
		time.Sleep(time.Second)
		if got := NewCrashGossiper("r").encode(nil).GetSequence(); got <= last {
			t.Errorf("got sequence %d after a restart, want more than %d", got, last)
		}
	})
}
