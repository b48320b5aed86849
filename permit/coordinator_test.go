package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// noTransport drops all datagrams.
type noTransport struct{}

func (noTransport) Send(string, []byte) {}

// newTestCoordinator returns the coordinator of a pool with one server of 100 slots, and the address of a
// router.
func newTestCoordinator() (c *Coordinator, router string) {
	f := newFleetOf(2, 1, 100)
	c = NewCoordinator()
	c.Self, c.Capacity, c.Transport = f.routers[0].Router, &fixedCapacity{}, noTransport{}
	c.Routers = func() []slipwick.Router { return f.live }
	c.Address = func(r slipwick.Router) string { return r.Address }
	return c, f.routers[1].Address
}

func askFor(run, id uint64) *permitpb.Packet {
	return &permitpb.Packet{
		Run: run,
		Asks: []*permitpb.Ask{{
			Id:         id,
			Pool:       testPool,
			DeadlineMs: 60_000,
		}},
	}
}

// TestLateDatagramOfAnEarlierRunIsIgnored guards against a datagram that a router sent before its restart,
// arrives after those that it sent later, and gets or ends a permit of the new run.
func TestLateDatagramOfAnEarlierRunIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, router := newTestCoordinator()
		c.Receive(router, askFor(2, 1))
		c.Receive(router, askFor(1, 2))
		c.Receive(router, &permitpb.Packet{
			Run: 1,
			Releases: []*permitpb.Release{{
				Id: 1,
			}},
		})
		if a := c.askers[router]; a.run != 2 || len(a.leases) != 1 || a.leases[1] == nil {
			t.Errorf("got run %d and %d leases, want run 2 with its one permit", a.run, len(a.leases))
		}
	})
}

// TestReleasedPermitsAreForgotten guards against memory that grows with each permit of a router.
func TestReleasedPermitsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, router := newTestCoordinator()
		for id := range uint64(100) {
			c.Receive(router, askFor(1, id+1))
			c.Receive(router, &permitpb.Packet{
				Run: 1,
				Releases: []*permitpb.Release{{
					Id: id + 1,
				}},
			})
		}
		a := c.askers[router]
		if len(a.decided) != 100 || len(a.leases) != 0 {
			t.Errorf("got %d released permits and %d leases, want 100 and 0", len(a.decided), len(a.leases))
		}
		time.Sleep(decisionRetention + expiryInterval)
		c.check()
		if len(a.decided) != 0 {
			t.Errorf("got %d released permits kept after %v, want 0", len(a.decided), decisionRetention+expiryInterval)
		}
	})
}

// lastAnswer is a transport that keeps the answer that was sent last.
type lastAnswer struct {
	*permitpb.Answer
}

func (l *lastAnswer) Send(_ string, packet []byte) {
	message := &permitpb.Packet{}
	if err := proto.Unmarshal(packet, message); err == nil && len(message.Answers) > 0 {
		l.Answer = message.Answers[len(message.Answers)-1]
	}
}

// TestLateAskOfRefusedRequestIsRefusedAgain guards against an ask that arrives after its request was refused,
// as a doubled and late datagram, and takes a slot or a place in the queue for a request that has ended. If
// the refusal was lost, the router repeats the ask: it has to get the refusal then.
func TestLateAskOfRefusedRequestIsRefusedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, router := newTestCoordinator()
		last := &lastAnswer{}
		c.Transport = last
		for id := range uint64(200) {
			c.Receive(router, askFor(1, id+1))
		}
		ask := askFor(1, 1000)
		ask.Asks[0].ObjectiveMs, ask.Asks[0].DeadlineMs = 1, 1
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, maxLateness} {
			time.Sleep(wait)
			*last = lastAnswer{}
			c.Receive(router, ask)
			if last.GetId() != 1000 || last.GetVerdict() != permitpb.Verdict_VERDICT_REFUSED {
				t.Errorf("got the answer %v after %v, want a refusal", last.Answer, wait)
			}
			for id := range uint64(200) {
				c.Receive(router, &permitpb.Packet{
					Run: 1,
					Releases: []*permitpb.Release{{
						Id: id + 1,
					}},
				})
			}
		}
		if a := c.askers[router]; len(a.leases) != 0 || len(a.waiting) != 0 {
			t.Errorf("got %d leases and %d waiting requests of late asks, want none", len(a.leases), len(a.waiting))
		}
	})
}
