package admission

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// loadTransport records the last load of a pool that was sent to each router, as a report or a total.
type loadTransport struct {
	mu    sync.Mutex
	loads map[string]int
}

func (l *loadTransport) Send(router string, envelope *peerpb.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, load := range envelope.GetLoads() {
		sum := 0
		for _, e := range load.GetEngines() {
			sum += int(e.GetInFlight())
		}
		l.loads[router] = sum
	}
	for _, total := range envelope.GetTotals() {
		l.loads[router] = int(total.GetInFlight())
	}
}

func (l *loadTransport) check(t *testing.T, when, router string, want int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if got := l.loads[router]; got != want {
		t.Errorf("%s: got a load of %d reported to %s, want %d", when, got, router, want)
	}
}

// newGroupedCoordinator returns the coordinator of a router of a fleet of four, in which r0 is the hub of
// r1 and r2 the hub of r3, and by router the hash of an engine that it owns.
func newGroupedCoordinator(t *testing.T, self string) (*Coordinator, *loadTransport, map[string]uint64) {
	t.Helper()
	transport := &loadTransport{
		loads: make(map[string]int),
	}
	c := NewCoordinator(self, transport, DefaultPolicy())
	var routers []slipwick.Router
	for i := range 4 {
		routers = append(routers, slipwick.Router{
			ID: fmt.Sprint("r", i),
		})
	}
	pool := newPool(40, 1.25, func(int) uint32 { return 1 })
	view := placement.NewView([]placement.Pool{*pool}, routers)
	c.SetView(view)
	engines := make(map[string]uint64)
	for i := range pool.Backends {
		hash := placement.IDHash(pool.Backends[i].ID)
		engines[view.Owner(hash)] = hash
	}
	if len(engines) != len(routers) {
		t.Fatalf("got %d owners, want %d", len(engines), len(routers))
	}
	return c, transport, engines
}

// requestSlots asks for slots of an engine under new IDs.
func requestSlots(c *Coordinator, engine uint64, ids ...uint64) {
	envelope := &peerpb.Envelope{}
	for _, id := range ids {
		envelope.Requests = append(envelope.Requests, &peerpb.SlotRequest{
			Id:     id,
			Engine: engine,
		})
	}
	c.Receive("r3", envelope)
}

// releaseSlots releases slots of an engine.
func releaseSlots(c *Coordinator, engine uint64, ids ...uint64) {
	envelope := &peerpb.Envelope{}
	for _, id := range ids {
		envelope.Releases = append(envelope.Releases, &peerpb.SlotRelease{
			Engine: engine,
			Id:     id,
		})
	}
	c.Receive("r3", envelope)
}

// TestOwnerReportsFallSoon guards against a load that has fallen by chance and is reported as late as one
// that has risen: owners then grant slots by a total that is too high, beyond the load limit.
func TestOwnerReportsFallSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, sent, engines := newGroupedCoordinator(t, "r1")
		engine := engines["r1"]
		// A new owner grants only half of the slots at first.
		time.Sleep(c.Policy.TakeoverWindow)
		c.Receive("r0", &peerpb.Envelope{
			Totals: []*peerpb.PoolTotal{
				{
					Pool:     "p",
					InFlight: 800,
				},
			},
		})
		requestSlots(c, engine, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
		time.Sleep(time.Second)
		requestSlots(c, engine, 11, 12)
		time.Sleep(10 * time.Millisecond)
		sent.check(t, "first rise", "r0", 12)
		releaseSlots(c, engine, 1)
		time.Sleep(c.Policy.PressedReportInterval)
		sent.check(t, "fall after a rise", "r0", 11)
		requestSlots(c, engine, 13, 14)
		time.Sleep(c.Policy.MinReportInterval - time.Millisecond - c.Policy.PressedReportInterval)
		sent.check(t, "second rise, at once", "r0", 11)
		releaseSlots(c, engine, 2, 3, 4)
		time.Sleep(time.Millisecond)
		sent.check(t, "fall while a report of the rise is due", "r0", 10)
		requestSlots(c, engine, 15, 16)
		time.Sleep(c.Policy.MinReportInterval)
		sent.check(t, "third rise, later", "r0", 12)
	})
}

// TestHubBroadcastsFallSoon guards against the same delay on the way from the hub to its group and to the
// other hubs.
func TestHubBroadcastsFallSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, sent, engines := newGroupedCoordinator(t, "r0")
		sequence := uint64(0)
		report := func(inFlight uint32) {
			sequence++
			c.Receive("r1", &peerpb.Envelope{
				Loads: []*peerpb.PoolLoad{
					{
						Pool: "p",
						Engines: []*peerpb.EngineLoad{
							{
								Engine:   engines["r1"],
								InFlight: inFlight,
								Sequence: sequence,
							},
						},
					},
				},
			})
		}
		report(20)
		time.Sleep(time.Second)
		report(30)
		time.Sleep(10 * time.Millisecond)
		for _, router := range []string{"r1", "r2"} {
			sent.check(t, "rise", router, 30)
		}
		report(29)
		time.Sleep(c.Policy.PressedReportInterval)
		for _, router := range []string{"r1", "r2"} {
			sent.check(t, "fall after a rise", router, 29)
		}
		report(40)
		time.Sleep(c.Policy.MinReportInterval / 2)
		for _, router := range []string{"r1", "r2"} {
			sent.check(t, "second rise, at once", router, 29)
		}
		report(28)
		time.Sleep(time.Millisecond)
		for _, router := range []string{"r1", "r2"} {
			sent.check(t, "fall while a broadcast of the rise is due", router, 28)
		}
	})
}
