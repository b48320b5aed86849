package soak

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick/internal/fixedseed"
	"github.com/slipwick/slipwick/standin/scripted"
)

var (
	exchangeRouters = flag.Int("exchange-routers", 8, "how many gateways the tests of exchanges start")
	exchangeBinary  = flag.String("exchange-binary", "", "the slipwickd to start there; empty builds this one")
	exchangePermits = flag.Bool("exchange-permits", true, "whether admission control is on there")
	exchangePlays   = flag.Int("exchange-plays", 1, "how often TestServersOfKnownFaults plays each fault")
)

const (
	// playTime is how long callers send requests in one play, maxLateTime bounds how long servers may then still work.
	playTime    = 2500 * time.Millisecond
	maxLateTime = 5 * time.Second
	// recoveryPlays is the number of plays with sound servers before the one that is measured.
	recoveryPlays = 2
	// checks is the number of plays in CI.
	checks = 8
	// minSoundShare is the share of the requests that have to be served while nothing goes wrong; the callers of
	// leavePercent leave.
	minSoundShare = 0.97
)

// pauses are those of the servers before they respond, some of them longer than callers wait.
var pauses = []time.Duration{
	0, 0, 0, 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond,
	1900 * time.Millisecond,
}

func TestMain(m *testing.M) { fixedseed.Main(m, checks) }

// TestServersOfAnyKind guards against exchanges that run a request twice, refuse one that ran, or mix up responses:
// it draws how servers answer, beside kills, stops, freezes and cuts.
func TestServersOfAnyKind(t *testing.T) {
	f := newExchangeFleet(t)
	var all []scripted.Violation
	rapid.Check(t, func(rt *rapid.T) {
		mix := scripted.DrawMix(rt, pauses)
		disruptions := rapid.SliceOfN(rapid.Custom(drawDisruption), 0, maxDisruptions).Draw(rt, "disruptions")
		f.play(mix, disruptions)
		violations := f.ledger.Violations()
		all = append(all, violations...)
		if len(violations) > 0 {
			rt.Errorf("%d cases of broken rules: %s", len(violations), summary(violations))
		}
	})
	for range recoveryPlays {
		f.play(&scripted.Mix{}, nil)
	}
	before, heldBefore := f.ledger.Counts(), f.held()
	f.play(&scripted.Mix{}, nil)
	after := f.ledger.Counts()
	sound := after.Since(before)
	t.Logf("sound servers: %d runs held places for %v each; they work %v on one, and their %d places can be held for %v",
		sound.Runs, (f.held()-heldBefore)/time.Duration(max(sound.Runs, 1)), exchangeWork,
		len(f.slots)*exchangeSlots, time.Duration(len(f.slots)*exchangeSlots)*playTime)
	if served := sound.ByStatus[200]; float64(served) < minSoundShare*float64(sound.Requests) {
		t.Errorf("got %d of %d requests served by sound servers, by status %v", served, sound.Requests, sound.ByStatus)
	}
	t.Logf("%d requests, %d sends, %d runs, by status %v; at the end, with sound servers, %v; cases by rule: %v",
		after.Requests, after.Sends, after.Runs, after.ByStatus, sound.ByStatus, byRule(all))
	for _, v := range f.recorder.violationsSoFar() {
		t.Error(v)
	}
	f.end()
}

// summary returns the number of cases of each rule, and the first ones.
func summary(violations []scripted.Violation) string {
	const shown = 4
	text, counts := "", make(map[scripted.Rule]int)
	for _, v := range violations {
		if counts[v.Rule]++; counts[v.Rule] <= shown {
			text += fmt.Sprintf("\n%s: request %s: %s", v.Rule, v.Request, v.Text)
		}
	}
	return fmt.Sprint(counts) + text
}

// byRule returns the number of cases of each rule.
func byRule(violations []scripted.Violation) map[scripted.Rule]int {
	counts := make(map[scripted.Rule]int)
	for _, v := range violations {
		counts[v.Rule]++
	}
	return counts
}

const (
	maxDisruptions    = 6
	minDisruptionTime = 50 * time.Millisecond
	maxDisruptionTime = 2 * time.Second
)

// disruption is something that goes wrong for a time, beginning some time after the start of a play.
type disruption struct {
	Kind     string
	After    time.Duration
	Duration time.Duration
	// Gateway chooses the gateway, or the gateways whose links are cut, Server the server; each modulo their number.
	Gateway, Server int
}

func drawDisruption(rt *rapid.T) disruption {
	milliseconds := func(least, most time.Duration, label string) time.Duration {
		return time.Duration(rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(rt, label)) * time.Millisecond
	}
	return disruption{
		Kind: rapid.SampledFrom([]string{
			"kill", "terminate", "freeze", "cut", "reset", "cut server", "reset server", "restart server", "freeze", "kill",
		}).Draw(rt, "kind"),
		After:    milliseconds(0, playTime, "after"),
		Duration: milliseconds(minDisruptionTime, maxDisruptionTime, "for"),
		Gateway:  rapid.IntRange(0, 83).Draw(rt, "gateway"),
		Server:   rapid.IntRange(0, 7).Draw(rt, "server"),
	}
}

// disrupt makes something go wrong for its time.
func (f *exchangeFleet) disrupt(d disruption) {
	time.Sleep(d.After)
	g := f.gateways[d.Gateway%len(f.gateways)]
	switch d.Kind {
	case "kill":
		g.kill()
		time.Sleep(d.Duration / 2)
		g.start(f.t)
	case "terminate":
		g.terminate(f.recorder)
		g.start(f.t)
	case "freeze":
		g.signal(syscall.SIGSTOP, true)
		time.Sleep(d.Duration)
		g.signal(syscall.SIGCONT, false)
	case "restart server":
		f.restartServer(d)
	default:
		f.cut(d)
	}
}

// cut cuts the links of a group of gateways to one server or to all for a time.
func (f *exchangeFleet) cut(d disruption) {
	links := f.links[d.Gateway%len(f.links)]
	if d.Kind == "cut server" || d.Kind == "reset server" {
		at := d.Server % len(links)
		links = links[at : at+1]
	}
	mode := proxyStalls
	if d.Kind == "reset" || d.Kind == "reset server" {
		mode = proxyResets
	}
	for _, link := range links {
		link.setMode(mode)
	}
	time.Sleep(d.Duration)
	for _, link := range links {
		link.setMode(proxyForwards)
	}
}

// play has callers send requests for playTime while the servers answer by the mix, and ends all disruptions.
func (f *exchangeFleet) play(m *scripted.Mix, disruptions []disruption) {
	f.mix.Store(m)
	var disrupted, callers sync.WaitGroup
	for _, d := range disruptions {
		disrupted.Go(func() { f.disrupt(d) })
	}
	end := time.Now().Add(playTime)
	for i := range max(minCallers, 2*len(f.gateways)) {
		callers.Go(func() { f.newCaller(i).run(end) })
	}
	callers.Wait()
	disrupted.Wait()
	f.awaitIdle()
	f.mix.Store(&scripted.Mix{})
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT, false)
		g.start(f.t)
	}
	f.awaitReady()
}

// awaitIdle waits until no server works on a request, for maxLateTime at most.
func (f *exchangeFleet) awaitIdle() {
	isBusy := func(s *scripted.Server) bool { return s.InFlight() > 0 }
	f.mu.Lock()
	defer f.mu.Unlock()
	for started := time.Now(); time.Since(started) < maxLateTime; time.Sleep(pollInterval) {
		if !slices.ContainsFunc(f.servers, isBusy) {
			return
		}
	}
}

// held returns for how long requests have held places of all servers.
func (f *exchangeFleet) held() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum time.Duration
	for _, s := range f.servers {
		sum += s.Held()
	}
	return sum
}

// areReady reports whether all gateways are ready.
func (f *exchangeFleet) areReady() bool {
	return !slices.ContainsFunc(f.gateways, func(g *gateway) bool { return !g.isReady() })
}
