package balance

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

const (
	testEngines     = 12
	testEngineSlots = 48
	// chatsPerSecond loads each engine with about 20 requests of 0.8 s.
	chatsPerSecond = 300
	testPrompts    = 600
)

// newEngineFleet returns routers and 12 engines, of which the first has the given pace.
func newEngineFleet(routers int, first func(time.Duration) float64) *speedFleet {
	paces := []func(time.Duration) float64{first}
	for len(paces) < testEngines {
		paces = append(paces, constantPace(1))
	}
	f := newSpeedFleet(routers, testEngineSlots, paces...)
	for _, b := range f.routers {
		b.MarkCachesKnown()
	}
	return f
}

// newChat returns a request with one of the prompts, whose prefill takes 60 ms and whose output
// 400 to 1,100 ms.
func (f *speedFleet) newChat(prompts int) *speedJob {
	return &speedJob{
		request: prompt(1 + uint64(f.random.IntN(prompts))),
		first:   60 * time.Millisecond,
		output:  time.Duration(400+f.random.IntN(700)) * time.Millisecond,
	}
}

// TestShortSlowdownMovesNoPrompts guards against prompts that lose their cache because an engine is 2.5
// times slower for 600 ms, 15 in 100 of the time. The load is 300 requests a second, about 20 at each
// of 12 engines.
func TestShortSlowdownMovesNoPrompts(t *testing.T) {
	// moved returns the share of the first engine's prompts that are sent to another one.
	moved := func(routers int, first func(time.Duration) float64) (share float64) {
		synctest.Test(t, func(*testing.T) {
			f := newEngineFleet(routers, first)
			newJob := func() *speedJob { return f.newChat(testPrompts) }
			f.runJobs(chatsPerSecond, 10*time.Second, newJob)
			f.kept, f.moved = 0, 0
			f.runJobs(chatsPerSecond, 25*time.Second, newJob)
			share = float64(f.moved) / float64(f.kept+f.moved)
			f.runUntil(f.now() + 5*time.Second)
		})
		return share
	}
	const routers = 8
	blinks := blinking(1, 2.5, 600*time.Millisecond, 0.15)
	without, with := moved(routers, constantPace(1)), moved(routers, blinks)
	t.Logf("%.4f of the engine's prompts are sent elsewhere, %.4f without slowdowns", with, without)
	if with-without > 0.01 {
		t.Errorf("got %.4f of the prompts moved, %.4f without slowdowns, want 0.01 more at most", with, without)
	}
}

// TestSlowEngineGetsWhatItCanCarry guards against an engine that is overloaded or ejected while it is
// 2.5 times slower for 25 s, or flooded when it recovers. The load is 300 requests a second, about 20
// at each of 12 engines.
func TestSlowEngineGetsWhatItCanCarry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowFrom, slowUntil = 15 * time.Second, 40 * time.Second
		f := newEngineFleet(8, func(at time.Duration) float64 {
			if at >= slowFrom && at < slowUntil {
				return 2.5
			}
			return 1
		})
		newJob := func() *speedJob { return f.newChat(testPrompts) }
		// share returns the requests that the first engine gets, relative to the mean of the others.
		share := func(duration time.Duration) float64 {
			f.sent = make([]int, testEngines)
			f.runJobs(chatsPerSecond, duration, newJob)
			others := 0
			for _, n := range f.sent[1:] {
				others += n
			}
			return float64(f.sent[0]) * (testEngines - 1) / float64(others)
		}
		before := share(slowFrom)
		f.runJobs(chatsPerSecond, 10*time.Second, newJob)
		slow, running := share(slowUntil-f.now()), f.servers[0].running
		recovering, later := share(2*time.Second), share(20*time.Second)
		t.Logf("share of the usual: %.2f before, %.2f while slow with %d in flight, %.2f in the 2 s after, %.2f later",
			before, slow, running, recovering, later)
		if slow < 0.2 || slow > 0.5 {
			t.Errorf("got a share of %.2f while slow, want 0.2 to 0.5", slow)
		}
		if f.ejected > 0 {
			t.Errorf("got %d ejections, want none", f.ejected)
		}
		if recovering > 1.2 || later < 0.6 || later > 1.4 {
			t.Errorf("got shares of %.2f and %.2f after, want at most 1.2, and 0.6 to 1.4", recovering, later)
		}
		f.runUntil(f.now() + 5*time.Second)
	})
}

// hotPrompt is the key of a prompt that many requests have.
const hotPrompt = testPrompts + 1

// runHot sends requests of which a share has the hot prompt. It returns how many engines get more than
// a tenth of these, and the share of all requests that go to an engine above the load bound.
func (f *speedFleet) runHot(share float64, duration time.Duration) (engines int, overBound float64) {
	used := make(map[string]int)
	hot, all, over := 0, 0, 0
	f.onSend = func(job *speedJob) {
		running := 0
		for _, s := range f.servers {
			running += s.running
		}
		index, _ := strconv.Atoi(job.lease.Backend.ID)
		if float64(f.servers[index].running) > DefaultLoadFactor*float64(running)/testEngines+DefaultLoadSlack {
			over++
		}
		all++
		if job.request.Prompt[0].Key == hotPrompt {
			used[job.lease.Backend.ID]++
			hot++
		}
	}
	f.runJobs(chatsPerSecond, duration, func() *speedJob {
		job := f.newChat(testPrompts)
		if f.random.Float64() < share {
			job.request = prompt(hotPrompt)
		}
		return job
	})
	f.onSend = nil
	for _, n := range used {
		if float64(n) > 0.1*float64(hot) {
			engines++
		}
	}
	return engines, float64(over) / float64(all)
}

// TestHotPromptGetsEnginesAndGivesThemBack guards against one prompt that overloads its engine, also
// compared with choices without speeds, and against one that stays on many engines when its traffic is
// over. Of 300 requests a second, first 6 in 10 have the same prompt, then 1 in 50.
func TestHotPromptGetsEnginesAndGivesThemBack(t *testing.T) {
	overBound := make(map[bool]float64)
	for _, speedAware := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newEngineFleet(8, constantPace(1))
			for _, b := range f.routers {
				b.SetSpeedAware(speedAware)
			}
			f.runHot(0.6, 8*time.Second)
			hot, over := f.runHot(0.6, 6*time.Second)
			f.runHot(0.02, 6*time.Second)
			cold, _ := f.runHot(0.02, 8*time.Second)
			overBound[speedAware] = over
			t.Logf("with speeds %t: the prompt is on %d engines while hot, with %.4f of the requests above the bound, "+
				"and on %d later", speedAware, hot, over, cold)
			if hot < 3 || cold > 2 {
				t.Errorf("with speeds %t: got %d engines while hot and %d later, want at least 3, and at most 2", speedAware,
					hot, cold)
			}
			f.runUntil(f.now() + 5*time.Second)
		})
	}
	if overBound[true] > overBound[false]+0.005 || overBound[true] > 0.02 {
		t.Errorf("got %.4f of the requests above the load bound, %.4f without speeds, want no more, and 0.02 at most",
			overBound[true], overBound[false])
	}
}

// TestFullPoolKeepsPromptsWhereTheyAreCached guards against prompts that are prefilled at other engines
// because each engine of the pool has just rejected a request.
func TestFullPoolKeepsPromptsWhereTheyAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(testEngines)
		b.SetSpeedAware(true)
		b.MarkCachesKnown()
		cached := acquire(t, b, prompt(1))
		b.Release(cached, slipwick.EvidenceGood)
		for _, s := range b.pools["p"] {
			b.markFullLocked(s, time.Now())
		}
		for range 30 {
			lease := acquire(t, b, prompt(1))
			if lease.Backend.ID != cached.Backend.ID {
				t.Fatalf("got %s, want %s, which has the prompt cached", lease.Backend.ID, cached.Backend.ID)
			}
			b.Release(lease, slipwick.EvidenceGood)
		}
	})
}
