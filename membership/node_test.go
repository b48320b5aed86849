package membership

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// discard sends nothing anywhere.
type discard struct{}

func (discard) Send(string, []byte) {}

func lonely() *Node {
	return NewNode(slipwick.Router{
		ID:      "self",
		Address: "10.0.0.1:1",
	}, discard{}, DefaultPolicy(), rand.New(rand.NewPCG(1, 1)))
}

func (n *Node) tellNews(news *memberpb.News) {
	n.locked(func() { n.apply(news) })
}

func TestOlderNewsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lonely()
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
			n.tellNews(&memberpb.News{
				Id:          "other",
				Address:     "10.0.0.2:1",
				State:       step.state,
				Incarnation: step.incarnation,
			})
			if got := n.members["other"].news.GetState(); got != step.want {
				t.Errorf("after %s of %d: got %s, want %s", step.state, step.incarnation, got, step.want)
			}
		}
		time.Sleep(time.Second)
	})
}

// sentTo keeps the addresses and kinds of what was sent.
type sentTo struct {
	packets map[string][]memberpb.Kind
}

func (s *sentTo) Send(address string, encoded []byte) {
	packet := &memberpb.Packet{}
	if proto.Unmarshal(encoded, packet) == nil {
		s.packets[address] = append(s.packets[address], packet.GetKind())
	}
}

// TestRestartedRouterAsksWhoProbesIt has a router without seeds probed by one
// that knew its earlier life.
func TestRestartedRouterAsksWhoProbesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lonely()
		wire := &sentTo{
			packets: make(map[string][]memberpb.Kind),
		}
		n.Wire = wire
		probe, err := proto.Marshal(&memberpb.Packet{
			Kind: memberpb.Kind_KIND_PROBE,
			From: "other",
		})
		if err != nil {
			t.Fatal(err)
		}
		// A third would ask for a difference in what they know.
		for range 2 {
			n.Receive("10.0.0.2:1", probe)
		}
		asked := 0
		for _, kind := range wire.packets["10.0.0.2:1"] {
			if kind == memberpb.Kind_KIND_SYNC {
				asked++
			}
		}
		if asked != 1 {
			t.Errorf("got %d requests for all that the other knows, want 1", asked)
		}
		time.Sleep(time.Second)
	})
}

// TestDeathIsRefuted checks that a live router answers news of its own death
// with a newer incarnation.
func TestDeathIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lonely()
		before := n.self().news.GetIncarnation()
		n.tellNews(&memberpb.News{
			Id:          "self",
			State:       memberpb.State_STATE_DEAD,
			Incarnation: before + 7,
		})
		got := n.self().news
		if got.GetState() != memberpb.State_STATE_LIVE || got.GetIncarnation() <= before+7 {
			t.Errorf("got %s of %d, want live above %d", got.GetState(), got.GetIncarnation(), before+7)
		}
		time.Sleep(time.Second)
	})
}

// TestListOfBackends checks that the list's changes count and its repetitions do
// not, as an owner may know better meanwhile.
func TestListOfBackends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lonely()
		list := func(state slipwick.BoxState) {
			n.Observe([]slipwick.Box{
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
		want("the owner knows better", memberpb.State_STATE_LIVE)
		n.SetBackend("service", memberpb.State_STATE_EJECTED)
		list(slipwick.BoxLive)
		want("ejected, listed live", memberpb.State_STATE_EJECTED)
		time.Sleep(time.Second)
	})
}

// TestFlappingIsDamped checks that a router that dies again and again may own
// nothing for a while, and may later.
func TestFlappingIsDamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lonely()
		owns := func() bool {
			for _, r := range n.snapshot().Routers {
				if r.ID == "other" {
					return true
				}
			}
			return false
		}
		for i := range 3 {
			for _, state := range []memberpb.State{memberpb.State_STATE_LIVE, memberpb.State_STATE_DEAD} {
				n.tellNews(&memberpb.News{
					Id:          "other",
					Address:     "10.0.0.2:1",
					State:       state,
					Incarnation: uint64(i + 1),
				})
			}
		}
		n.tellNews(&memberpb.News{
			Id:          "other",
			Address:     "10.0.0.2:1",
			Incarnation: 9,
		})
		if owns() {
			t.Error("a router that died three times may own at once")
		}
		time.Sleep(2 * time.Minute)
		n.locked(n.tick)
		if !owns() {
			t.Error("a router that stayed for two minutes may still not own")
		}
	})
}

// FuzzReceive checks that no packet breaks a node or makes it think itself
// dead.
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
		n := lonely()
		n.Receive("10.0.0.9:1", packet)
		if n.self().dead() {
			t.Error("the node thinks itself dead")
		}
	})
}
