package membership

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// discardTransport drops all packets.
type discardTransport struct{}

func (discardTransport) Send(string, []byte) {}

func newTestNode() *Node {
	return NewNode(slipwick.Router{
		ID:      "self",
		Address: "10.0.0.1:1",
	}, discardTransport{}, DefaultPolicy(), rand.New(rand.NewPCG(1, 1)))
}

func (n *Node) applyUpdate(update *memberpb.News) {
	n.locked(func() { n.apply(update) })
}

func TestOlderUpdateIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		for _, step := range []struct {
			state       memberpb.State
			incarnation uint64
			want        memberpb.State
		}{
			{
				state:       memberpb.State_STATE_LIVE,
				incarnation: 5,
				want:        memberpb.State_STATE_LIVE,
			},
			{
				state:       memberpb.State_STATE_DEAD,
				incarnation: 4,
				want:        memberpb.State_STATE_LIVE,
			},
			{
				state:       memberpb.State_STATE_LEAVING,
				incarnation: 5,
				want:        memberpb.State_STATE_LEAVING,
			},
			{
				state:       memberpb.State_STATE_SUSPECT,
				incarnation: 5,
				want:        memberpb.State_STATE_LEAVING,
			},
			{
				state:       memberpb.State_STATE_LIVE,
				incarnation: 6,
				want:        memberpb.State_STATE_LIVE,
			},
		} {
			n.applyUpdate(&memberpb.News{
				Id:          "other",
				Address:     "10.0.0.2:1",
				State:       step.state,
				Incarnation: step.incarnation,
			})
			if got := n.members["other"].update.GetState(); got != step.want {
				t.Errorf("after %s of %d: got %s, want %s", step.state, step.incarnation, got, step.want)
			}
		}
		time.Sleep(time.Second)
	})
}

// recordingTransport records the kinds of packets sent to each address.
type recordingTransport struct {
	packets map[string][]memberpb.Kind
}

func (rt *recordingTransport) Send(address string, encoded []byte) {
	packet := &memberpb.Packet{}
	if proto.Unmarshal(encoded, packet) == nil {
		rt.packets[address] = append(rt.packets[address], packet.GetKind())
	}
}

// TestRestartedRouterSyncsWithUnknownProber has a router without seeds probed by one that knew its
// previous incarnation: it must send that router one sync request.
func TestRestartedRouterSyncsWithUnknownProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		transport := &recordingTransport{
			packets: make(map[string][]memberpb.Kind),
		}
		n.Transport = transport
		probe, err := proto.Marshal(&memberpb.Packet{
			Kind: memberpb.Kind_KIND_PROBE,
			From: "other",
		})
		if err != nil {
			t.Fatal(err)
		}
		// A third packet would lead to a sync request because the digests differ.
		for range 2 {
			n.Receive("10.0.0.2:1", probe)
		}
		syncRequests := 0
		for _, kind := range transport.packets["10.0.0.2:1"] {
			if kind == memberpb.Kind_KIND_SYNC {
				syncRequests++
			}
		}
		if syncRequests != 1 {
			t.Errorf("got %d sync requests, want 1", syncRequests)
		}
		time.Sleep(time.Second)
	})
}

// TestDeathIsRefuted checks that a live router answers a report of its own death with a higher
// incarnation.
func TestDeathIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		before := n.self().update.GetIncarnation()
		n.applyUpdate(&memberpb.News{
			Id:          "self",
			State:       memberpb.State_STATE_DEAD,
			Incarnation: before + 7,
		})
		got := n.self().update
		if got.GetState() != memberpb.State_STATE_LIVE || got.GetIncarnation() <= before+7 {
			t.Errorf("got %s of %d, want live above %d", got.GetState(), got.GetIncarnation(), before+7)
		}
		time.Sleep(time.Second)
	})
}

// TestIncarnationWithoutSuccessorIsIgnored guards against a report that can't be refuted, since there is no
// higher incarnation: the router's own would wrap to 0, and all others would take it for dead.
func TestIncarnationWithoutSuccessorIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		before := n.self().update.GetIncarnation()
		n.applyUpdate(&memberpb.News{
			Id:          "other",
			State:       memberpb.State_STATE_LIVE,
			Incarnation: 5,
		})
		for _, id := range []string{"self", "other"} {
			n.applyUpdate(&memberpb.News{
				Id:          id,
				State:       memberpb.State_STATE_DEAD,
				Incarnation: math.MaxUint64,
			})
		}
		if got := n.self().update; got.GetState() != memberpb.State_STATE_LIVE || got.GetIncarnation() != before {
			t.Errorf("own state: got %s of %d, want live of %d", got.GetState(), got.GetIncarnation(), before)
		}
		if got := n.members["other"].update; got.GetState() != memberpb.State_STATE_LIVE {
			t.Errorf("another router: got %s of %d, want it live", got.GetState(), got.GetIncarnation())
		}
		time.Sleep(time.Second)
	})
}

// TestRepeatedListingStateIsIgnored checks that a changed state in the platform's listing is
// applied, and that a repeated one is not, because the owner may have a newer state.
func TestRepeatedListingStateIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		list := func(state slipwick.BoxState) {
			n.MergeListing([]slipwick.Box{
				{
					ID:    "service",
					Kind:  slipwick.BoxBackend,
					State: state,
				},
			})
		}
		want := func(step string, want memberpb.State) {
			if got := n.snapshot().Backends["service"]; got != want {
				t.Errorf("%s: got %s, want %s", step, got, want)
			}
		}
		list(slipwick.BoxLive)
		want("listed live", memberpb.State_STATE_LIVE)
		list(slipwick.BoxLeaving)
		want("listed leaving", memberpb.State_STATE_LEAVING)
		list(slipwick.BoxLive)
		want("listed live again", memberpb.State_STATE_LIVE)
		list(slipwick.BoxLeaving)
		n.SetBackend("service", memberpb.State_STATE_LIVE)
		list(slipwick.BoxLeaving)
		want("set live by the owner, listed leaving again", memberpb.State_STATE_LIVE)
		n.SetBackend("service", memberpb.State_STATE_EJECTED)
		list(slipwick.BoxLive)
		want("ejected, listed live", memberpb.State_STATE_EJECTED)
		time.Sleep(time.Second)
	})
}

// TestFlappingRouterOwnsNothing checks that a router that died repeatedly may not own backend
// servers at once, but may after its penalty has decayed.
func TestFlappingRouterOwnsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode()
		owns := func() bool {
			for _, r := range n.snapshot().EligibleRouters {
				if r.ID == "other" {
					return true
				}
			}
			return false
		}
		for i := range 3 {
			for _, state := range []memberpb.State{memberpb.State_STATE_LIVE, memberpb.State_STATE_DEAD} {
				n.applyUpdate(&memberpb.News{
					Id:          "other",
					Address:     "10.0.0.2:1",
					State:       state,
					Incarnation: uint64(i + 1),
				})
			}
		}
		n.applyUpdate(&memberpb.News{
			Id:          "other",
			Address:     "10.0.0.2:1",
			Incarnation: 9,
		})
		if owns() {
			t.Error("a router that died three times may own backend servers at once")
		}
		time.Sleep(2 * time.Minute)
		n.locked(n.tick)
		if !owns() {
			t.Error("a router may not own backend servers after two minutes without a death")
		}
	})
}

// FuzzReceive checks that no packet makes a node panic or consider itself dead.
func FuzzReceive(f *testing.F) {
	seed, _ := proto.Marshal(&memberpb.Packet{
		Kind: memberpb.Kind_KIND_SYNC,
		News: []*memberpb.News{
			{
				Id:          "self",
				State:       memberpb.State_STATE_DEAD,
				Incarnation: 1 << 62,
			},
		},
	})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, packet []byte) {
		n := newTestNode()
		n.Receive("10.0.0.9:1", packet)
		if n.self().dead() {
			t.Error("the node considers itself dead")
		}
	})
}
