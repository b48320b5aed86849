package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// The load that ends are told apart under: that of an incident in which a request came
// ten times a second for a quarter of a minute, at 18 engines with 90 other requests a
// second, of which some run for seconds.
const (
	crowdEngines = 18
	crowdEvery   = 11 * time.Millisecond
	crowdFor     = 16 * time.Second
	badEvery     = 100 * time.Millisecond
	// badRun is how long the request runs until its engine ends, awayFor how long that
	// is away, newsAfter how late a router hears of an end, and firstEventAfter how
	// long a request runs until its first event.
	badRun          = 80 * time.Millisecond
	awayFor         = 3 * time.Second
	newsAfter       = 30 * time.Millisecond
	firstEventAfter = 60 * time.Millisecond
	harmlessAfter   = 500 * time.Millisecond
	meanRun         = 800 * time.Millisecond
	crowdAttempts   = 2
	callersTries    = 2
)

// crowd is requests at engines, on a clock of its own.
type crowd struct {
	random *rand.Rand
	ledger *Ledger
	now    time.Duration
	due    moments
	// engines are the lives of engines; 0 is one that is away.
	engines [crowdEngines]int64
	lives   int64
	running map[*visit]bool
	ends    int
	served  int
	visits  int
	// markAll has also those marked that have had events for long.
	markAll bool
}

// visit is one request at one engine.
type visit struct {
	key      Key
	engine   int
	began    time.Duration
	attempts int
	tries    int
	run      *Run
	// number counts the visits, in the order in which they began.
	number int
}

const badKey Key = 1

func (c *crowd) at(after time.Duration, do func()) {
	heap.Push(&c.due, moment{
		at: c.now + after,
		do: do,
	})
}

// send sends a request to an engine that lives, if it is not quarantined.
func (c *crowd) send(v visit) {
	engine := c.random.IntN(crowdEngines)
	for c.engines[engine] == 0 {
		engine = (engine + 1) % crowdEngines
	}
	c.visits++
	v.engine, v.began, v.number = engine, c.now, c.visits
	run, ok := c.ledger.Begin(v.key, &slipwick.Backend{
		ID:   fmt.Sprint(engine),
		Born: c.engines[engine],
	}, false, func() { delete(c.running, &v) })
	if !ok {
		return
	}
	v.run = run
	c.running[&v] = true
	after := time.Duration(c.random.ExpFloat64() * float64(meanRun))
	if v.key == badKey {
		after = badRun
	}
	c.at(after, func() {
		if !c.running[&v] {
			return
		}
		if v.key == badKey {
			c.end(v.engine)
			return
		}
		delete(c.running, &v)
		v.run.End(FateSurvived)
		c.served++
	})
}

// end has an engine end, and all that runs there sent again.
func (c *crowd) end(engine int) {
	c.ends++
	c.engines[engine] = 0
	c.at(awayFor, func() {
		c.lives++
		c.engines[engine] = c.lives * 10_000
	})
	there := make([]*visit, 0, len(c.running))
	for v := range c.running {
		if v.engine == engine {
			there = append(there, v)
		}
	}
	// By the order in which they came, so that a seed draws alike.
	slices.SortFunc(there, func(a, b *visit) int {
		return cmp.Or(cmp.Compare(a.began, b.began), cmp.Compare(a.number, b.number))
	})
	for _, v := range there {
		delete(c.running, v)
		fate := FateEnded
		if v.key != badKey && c.now-v.began > firstEventAfter+harmlessAfter && !c.markAll {
			fate = FateUnknown
		}
		c.at(newsAfter, func() { v.run.End(fate) })
		again := *v
		again.attempts++
		if again.attempts >= crowdAttempts {
			again.attempts, again.tries = 0, again.tries+1
		}
		if again.tries < callersTries {
			c.at(newsAfter/2, func() { c.send(again) })
		}
	}
}

// play has the request come until it is over, and gives what was told of the others.
func (c *crowd) play() (quarantined, twice, others int) {
	for engine := range c.engines {
		c.lives++
		c.engines[engine] = c.lives * 10_000
	}
	for at := time.Duration(0); at < crowdFor; at += crowdEvery {
		key := Key(c.random.Uint64()) + 2
		others++
		c.at(at, func() {
			c.send(visit{
				key: key,
			})
		})
	}
	for at := time.Second; at < crowdFor; at += badEvery {
		c.at(at, func() {
			c.send(visit{
				key: badKey,
			})
		})
	}
	for len(c.due) > 0 {
		next := heap.Pop(&c.due).(moment)
		c.now = next.at
		next.do()
	}
	for _, key := range c.ledger.records.Keys() {
		r, _ := c.ledger.records.Peek(key)
		switch {
		case key == badKey:
		case r.quarantined:
			quarantined++
		case len(r.marks) >= 2:
			twice++
		}
	}
	return quarantined, twice, others
}

func newCrowd(seed uint64) *crowd {
	return &crowd{
		random:  rand.New(rand.NewPCG(seed, seed)),
		ledger:  NewLedger("r"),
		running: make(map[*visit]bool),
	}
}

// TestBystandersAreNotQuarantined has one request end engines beside a crowd of others, which
// are sent again together with it: it alone is quarantined, and soon.
func TestBystandersAreNotQuarantined(t *testing.T) {
	var ends, quarantined, twice, others int
	const seeds = 8
	for seed := range uint64(seeds) {
		c := newCrowd(seed)
		h, w, o := c.play()
		ends, quarantined, twice, others = ends+c.ends, quarantined+h, twice+w, others+o
		if !c.ledger.IsQuarantined(badKey) {
			t.Errorf("seed %d: got the request that ends engines not quarantined", seed)
		}
		if c.ends > 2*mostEnds {
			t.Errorf("seed %d: got %d engines ended, want at most %d", seed, c.ends, 2*mostEnds)
		}
	}
	t.Logf("%d engines ended, %d others of %d quarantined, %d with two ends", ends, quarantined, others, twice)
	if quarantined > 0 {
		t.Errorf("got %d others of %d quarantined, want none", quarantined, others)
	}
}

// moment is something to do at a time, moments are those to come.
type moment struct {
	at time.Duration
	do func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}
