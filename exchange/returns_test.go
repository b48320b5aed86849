package exchange

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// returnsNetwork delivers datagrams after a delay, loses some and counts bytes.
type returnsNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	loss     float64
	byID     map[string]*Returns
	received map[string]int
}

type returnsTransport struct{ network *returnsNetwork }

func (t returnsTransport) Send(address string, packet []byte) {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[address] += len(packet)
	if n.random.Float64() >= n.loss {
		time.AfterFunc(3*time.Millisecond, func() { n.receive(address, packet) })
	}
}

func (n *returnsNetwork) receive(address string, packet []byte) {
	message := &exchangepb.Told{}
	if err := proto.Unmarshal(packet, message); err == nil {
		n.byID[address].receive(message)
	}
}

func newReturnsNetwork(size int, loss float64) (*returnsNetwork, []*Returns) {
	n := &returnsNetwork{
		random:   rand.New(rand.NewPCG(1, uint64(size))),
		loss:     loss,
		byID:     make(map[string]*Returns),
		received: make(map[string]int),
	}
	var routers []slipwick.Router
	var all []*Returns
	for i := range size {
		routers = append(routers, slipwick.Router{
			ID:         fmt.Sprint(i),
			DataCentre: fmt.Sprint(i % 3),
		})
	}
	for i := range size {
		r := NewReturns(fmt.Sprint(i))
		r.Transport = returnsTransport{n}
		r.Routers = func() []slipwick.Router { return routers }
		r.Address = func(r slipwick.Router) string { return r.ID }
		n.byID[r.Self] = r
		all = append(all, r)
	}
	return n, all
}

// TestCallersAreRecognisedElsewhere has each of 8 to 330 routers refuse 20 requests a second, whose callers return to
// a random router, and ask about as many first attempts, while one datagram in 100 is lost. It guards against callers
// who aren't recognised, against first attempts that are, and against bytes beyond what the usage of pools leaves of
// 24 KB/s: 1,100 B/s at a hub of 330 routers, and 5,500 B/s at the others.
func TestCallersAreRecognisedElsewhere(t *testing.T) {
	const refusals, duration = 20, 4 * time.Second
	for _, size := range []int{8, 84, 330} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, all := newReturnsNetwork(size, 0.01)
				random := rand.New(rand.NewPCG(2, uint64(size)))
				var mu sync.Mutex
				returned, mistaken := 0, 0
				for i := range size * refusals * int(duration.Seconds()) {
					key := random.Uint64()
					at, after := time.Duration(random.Int64N(int64(duration))), time.Duration(1+random.IntN(3))*time.Second
					first, second := all[i%size], all[random.IntN(size)]
					time.AfterFunc(at, func() {
						isMistaken := first.TakeReturn(t.Context(), key, 20*time.Millisecond)
						first.NoteRefusal(key, after)
						time.Sleep(after)
						isReturning := second.TakeReturn(t.Context(), key, 20*time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						if isReturning {
							returned++
						}
						if isMistaken {
							mistaken++
						}
					})
				}
				time.Sleep(duration + 4*time.Second)
				synctest.Wait()
				total := size * refusals * int(duration.Seconds())
				hub, other := 0, 0
				for id, bytes := range network.received {
					if all[0].hubs.isHub(id) {
						hub = max(hub, bytes)
					} else {
						other = max(other, bytes)
					}
				}
				// Most callers return while others are refused; none after the last return.
				hub, other = hub/int(duration.Seconds()), other/int(duration.Seconds())
				t.Logf("%d of %d callers recognised, %d first attempts mistaken; at most %d B/s at a hub, %d at others",
					returned, total, mistaken, hub, other)
				if returned < total*95/100 {
					t.Errorf("got %d of %d callers recognised, want at least 0.95", returned, total)
				}
				if mistaken > total/1000 {
					t.Errorf("got %d of %d first attempts taken for returns, want at most one in 1,000", mistaken, total)
				}
				if hub > 1100 || other > 5500 {
					t.Errorf("got %d B/s at a hub and %d at another router, want at most 1,100 and 5,500", hub, other)
				}
			})
		})
	}
}

// TestReturnIsTakenOnce guards against precedence for callers who return early, a second time, or too late, and
// against a long wait for an answer that is lost.
func TestReturnIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newReturnsNetwork(8, 0)
		const wait = 20 * time.Millisecond
		ask := func(i int, key uint64) bool { return all[i].TakeReturn(t.Context(), key, wait) }
		for key := range uint64(20) {
			all[0].NoteRefusal(key, time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		if ask(1, 1) {
			t.Error("got a caller recognised who returned early, want none")
		}
		time.Sleep(500 * time.Millisecond)
		if !ask(1, 1) || ask(2, 1) {
			t.Error("got other than one recognition of a caller who returned twice, want one")
		}
		all[3].Forget(2)
		time.Sleep(wait)
		if ask(1, 2) {
			t.Error("got a caller recognised whose refusal was forgotten, want none")
		}
		network.loss = 1
		for key := range uint64(5) {
			start := time.Now()
			if keeper, isSelf := all[4].keeper(uint32(3 + key)); !isSelf && ask(4, 3+key) || time.Since(start) > wait {
				t.Errorf("got an answer of %s or a wait of %v while all datagrams are lost, want none within %v",
					keeper.ID, time.Since(start), wait)
			}
		}
		network.loss = 0
		time.Sleep(returnWindow + time.Second)
		if ask(1, 10) {
			t.Error("got a caller recognised who returned too late, want none")
		}
		if len(all[4].asked) > 0 {
			t.Errorf("got %d keys with waiting requests at the end, want none", len(all[4].asked))
		}
	})
}
