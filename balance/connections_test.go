package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// dialCounts counts the connections opened, by the causes that package upstream distinguishes.
type dialCounts struct {
	first, busy, idleTooLong int
}

func (d *dialCounts) sum() int { return d.first + d.busy + d.idleTooLong }

// testConnections are the connections of one router, which are used as upstream.Client does: the most
// recently used one first, none that was idle for longer than keptIdleTime.
type testConnections struct {
	dials     *dialCounts
	connected map[string]bool
	// idle has since when the connections are idle, the longest first.
	idle map[string][]time.Time
	// drawn is the first server that the balancer asked for in the current choice.
	drawn string
}

func newTestConnections(dials *dialCounts) *testConnections {
	return &testConnections{
		dials:     dials,
		connected: make(map[string]bool),
		idle:      make(map[string][]time.Time),
	}
}

func (c *testConnections) HasIdleConnection(incarnation string, maxIdleTime time.Duration) bool {
	if c.drawn == "" {
		c.drawn = incarnation
	}
	idle := c.idle[incarnation]
	if len(idle) == 0 {
		return false
	}
	took := time.Since(idle[len(idle)-1])
	return took < keptIdleTime && (maxIdleTime == 0 || took <= maxIdleTime)
}

// use takes an idle connection or opens one. It returns the server that was drawn.
func (c *testConnections) use(incarnation string, maxIdleTime time.Duration) (drawn string) {
	drawn = cmp.Or(c.drawn, incarnation)
	defer func() { c.drawn = "" }()
	idle := c.idle[incarnation]
	switch {
	case c.HasIdleConnection(incarnation, maxIdleTime):
		c.idle[incarnation] = idle[:len(idle)-1]
	case !c.connected[incarnation]:
		c.dials.first++
	case len(idle) > 0:
		c.dials.idleTooLong++
	default:
		c.dials.busy++
	}
	c.idle[incarnation] = slices.DeleteFunc(c.idle[incarnation], func(since time.Time) bool {
		return time.Since(since) >= keptIdleTime
	})
	c.connected[incarnation] = true
	return drawn
}

func (c *testConnections) putIdle(incarnation string) {
	c.idle[incarnation] = append(c.idle[incarnation], time.Now())
}

// connectionCase is a load of a plain service whose requests have a bound on the idle time of
// connections.
type connectionCase struct {
	routers    int
	servers    int
	speedAware bool
	// prefers says that the routers know of their connections.
	prefers     bool
	perSecond   float64
	maxIdleTime time.Duration
	duration    time.Duration
	// weight returns how much of the load a router gets; nil stands for equal parts.
	weight func(router int) float64
	// paces has the paces of the first servers; the others have the usual one.
	paces []float64
	// during is called at the start of each second.
	during func(f *connectionFleet, second int)
}

type connectionFleet struct {
	*speedFleet
	dials       dialCounts
	connections []*testConnections
	// sentBySecond has the numbers of requests sent to each server, drawnBySecond how many would have
	// been sent there if connections didn't matter.
	sentBySecond, drawnBySecond [][]int
}

func (c *connectionCase) run(t *testing.T) *connectionFleet {
	t.Helper()
	var f *connectionFleet
	synctest.Test(t, func(*testing.T) {
		var paces []func(time.Duration) float64
		for i := range c.servers {
			pace := 1.0
			if i < len(c.paces) {
				pace = c.paces[i]
			}
			paces = append(paces, constantPace(pace))
		}
		f = &connectionFleet{
			speedFleet: newSpeedFleet(c.routers, plainSlots, paces...),
		}
		request := &Request{
			Pool:        "p",
			MaxIdleTime: c.maxIdleTime,
		}
		var sums []float64
		sum := 0.0
		for i, b := range f.routers {
			connections := newTestConnections(&f.dials)
			f.connections = append(f.connections, connections)
			if c.prefers {
				b.Connections = connections
			}
			b.SetPosition(i, c.routers)
			b.SetPreferConnected(true)
			b.SetSpeedAware(c.speedAware)
			if c.weight == nil {
				sum++
			} else {
				sum += c.weight(i)
			}
			sums = append(sums, sum)
		}
		drawn := make([]int, c.servers)
		f.onSend = func(j *speedJob) {
			id := f.connections[j.router].use(j.lease.Backend.Incarnation(), j.request.MaxIdleTime)
			index, _ := strconv.Atoi(id)
			drawn[index]++
		}
		f.onEnd = func(j *speedJob) { f.connections[j.router].putIdle(j.lease.Backend.Incarnation()) }
		next := time.Duration(0)
		for second := range int(c.duration / time.Second) {
			if c.during != nil {
				c.during(f, second)
			}
			for end := time.Duration(second+1) * time.Second; next < end; {
				f.runUntil(next)
				job := &speedJob{
					request: request,
					first:   time.Duration((0.5 + f.random.Float64()) * float64(35*time.Millisecond)),
					arrived: f.now(),
				}
				draw := f.random.Float64() * sum
				job.router, _ = slices.BinarySearch(sums, draw)
				f.send(job)
				next += time.Duration(f.random.ExpFloat64() / c.perSecond * float64(time.Second))
			}
			f.sentBySecond = append(f.sentBySecond, slices.Clone(f.sent))
			f.drawnBySecond = append(f.drawnBySecond, slices.Clone(drawn))
			clear(f.sent)
			clear(drawn)
		}
		f.runUntil(f.now() + 2*time.Second)
	})
	return f
}

// sumOf adds up the counts of the seconds from start to end, by server.
func sumOf(bySecond [][]int, start, end int) (counts []float64, sum float64) {
	counts = make([]float64, len(bySecond[0]))
	for _, second := range bySecond[start:end] {
		for i, n := range second {
			counts[i] += float64(n)
			sum += float64(n)
		}
	}
	return counts, sum
}

// parts returns the requests that the servers got in the seconds from start to end, as factors of the
// mean of that many servers.
func (f *connectionFleet) parts(start, end, servers int) []float64 {
	counts, sum := sumOf(f.sentBySecond, start, end)
	for i := range counts {
		counts[i] *= float64(servers) / sum
	}
	return counts
}

// excess returns by what factor the servers got more than their part in the seconds from start to end: the
// equal part, or what would have been sent there if connections didn't matter, whichever is more. equals
// are the servers that ought to get equal parts.
func (f *connectionFleet) excess(start, end int, equals ...int) []float64 {
	counts, _ := sumOf(f.sentBySecond, start, end)
	drawn, _ := sumOf(f.drawnBySecond, start, end)
	fair := 0.0
	for _, i := range equals {
		fair += counts[i] / float64(len(equals))
	}
	for i := range counts {
		part := drawn[i]
		if slices.Contains(equals, i) {
			part = max(part, fair)
		}
		counts[i] /= max(part, 1)
	}
	return counts
}

// checkExcess checks that connections give no server more than its part by more than a tenth.
func (f *connectionFleet) checkExcess(t *testing.T, start, end int, equals ...int) {
	t.Helper()
	if got := f.excess(start, end, equals...); slices.Max(got) > 1.1 {
		t.Errorf("seconds %d to %d: got %.3f times their parts because of connections, want 1.1 at most", start, end, got)
	}
}

// unevenDemand gives routers a part of the load that is distributed exponentially.
func unevenDemand(router int) float64 {
	const goldenRatio = 0.6180339887
	return -math.Log(math.Mod(0.5+float64(router)*goldenRatio, 1))
}

// TestRoutersWithFewRequestsOpenFewerConnections guards against requests that open a connection to a
// drawn server although there is a usable one to another that is as good, and against servers that get
// more than their part because of that.
func TestRoutersWithFewRequestsOpenFewerConnections(t *testing.T) {
	const repeatable, notRepeatable = 0, 2 * time.Second
	for _, test := range []struct {
		routers     int
		maxIdleTime time.Duration
		speedAware  bool
		weight      func(int) float64
		// maxRatio bounds the connections opened, relative to those without the preference.
		maxRatio float64
	}{
		{8, repeatable, false, nil, 1.15},
		{8, notRepeatable, false, nil, 1.15},
		{8, notRepeatable, true, nil, 1.15},
		{84, repeatable, false, nil, 1.15},
		{84, notRepeatable, false, nil, 0.5},
		{84, notRepeatable, false, unevenDemand, 0.6},
		{84, notRepeatable, true, nil, 0.5},
		{330, repeatable, false, nil, 0.6},
		{330, notRepeatable, false, nil, 0.6},
		{330, notRepeatable, false, unevenDemand, 0.6},
		{330, notRepeatable, true, nil, 0.6},
	} {
		c := connectionCase{
			routers:     test.routers,
			servers:     4,
			speedAware:  test.speedAware,
			perSecond:   200,
			maxIdleTime: test.maxIdleTime,
			duration:    20 * time.Second,
			weight:      test.weight,
		}
		name := fmt.Sprintf("%d routers, idle for %v, by speed %v, uneven %v",
			test.routers, test.maxIdleTime, test.speedAware, test.weight != nil)
		t.Run(name, func(t *testing.T) {
			before := c.run(t)
			c.prefers = true
			after := c.run(t)
			t.Logf("%d requests; opened %d before %+v, %d after %+v; parts %.3f before, %.3f after; excess %.3f",
				after.count(), before.dials.sum(), before.dials, after.dials.sum(), after.dials,
				before.parts(0, 20, 4), after.parts(0, 20, 4), after.excess(0, 20, 0, 1, 2, 3))
			if ratio := float64(after.dials.sum()) / float64(before.dials.sum()); ratio > test.maxRatio {
				t.Errorf("got %.3f of the connections opened, want %.2f at most", ratio, test.maxRatio)
			}
			after.checkExcess(t, 0, 20, 0, 1, 2, 3)
			if got := after.parts(0, 20, 4); !test.speedAware && slices.Max(got) > 1.1 {
				t.Errorf("got parts %.3f, want 1.1 at most", got)
			}
		})
	}
}

func (f *connectionFleet) count() int {
	_, sum := sumOf(f.sentBySecond, 0, len(f.sentBySecond))
	return int(sum)
}

// list sets the servers that are listed, and whether the last one is leaving.
func (f *connectionFleet) list(servers int, isLastLeaving bool) {
	entries := slices.Clone(f.entries[:servers])
	entries[servers-1].Leaving = isLastLeaving
	for _, b := range f.routers {
		b.SetBackends(entries)
	}
}

// TestNewServerGetsItsPartDespiteConnections guards against routers that keep to the connections that
// they have: a fifth server must get its part after 2 s, and no more than a tenth beyond it for the lack
// of connections.
func TestNewServerGetsItsPartDespiteConnections(t *testing.T) {
	const listedAt, end = 5, 25
	for _, routers := range []int{8, 84, 330} {
		for _, speedAware := range []bool{false, true} {
			c := connectionCase{
				routers:     routers,
				servers:     5,
				speedAware:  speedAware,
				prefers:     true,
				perSecond:   400,
				maxIdleTime: 2 * time.Second,
				duration:    end * time.Second,
				during: func(f *connectionFleet, second int) {
					switch second {
					case 0:
						f.list(4, false)
					case listedAt:
						f.list(5, false)
					}
				},
			}
			t.Run(fmt.Sprintf("%d routers, by speed %v", routers, speedAware), func(t *testing.T) {
				f := c.run(t)
				after := f.parts(listedAt+2, listedAt+10, 5)
				t.Logf("parts before %.3f; in the first 2 s %.3f, then %.3f, then %.3f; excess of %.3f; opened %+v",
					f.parts(0, listedAt, 4), f.parts(listedAt, listedAt+2, 5), after, f.parts(listedAt+10, end, 5),
					f.excess(listedAt+2, listedAt+10), f.dials)
				// By speed, servers of the same speed get unequal parts at a low load, as noise in the
				// estimates of their speed decides. Connections may take away a tenth of such a part at most.
				if got := f.excess(listedAt+2, listedAt+10)[4]; got < 0.9 {
					t.Errorf("got %.3f of what a new server gets without regard to connections, want 0.9 at least", got)
				}
				if got := after[4]; !speedAware && got < 0.9 {
					t.Errorf("got %.3f of its part after 2 s, want 0.9 at least", got)
				}
				f.checkExcess(t, listedAt, listedAt+10, 0, 1, 2, 3, 4)
				f.checkExcess(t, listedAt+10, end, 0, 1, 2, 3, 4)
			})
		}
	}
}

// TestLeavingServerGetsNoRequestsDespiteConnections guards against requests to a leaving server to which
// there are connections, and against an uneven distribution of what it got over the others.
func TestLeavingServerGetsNoRequestsDespiteConnections(t *testing.T) {
	const leavingAt, end = 10, 20
	for _, routers := range []int{8, 84, 330} {
		c := connectionCase{
			routers:     routers,
			servers:     4,
			prefers:     true,
			perSecond:   200,
			maxIdleTime: 2 * time.Second,
			duration:    end * time.Second,
			during: func(f *connectionFleet, second int) {
				if second == leavingAt {
					f.list(4, true)
				}
			},
		}
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			f := c.run(t)
			parts := f.parts(leavingAt, end, 3)
			t.Logf("parts %.3f before, %.3f after; opened %+v", f.parts(0, leavingAt, 4), parts, f.dials)
			if parts[3] > 0 {
				t.Errorf("got %.3f of a part at the leaving server, want none", parts[3])
			}
			f.checkExcess(t, 0, leavingAt, 0, 1, 2, 3)
			f.checkExcess(t, leavingAt, end, 0, 1, 2)
		})
	}
}

// TestSlowServerGetsNothingForConnections guards against routers that prefer a slow server because they
// have connections to it.
func TestSlowServerGetsNothingForConnections(t *testing.T) {
	const start, end = 5, 25
	for _, routers := range []int{8, 84, 330} {
		for _, speedAware := range []bool{false, true} {
			c := connectionCase{
				routers:     routers,
				servers:     4,
				speedAware:  speedAware,
				prefers:     true,
				perSecond:   200,
				maxIdleTime: 2 * time.Second,
				duration:    end * time.Second,
				paces:       []float64{2.5},
			}
			t.Run(fmt.Sprintf("%d routers, by speed %v", routers, speedAware), func(t *testing.T) {
				f := c.run(t)
				t.Logf("parts %.3f, excess %.3f; opened %+v", f.parts(start, end, 4), f.excess(start, end, 1, 2, 3), f.dials)
				if got := f.excess(start, end, 1, 2, 3)[0]; got > 1.01 {
					t.Errorf("got %.3f times its part at the slow server because of connections, want 1.01 at most", got)
				}
				f.checkExcess(t, start, end, 1, 2, 3)
			})
		}
	}
}

// noConnections is a router without any connection. It records the server that was drawn last.
type noConnections struct {
	drawn string
}

func (n *noConnections) HasIdleConnection(incarnation string, _ time.Duration) bool {
	n.drawn = cmp.Or(n.drawn, incarnation)
	return false
}

// unconnectedRouter is the only router of its data centre, has few requests and no connections.
type unconnectedRouter struct {
	*Balancer
	connections *noConnections
}

func newUnconnectedRouter(servers int, dataCentres ...string) *unconnectedRouter {
	r := &unconnectedRouter{
		Balancer:    newBalancerIn(servers, dataCentres...),
		connections: &noConnections{},
	}
	r.Connections = r.connections
	r.SetPosition(0, 1)
	r.SetPreferConnected(true)
	return r
}

// acquire returns the lease of a request and the server that was drawn.
func (r *unconnectedRouter) acquire(t *testing.T) (lease *Lease, drawn *server) {
	t.Helper()
	r.connections.drawn = ""
	lease = acquire(t, r.Balancer, &Request{
		Pool:        "p",
		MaxIdleTime: 10 * time.Millisecond,
	})
	return lease, r.servers[r.connections.drawn]
}

// send returns the servers that got a request and that was drawn.
func (r *unconnectedRouter) send(t *testing.T) (got, drawn *server) {
	t.Helper()
	lease, drawn := r.acquire(t)
	r.Abandon(lease)
	return lease.server, drawn
}

// TestConnectionsDontMatterUnlessAskedFor guards against a preference for connections in deployments that
// don't use admission control.
func TestConnectionsDontMatterUnlessAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(4, "dc-0")
		if r.send(t); r.connections.drawn == "" {
			t.Error("asked for: got no look at the connections, want one")
		}
		r.SetPreferConnected(false)
		if r.send(t); r.connections.drawn != "" {
			t.Errorf("not asked for: got a look at the connections to %s, want none", r.connections.drawn)
		}
	})
}

// TestFullServerGetsNothingForConnections guards against a router that sends its few requests to the
// server that it prefers although that one has just rejected one.
func TestFullServerGetsNothingForConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(4, "dc-0")
		preferred, _ := r.send(t)
		for range 20 {
			if got, _ := r.send(t); got != preferred {
				t.Fatalf("got server %s, want %s, which is preferred", got.ID, preferred.ID)
			}
		}
		r.Release(acquire(t, r.Balancer, &Request{
			Pool:    "p",
			Backend: preferred.ID,
		}), slipwick.EvidenceShed)
		for range 100 {
			if got, drawn := r.send(t); got != drawn {
				t.Fatalf("got server %s, want %s, which was drawn: the preferred one is full", got.ID, drawn.ID)
			}
		}
	})
}

// TestLoadedServerGetsNothingForConnections guards against a router that prefers a server with far more
// requests in flight than the others.
func TestLoadedServerGetsNothingForConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(4, "dc-0")
		preferred, _ := r.send(t)
		var counts []InFlight
		for _, s := range r.servers {
			counts = append(counts, InFlight{
				Server: s.hash,
				Count:  2,
			})
			if s == preferred {
				counts[len(counts)-1].Count = 9
			}
		}
		r.SetPeers([]string{"fleet"}, 10)
		r.ReceiveCounts("fleet", 1, counts)
		for range 100 {
			if got, drawn := r.send(t); got != drawn {
				t.Fatalf("got server %s, want %s, which was drawn: the preferred one is loaded", got.ID, drawn.ID)
			}
		}
	})
}

// TestSlowedServerReplacesNoOtherForConnections guards against a router that prefers a server that is
// slower than the drawn one, lastingly by its slow estimate or for the moment by its fast one.
func TestSlowedServerReplacesNoOtherForConnections(t *testing.T) {
	for _, isLasting := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newUnconnectedRouter(4, "dc-0")
			preferred, _ := r.send(t)
			if isLasting {
				preferred.speed.slowPace = 1.5
			} else {
				r.ReceiveSpeedCounts([]SpeedCounts{
					{
						Server:  preferred.hash,
						Reports: 50,
						LogPace: 50 * 90,
					},
				})
				preferred.speed.slowPace = 1
			}
			for range 100 {
				if got, drawn := r.send(t); got == preferred && got != drawn {
					t.Fatalf("lasting %v: got the slow server in place of %s, which was drawn", isLasting, drawn.ID)
				}
			}
		})
	}
}

// TestConnectionsLeaveThePartsOfDataCentres guards against a preference for servers in another data centre
// than the drawn one, which would change how much each data centre gets.
func TestConnectionsLeaveThePartsOfDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(8, "dc-0", "dc-1")
		replaced := 0
		for range 200 {
			got, drawn := r.send(t)
			if got.DataCentre != drawn.DataCentre {
				t.Fatalf("got a server in %s, want one in %s like the drawn one", got.DataCentre, drawn.DataCentre)
			}
			if got != drawn {
				replaced++
			}
		}
		if replaced < 50 {
			t.Errorf("got %d of 200 drawn servers replaced, want 50 at least", replaced)
		}
	})
}

// TestBusyPreferredServerDoesNotReplaceTheDrawnOne guards against a second connection to the preferred
// server while its only one is in use: with a small max_connections, the server would reset it.
func TestBusyPreferredServerDoesNotReplaceTheDrawnOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(4, "dc-0")
		first, _ := r.acquire(t)
		for range 50 {
			if got, drawn := r.send(t); got != drawn {
				t.Fatalf("got server %s, which is busy, want %s, which was drawn", got.ID, drawn.ID)
			}
		}
		r.Abandon(first)
	})
}

// TestSendsAreCountedAtTheDrawnServer guards against routers that take their preference for that of all
// others: they would expect many requests at the server that they prefer, and avoid it.
func TestSendsAreCountedAtTheDrawnServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newUnconnectedRouter(4, "dc-0")
		drawnCounts := make(map[*server]float64)
		replaced := 0
		for range 100 {
			got, drawn := r.send(t)
			drawnCounts[drawn]++
			if got != drawn {
				replaced++
			}
		}
		if replaced < 25 {
			t.Errorf("got %d of 100 drawn servers replaced, want 25 at least", replaced)
		}
		for _, s := range r.servers {
			if got, want := s.sends*r.decayLocked(clock.Now()), drawnCounts[s]; math.Abs(got-want) > 1e-6 {
				t.Errorf("server %s: got %v sends, want %v", s.ID, got, want)
			}
		}
	})
}

// TestPreferenceAllocatesNothing guards against allocations for each request without a usable connection.
func TestPreferenceAllocatesNothing(t *testing.T) {
	allocations := func(connections slipwick.ConnectionSource) float64 {
		b := newBalancerIn(300, "dc-0")
		b.Connections = connections
		b.SetSpeedAware(true)
		b.SetPosition(0, 1)
		b.SetPreferConnected(true)
		request := &Request{
			Pool:        "p",
			MaxIdleTime: time.Millisecond,
		}
		return testing.AllocsPerRun(1000, func() {
			lease, err := b.Acquire(request)
			if err != nil {
				t.Fatal(err)
			}
			b.Abandon(lease)
		})
	}
	if got, want := allocations(&noConnections{}), allocations(nil); got > want {
		t.Errorf("got %v allocations, want no more than the %v without regard to connections", got, want)
	}
}
