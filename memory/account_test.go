package memory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAccountStaysWithinItsLimit has 64 requests reserve and release at random: the limit must hold at
// each moment, and nothing may stay reserved.
func TestAccountStaysWithinItsLimit(t *testing.T) {
	a := &Account{
		Limit: 10_000,
	}
	var all sync.WaitGroup
	var granted atomic.Int64
	for range 64 {
		all.Go(func() {
			for range 200 {
				r := a.NewReservation()
				if r.Await(t.Context(), Body, rand.Int64N(2_000), time.Millisecond) {
					granted.Add(1)
				}
				r.TryGrow(Stream, rand.Int64N(2_000))
				r.TryGrow(Response, rand.Int64N(2_000))
				r.Shrink(Stream, r.byUse[Stream].Load()/2)
				r.Release()
			}
		})
	}
	all.Wait()
	if a.Peak() > a.Limit || a.Peak() == 0 || a.Held() != 0 || granted.Load() == 0 || a.waiterCount.Load() != 0 {
		t.Errorf("got peak %d, held %d, %d granted, %d waiting; want 1 to %d, 0, some, 0",
			a.Peak(), a.Held(), granted.Load(), a.waiterCount.Load(), a.Limit)
	}
	for _, use := range Uses() {
		if got := a.HeldFor(use); got != 0 {
			t.Errorf("got %d bytes held for %s, want 0", got, use)
		}
	}
}

// TestOptionalUsesLeaveRoomForBodies guards against stalled readers that take the room of requests
// that begin.
func TestOptionalUsesLeaveRoomForBodies(t *testing.T) {
	a := &Account{
		Limit: 1_000,
	}
	r := a.NewReservation()
	if !r.TryGrow(Stream, 500) || r.TryGrow(Stream, 1) {
		t.Error("got another share for streams, want half of the limit")
	}
	if !r.TryGrow(Response, 250) || r.TryGrow(Response, 1) {
		t.Error("got another share for responses, want three quarters of the limit")
	}
	if !r.TryGrow(Body, 250) || r.TryGrow(Body, 1) {
		t.Error("got another room for bodies, want the rest of the limit")
	}
	if got := r.Held(); got != 1_000 {
		t.Errorf("got %d bytes held by the request, want 1,000", got)
	}
}

// TestSmallCallsPassALargeOne guards against small requests that wait behind a large one although there is
// room for them, and against a large one that is passed for ever: no more bytes may pass it than it needs.
func TestSmallCallsPassALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const largeWait = 100 * time.Millisecond
		a := &Account{
			Limit: 100,
		}
		first := a.NewReservation()
		first.TryGrow(Body, 80)
		started := time.Now()
		go func() {
			if a.NewReservation().Await(t.Context(), Body, 50, largeWait) {
				t.Error("got room for 50 bytes, want none")
			}
		}()
		synctest.Wait()
		var took []time.Duration
		for range 7 {
			small := a.NewReservation()
			if !small.Await(t.Context(), Body, 10, time.Second) {
				t.Error("got no room for 10 bytes, want it")
			}
			took = append(took, time.Since(started))
			small.Release()
		}
		want := []time.Duration{0, 0, 0, 0, 0, largeWait, largeWait}
		if !slices.Equal(took, want) {
			t.Errorf("got room after %v, want %v: five times at once, and then once the large call gives up", took, want)
		}
		if waited, refused := a.Waited(); waited != 2 || refused != 1 {
			t.Errorf("got %d waits and %d refusals, want 2 and 1", waited, refused)
		}
	})
}

// TestPassedCallComesNext guards against a large call that small ones, which have passed it as often as they
// may, keep from the room that they give back.
func TestPassedCallComesNext(t *testing.T) {
	a := &Account{
		Limit: 100,
	}
	first, small := a.NewReservation(), a.NewReservation()
	first.TryGrow(Body, 60)
	large := a.enqueue(50)
	for range 5 {
		if !small.Await(t.Context(), Body, 8, time.Millisecond) {
			t.Fatal("got no room for a small call, want it")
		}
	}
	next := a.enqueue(20)
	first.Shrink(Body, 30)
	select {
	case <-next.granted:
		t.Error("got a call of 20 bytes that passes after 40, want the large call of 50 to come first")
	default:
	}
	first.Shrink(Body, 20)
	select {
	case <-large.granted:
	default:
		t.Error("got no room for the large call, want it")
	}
}

// TestAwaitEndsWithItsContext guards against requests that wait on for callers that are gone.
func TestAwaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{
			Limit: 100,
		}
		full := a.NewReservation()
		full.TryGrow(Body, 100)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		started := time.Now()
		if a.NewReservation().Await(ctx, Body, 1, time.Hour) || time.Since(started) != time.Millisecond {
			t.Errorf("got a wait of %v, want 1 ms and no room", time.Since(started))
		}
		full.Release()
		if a.Held() != 0 || a.waiterCount.Load() != 0 {
			t.Errorf("got %d held and %d waiting, want 0 and 0", a.Held(), a.waiterCount.Load())
		}
	})
}

// TestReleaseServesThoseWhoWait guards against requests that wait until their time is over though another
// has given back the room that they need.
func TestReleaseServesThoseWhoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{
			Limit: 100,
		}
		full := a.NewReservation()
		full.TryGrow(Body, 100)
		started := time.Now()
		time.AfterFunc(10*time.Millisecond, func() { full.Shrink(Body, 60) })
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() {
				if !a.NewReservation().Await(t.Context(), Body, 30, time.Second) || time.Since(started) != 10*time.Millisecond {
					t.Errorf("got room, or none, after %v, want it after 10ms", time.Since(started))
				}
			})
		}
		all.Wait()
	})
}

// TestRoomReleasedBeforeTheWaitIsUsed guards against a request that waits though room was released between
// its first try and the moment from which releases wake it.
func TestRoomReleasedBeforeTheWaitIsUsed(t *testing.T) {
	a := &Account{
		Limit: 100,
	}
	select {
	case <-a.enqueue(10).granted:
	default:
		t.Error("got no room in an empty account, want it")
	}
}
