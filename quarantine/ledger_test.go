package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// sendTo has a request run at a life of a backend server, and meet a fate there.
func sendTo(t *testing.T, l *Ledger, key Key, id string, born int64, fate Fate) {
	t.Helper()
	run, ok := l.Begin(key, &slipwick.Backend{
		ID:   id,
		Born: born,
	}, false, func() {})
	if !ok {
		t.Fatalf("request %v at %s: got quarantined, want it sent", key, id)
	}
	run.End(fate)
}

func TestThirdEndQuarantinesARequest(t *testing.T) {
	l := NewLedger("r")
	var quarantined []int
	l.OnQuarantined = func(_ Key, ends int) { quarantined = append(quarantined, ends) }
	for i, id := range []string{"a", "b", "c"} {
		if l.IsQuarantined(7) {
			t.Errorf("got quarantined after %d ends", i)
		}
		sendTo(t, l, 7, id, 0, FateEnded)
	}
	if got := l.Admit(7); !got.Refused || got.RetryAfter < firstPause/2 {
		t.Errorf("got %+v after three ends, want it quarantined, and when to come back", got)
	}
	if _, ok := l.Begin(7, &slipwick.Backend{}, false, func() {}); ok {
		t.Error("got a quarantined request sent")
	}
	if l.Admit(8).Refused || l.Count() != 1 || !slices.Equal(quarantined, []int{3}) {
		t.Errorf("got %d quarantined, told of %v, want one that three ended under", l.Count(), quarantined)
	}
}

// TestEndsCountByLife has two routers see the same end, and one server end twice.
func TestEndsCountByLife(t *testing.T) {
	l := NewLedger("r")
	for range 4 {
		sendTo(t, l, 7, "a", 1_000, FateEnded)
	}
	l.Hear([]Mark{{Key: 7, Server: 5, Life: 2_000}, {Key: 7, Server: 5, Life: 2_400}})
	if l.IsQuarantined(7) {
		t.Error("got quarantined after the ends of two lives, want three")
	}
	sendTo(t, l, 7, "a", 9_000, FateEnded)
	if !l.IsQuarantined(7) {
		t.Error("got not quarantined after the end of a second life under one ID, want three counted")
	}
}

// TestLivesWithoutABirthAreToldApartByTime ends servers that do not say when they began.
func TestLivesWithoutABirthAreToldApartByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger("r")
		for i := range 3 {
			second, _ := l.Begin(7, &slipwick.Backend{
				ID: "a",
			}, false, func() {})
			sendTo(t, l, 7, "a", 0, FateEnded)
			second.End(FateEnded)
			if got, want := l.IsQuarantined(7), i == 2; got != want {
				t.Errorf("got quarantined %t after %d ends of one server, want %t", got, i+1, want)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// TestRequestThatRanWellIsExcused lets one run to its end after two ends. News of the
// earlier ends that come late change nothing.
func TestRequestThatRanWellIsExcused(t *testing.T) {
	l := NewLedger("r")
	sendTo(t, l, 7, "a", 1_000, FateEnded)
	sendTo(t, l, 7, "b", 1_000, FateEnded)
	early := l.News()
	sendTo(t, l, 7, "c", 1_000, FateSurvived)
	l.Hear(early)
	sendTo(t, l, 7, "d", 1_000, FateEnded)
	if l.IsQuarantined(7) {
		t.Error("got quarantined by ends that were excused")
	}
	other := NewLedger("s")
	other.Hear(slices.Concat(early, []Mark{{Key: 7, Server: 9, Life: 1}}))
	if !other.IsQuarantined(7) {
		t.Fatal("another router: got not quarantined after three ends")
	}
	released := 0
	other.OnReleased = func(Key) { released++ }
	other.Hear(l.News())
	if other.IsQuarantined(7) || released != 1 {
		t.Errorf("another router: got quarantined %t, released %d times, want it released once",
			other.IsQuarantined(7), released)
	}
}

// TestRunsAreStoppedWhenTheirRequestIsQuarantined has one wait at a server when the third of
// the others ends.
func TestRunsAreStoppedWhenTheirRequestIsQuarantined(t *testing.T) {
	l := NewLedger("r")
	stopped := 0
	run, _ := l.Begin(7, &slipwick.Backend{
		ID: "d",
	}, false, func() { stopped++ })
	for _, id := range []string{"a", "b", "c"} {
		sendTo(t, l, 7, id, 0, FateEnded)
	}
	if stopped != 1 {
		t.Errorf("got %d stops, want one", stopped)
	}
	run.End(FateUnknown)
	if len(l.running) != 0 {
		t.Errorf("got %d requests running, want none", len(l.running))
	}
}

// TestOneRouterTriesAgain waits out the pauses of a request that goes on to end servers,
// and is served at last.
func TestOneRouterTriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routers := []slipwick.Router{{ID: "r1"}, {ID: "r2"}, {ID: "r3"}}
		var ledgers []*Ledger
		for _, r := range routers {
			l := NewLedger(r.ID)
			l.Routers = func() []slipwick.Router { return routers }
			ledgers = append(ledgers, l)
		}
		hear := func() {
			var news []Mark
			for _, l := range ledgers {
				news = append(news, l.News()...)
			}
			for _, l := range ledgers {
				l.Hear(news)
				l.News()
			}
		}
		for _, id := range []string{"a", "b", "c"} {
			sendTo(t, ledgers[0], 7, id, 0, FateEnded)
		}
		hear()
		started := time.Now()
		for i, want := range []time.Duration{firstPause, 3 * firstPause, 7 * firstPause} {
			var trials int
			for trials == 0 {
				time.Sleep(time.Second)
				for _, l := range ledgers {
					for range 2 {
						if l.Admit(7).Trial {
							trials++
							run, ok := l.Begin(7, &slipwick.Backend{ID: fmt.Sprint("later", i)}, true, func() {})
							if !ok {
								t.Fatal("got no trial sent")
							}
							run.End([]Fate{FateEnded, FateEnded, FateSurvived}[i])
						}
					}
				}
			}
			hear()
			if got := time.Since(started).Round(firstPause); trials != 1 || got != want {
				t.Errorf("trial %d: got %d tries after %v, want one after %v", i, trials, got, want)
			}
		}
		for _, l := range ledgers {
			if l.Count() != 0 {
				t.Errorf("router %s: got quarantined after it ran well, want it served", l.Self)
			}
		}
	})
}

// TestRoutersThatHeardTheSameHoldTheSame has routers hear the same marks in any order,
// some twice.
func TestRoutersThatHeardTheSameHoldTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Mark {
			return Mark{
				Key:     Key(rapid.IntRange(1, 4).Draw(t, "key")),
				Server:  uint64(rapid.IntRange(1, 3).Draw(t, "server")),
				Life:    int64(rapid.IntRange(1, 3).Draw(t, "life")) * 5_000,
				Excused: rapid.IntRange(0, 3).Draw(t, "excused") == 0,
			}
		}), 0, 40).Draw(t, "marks")
		a, b := NewLedger("a"), NewLedger("b")
		a.Hear(marks)
		for _, mark := range rapid.Permutation(slices.Concat(marks, marks[:len(marks)/2])).Draw(t, "order") {
			b.Hear([]Mark{mark})
		}
		for key := range Key(5) {
			if got, want := b.IsQuarantined(key), a.IsQuarantined(key); got != want {
				t.Errorf("request %v: got quarantined %t and %t, want the same", key, got, want)
			}
		}
	})
}

// TestLedgerIsBounded has far more requests than are kept, one of them quarantined and asked
// for now and then.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger("r")
	for _, id := range []string{"a", "b", "c"} {
		sendTo(t, l, 1, id, 0, FateEnded)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 5 * recordsKept {
		sendTo(t, l, Key(random.Uint64()), "d", 0, FateEnded)
		if i%1000 == 0 && !l.Admit(1).Refused {
			t.Fatalf("got the quarantined request forgotten after %d others", i)
		}
	}
	if got := l.records.Len(); got > recordsKept {
		t.Errorf("got %d records, want at most %d", got, recordsKept)
	}
	if got := len(l.News()); got > newsKept {
		t.Errorf("got %d marks to tell, want at most %d", got, newsKept)
	}
	recent := l.Recent(10)
	if len(recent) > 10 || recent[0].Key != 1 {
		t.Errorf("got %v told again, want the quarantined one first and at most ten", recent)
	}
}

// TestPopularRequestOutlivesEndsAtOnce has callers ask for one thing fifty times a
// second, and three of four servers end at the same moment, as when a rack fails: each of
// them runs it then, and it is none of its doing.
func TestPopularRequestOutlivesEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger("r")
		begin := func(server string) *Run {
			run, ok := l.Begin(7, &slipwick.Backend{ID: server}, false, func() {})
			if !ok {
				t.Fatal("got the request quarantined")
			}
			return run
		}
		for i := range 100 {
			run := begin(fmt.Sprint("s", i%4))
			time.Sleep(20 * time.Millisecond)
			run.End(FateSurvived)
		}
		running := []*Run{begin("s0"), begin("s1"), begin("s2")}
		for _, run := range running {
			run.End(FateEnded)
		}
		if l.IsQuarantined(7) {
			t.Error("got a request quarantined that ran well a moment before")
		}
		// Were it to end servers from now on, it would be found out all the same.
		time.Sleep(harmlessFor)
		for _, server := range []string{"s3", "s4", "s5"} {
			begin(server).End(FateEnded)
			time.Sleep(time.Second)
		}
		if !l.IsQuarantined(7) {
			t.Error("got a request not quarantined under which three servers ended, and that ran well nowhere since")
		}
	})
}
