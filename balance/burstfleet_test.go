package balance

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	burstEngines, burstDataCentres = 90, 4
	// burstStep is the time of a decoding step, which ends with an event, burstTokensPerMS how many
	// prompt tokens an engine prefills in a ms.
	burstStep        = 3090 * time.Microsecond
	burstTokensPerMS = 61.8
	// hotShare is the part of its kind's requests that the hot prompt gets in a burst, unevenness the
	// exponent of the popularity of the other prompts.
	hotShare   = 0.25
	unevenness = 0.45
)

// burstSeed is the seed of the random load, to try others than the usual one.
var burstSeed = flag.Uint64("burst-seed", 1, "seed of the load in bursts")

// burstKind is a kind of request: how many a second, the shared and own tokens of its prompts, its events
// and how many different shared prompts it has.
type burstKind struct {
	perSecond       float64
	shared, own     int
	events, prompts int
}

// burstKinds is the load of docs/design/hard-load.md, step 1.
var burstKinds = []burstKind{{76, 10512, 1300, 38, 220}, {290, 699, 130, 29, 540}, {132, 2041, 360, 2, 336}}

// burstFleet has routers and engines in four data centres. Hubs relay the updates of the routers.
type burstFleet struct {
	*speedFleet
	hubs int
	// lost says whether an update from a router doesn't reach another one, by way of a hub.
	lost func(from, hub, to int) bool
	// cached has the prompts that each engine has prefilled. shared counts the shared tokens of all
	// requests, again those that were not cached at their engine although another one had them.
	cached        []map[uint64]bool
	known         map[uint64]bool
	shared, again int
	arrivals      []burstArrival
}

// burstArrival is a request that arrived at an engine.
type burstArrival struct {
	at      time.Duration
	isAbove bool
}

func newBurstFleet(routers int) *burstFleet {
	paces := slices.Repeat([]func(time.Duration) float64{constantPace(1)}, burstEngines)
	f := &burstFleet{
		speedFleet: newSpeedFleet(routers, 32, paces...),
		hubs:       routers,
		lost:       func(int, int, int) bool { return false },
		known:      make(map[uint64]bool),
	}
	const maxMesh = 16
	if routers > maxMesh {
		f.hubs = int(math.Sqrt(float64(routers)))
	}
	f.events, f.random = nil, rand.New(rand.NewPCG(*burstSeed, uint64(routers)))
	for i := range f.entries {
		f.entries[i].DataCentre = fmt.Sprint("dc-", i%burstDataCentres)
		f.cached = append(f.cached, make(map[uint64]bool))
	}
	var peers []string
	for hub := range f.hubs {
		peers = append(peers, fmt.Sprint(hub))
		f.schedule(time.Duration(hub)*updateDelay/time.Duration(f.hubs), func() { f.relay(hub, 1) })
	}
	for i, b := range f.routers {
		b.DataCentre, b.Random = fmt.Sprint("dc-", i%burstDataCentres), f.random.Float64
		b.SetBackends(f.entries)
		b.MarkCachesKnown()
		b.SetPeers(peers, routers-1)
	}
	return f
}

// relay sends the updates of a hub's routers to all routers, five times a second. They arrive 200 to 400 ms
// later, so that a router's view is 200 to 600 ms old.
func (f *burstFleet) relay(hub int, sequence uint64) {
	updates := make([]Update, len(f.routers))
	for from := hub; from < len(f.routers); from += f.hubs {
		updates[from] = f.routers[from].TakeUpdate()
	}
	for to, b := range f.routers {
		sum, isLost := make(map[uint64]InFlight), false
		var received Update
		for from := hub; from < len(f.routers); from += f.hubs {
			if from == to {
				continue
			}
			if f.lost(from, hub, to) {
				isLost = true
				continue
			}
			received.CachedParts = append(received.CachedParts, updates[from].CachedParts...)
			received.Speeds = append(received.Speeds, updates[from].Speeds...)
			for _, in := range updates[from].InFlight {
				in.Count += sum[in.Server].Count
				in.PrefillTokens += sum[in.Server].PrefillTokens
				sum[in.Server] = in
			}
		}
		if isLost && len(sum) == 0 {
			continue
		}
		for _, in := range sum {
			received.InFlight = append(received.InFlight, in)
		}
		f.schedule(time.Duration((1+f.random.Float64())*float64(updateDelay)), func() {
			b.ReceiveCounts(fmt.Sprint(hub), sequence, received.InFlight)
			b.ReceiveCachedParts(received.CachedParts)
			b.ReceiveSpeedCounts(received.Speeds)
		})
	}
	f.schedule(updateDelay, func() { f.relay(hub, sequence+1) })
}

// runLoad sends the load, multiplied by the factor, until a time. hot is the kind that has a hot prompt, -1
// for none.
func (f *burstFleet) runLoad(until time.Duration, factor float64, hot int) {
	sum := 0.0
	for _, k := range burstKinds {
		sum += k.perSecond
	}
	for f.now() < until {
		f.runUntil(f.now() + time.Duration(f.random.ExpFloat64()/sum/factor*float64(time.Second)))
		kind, draw := 0, f.random.Float64()*sum
		for draw -= burstKinds[0].perSecond; draw >= 0 && kind < len(burstKinds)-1; draw -= burstKinds[kind].perSecond {
			kind++
		}
		f.sendOf(kind, kind == hot && f.random.Float64() < hotShare)
	}
}

// sendOf sends a request of a kind through a random router.
func (f *burstFleet) sendOf(kind int, isHot bool) {
	k := &burstKinds[kind]
	// This inverts the distribution function of Zipf's law, as if ranks were continuous.
	rank := int(float64(k.prompts) * math.Pow(f.random.Float64(), 1/(1-unevenness)))
	if isHot {
		rank = k.prompts / 2
	}
	request := prompt(uint64(kind*1000 + rank + 1))
	request.Prompt[0].Tokens, request.UniqueTokens = k.shared, k.own
	f.onSend = func(job *speedJob) { f.arrive(job, k) }
	f.send(&speedJob{
		request: request,
		router:  f.random.IntN(len(f.routers)),
		arrived: f.now(),
		output:  time.Duration(k.events) * burstStep,
	})
}

// arrive notes whether the request's engine is above the load bound, and how long its prefill takes.
func (f *burstFleet) arrive(job *speedJob, k *burstKind) {
	index, _ := strconv.Atoi(job.lease.Backend.ID)
	sum := 0
	for _, s := range f.servers {
		sum += s.running + len(s.queue)
	}
	load, mean := f.servers[index].running+len(f.servers[index].queue), float64(sum)/burstEngines
	f.arrivals = append(f.arrivals, burstArrival{
		at:      f.now(),
		isAbove: float64(load) > DefaultLoadFactor*mean+DefaultLoadSlack,
	})
	key, tokens := job.request.Prompt[0].Key, k.own
	f.shared += k.shared
	if !f.cached[index][key] {
		tokens += k.shared
		if f.known[key] {
			f.again += k.shared
		}
	}
	f.cached[index][key], f.known[key] = true, true
	job.first = time.Duration(float64(tokens)/burstTokensPerMS*float64(time.Millisecond)) + burstStep
}

// worstWindow returns the largest share of the arrivals of any 5 s that came to engines above the bound.
func (f *burstFleet) worstWindow() (worst float64) {
	const window = 5 * time.Second
	first, above := 0, 0
	for i, a := range f.arrivals {
		if a.isAbove {
			above++
		}
		for ; a.at-f.arrivals[first].at > window; first++ {
			if f.arrivals[first].isAbove {
				above--
			}
		}
		if first > 0 {
			worst = max(worst, float64(above)/float64(i-first+1))
		}
	}
	return worst
}
