package gatewayd

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// fakeSource grants permits with the same IDs as every other fakeSource, or refuses.
type fakeSource struct {
	mu       sync.Mutex
	lastID   uint64
	held     map[slipwick.Permit]bool
	invalid  int
	refuses  bool
	pressure bool
	status   slipwick.PermitStatus
}

func newFakeSource() *fakeSource {
	return &fakeSource{
		held: make(map[slipwick.Permit]bool),
	}
}

func (f *fakeSource) Acquire(_ context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		return slipwick.Permit{}, &slipwick.Error{
			Kind:       slipwick.KindOverloaded,
			Message:    "the pool is full",
			Remedy:     "send the request after Retry-After",
			Outcome:    slipwick.OutcomeNotRun,
			RetryAfter: 250 * time.Millisecond,
		}
	}
	f.lastID++
	permit := slipwick.Permit{
		Pool: request.Pool,
		ID:   f.lastID,
	}
	f.held[permit] = true
	return permit, nil
}

func (f *fakeSource) Release(permit slipwick.Permit, _ slipwick.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.held[permit] {
		f.invalid++
	}
	delete(f.held, permit)
}

func (f *fakeSource) UnderPressure(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pressure
}

func (f *fakeSource) PermitStatus(string) slipwick.PermitStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// set changes the source.
func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// counts returns how many permits were granted, are held and were released wrongly.
func (f *fakeSource) counts() (granted, held, invalid int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(f.lastID), len(f.held), f.invalid
}

// fakeCapacity is a pool with a number of slots.
type fakeCapacity struct {
	slots, reads int
}

func (f *fakeCapacity) PoolCapacity(string) slipwick.PoolCapacity {
	f.reads++
	if f.slots == 0 {
		return slipwick.PoolCapacity{}
	}
	return slipwick.PoolCapacity{
		Servers: []slipwick.ServerCapacity{
			{
				ID:    "b1",
				Slots: f.slots,
			},
		},
	}
}

// sourcesFixture has permit sources over fakes, for a fleet of ten routers.
type sourcesFixture struct {
	*permitSources
	active       bool
	capacity     *fakeCapacity
	small, large *fakeSource
}

func newSourcesFixture(slots int) *sourcesFixture {
	f := &sourcesFixture{
		active: true,
		capacity: &fakeCapacity{
			slots: slots,
		},
		small: newFakeSource(),
		large: newFakeSource(),
	}
	f.permitSources = &permitSources{
		Active:   func() bool { return f.active },
		Small:    f.small,
		Large:    f.large,
		Capacity: f.capacity,
		Routers:  func() int { return 10 },
	}
	return f
}

func (f *sourcesFixture) acquire(t *testing.T) slipwick.Permit {
	t.Helper()
	permit, err := f.Acquire(t.Context(), &slipwick.PermitRequest{
		Pool: "p",
	})
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// checkGranted checks how many permits each source has granted, and that none was released wrongly.
func (f *sourcesFixture) checkGranted(t *testing.T, when string, small, large int) {
	t.Helper()
	gotSmall, _, invalidSmall := f.small.counts()
	gotLarge, _, invalidLarge := f.large.counts()
	if gotSmall != small || gotLarge != large || invalidSmall+invalidLarge != 0 {
		t.Errorf("%s: got %d and %d permits and %d wrong releases, want %d and %d and none",
			when, gotSmall, gotLarge, invalidSmall+invalidLarge, small, large)
	}
}

func TestPoolsAreServedByTheSourceForTheirSlots(t *testing.T) {
	few := newSourcesFixture(slotsPerRouter*10 - 1)
	few.Release(few.acquire(t), slipwick.EvidenceGood)
	few.checkGranted(t, "39 slots for ten routers", 1, 0)
	many := newSourcesFixture(slotsPerRouter * 10)
	many.Release(many.acquire(t), slipwick.EvidenceGood)
	many.checkGranted(t, "40 slots for ten routers", 0, 1)
	for _, f := range []*sourcesFixture{few, many} {
		if _, held, _ := f.small.counts(); held != 0 || len(f.fromSmall) != 0 {
			t.Errorf("got %d permits held and %d remembered, want none", held, len(f.fromSmall))
		}
	}
}

// TestNoPermitsWithoutNeed guards against admission control that has an effect while it is not active,
// and against requests that wait for permits of a pool without usable servers or without source.
func TestNoPermitsWithoutNeed(t *testing.T) {
	f := newSourcesFixture(100)
	f.large.set(func(source *fakeSource) { source.pressure = true })
	f.active = false
	if got := f.acquire(t); got != (slipwick.Permit{}) || f.UnderPressure("p") || f.SourceName("p") != sourceNone {
		t.Errorf("not active: got %+v, want the zero permit without pressure", got)
	}
	f.Release(slipwick.Permit{}, slipwick.EvidenceNone)
	if f.active = true; !f.UnderPressure("p") || f.SourceName("p") != sourceShares {
		t.Error("active: got no pressure, want that of the source")
	}
	f = newSourcesFixture(0)
	if got := f.acquire(t); got != (slipwick.Permit{}) {
		t.Errorf("no servers: got %+v, want the zero permit", got)
	}
	f = newSourcesFixture(1)
	f.Small = nil
	if got := f.acquire(t); got != (slipwick.Permit{}) || f.UnderPressure("p") {
		t.Errorf("no source: got %+v, want the zero permit without pressure", got)
	}
	f.checkGranted(t, "no source", 0, 0)
}

// TestOnlySmallPoolsNeedPermits guards against permits of pools with many slots in a mode that asks only for
// those of pools with few, and against permits that leak when the mode changes.
func TestOnlySmallPoolsNeedPermits(t *testing.T) {
	few, many := newSourcesFixture(1), newSourcesFixture(100)
	before := many.acquire(t)
	for _, f := range []*sourcesFixture{few, many} {
		f.LargeActive = func() bool { return false }
		f.Release(f.acquire(t), slipwick.EvidenceGood)
	}
	many.large.set(func(source *fakeSource) { source.pressure = true })
	if many.UnderPressure("p") || many.SourceName("p") != sourceNone {
		t.Error("got a pool with many slots under pressure, want it without a source")
	}
	many.Release(before, slipwick.EvidenceGood)
	few.checkGranted(t, "few slots", 1, 0)
	many.checkGranted(t, "many slots", 0, 1)
}

// TestPermitsReturnToTheirSource guards against permits that leak when a pool changes its class while
// requests hold them; both sources use the same IDs.
func TestPermitsReturnToTheirSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourcesFixture(10)
		var held []slipwick.Permit
		for range 3 {
			held = append(held, f.acquire(t))
		}
		f.capacity.slots = 100
		for range 40 {
			time.Sleep(classCheckInterval)
			f.Release(f.acquire(t), slipwick.EvidenceGood)
		}
		for range 3 {
			held = append(held, f.acquire(t))
		}
		if granted, _, _ := f.large.counts(); granted < 20 {
			t.Errorf("got %d permits of the other source, want most after %v", granted, classHold)
		}
		for _, permit := range held {
			f.Release(permit, slipwick.EvidenceGood)
		}
		for name, source := range map[string]*fakeSource{"small": f.small, "large": f.large} {
			if _, left, invalid := source.counts(); left != 0 || invalid != 0 {
				t.Errorf("%s: got %d permits left and %d wrong releases, want none", name, left, invalid)
			}
		}
	})
}

// TestClassOfAPoolIsSteady guards against a pool that is served by turns by two sources which don't
// know of each other's requests, when a server is ejected for a moment.
func TestClassOfAPoolIsSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourcesFixture(41)
		for i := range 200 {
			// One server of the pool is ejected for a second of each two.
			f.capacity.slots = 41
			if i/10%2 == 1 {
				f.capacity.slots = 35
			}
			if i == 94 {
				f.capacity.slots = 0
			}
			f.Release(f.acquire(t), slipwick.EvidenceGood)
			time.Sleep(100 * time.Millisecond)
		}
		// The two requests within the check without usable servers need no permits.
		f.checkGranted(t, "ejections of a second", 0, 198)
		if f.capacity.reads > 101 {
			t.Errorf("got the capacity read %d times in 20 s, want once in %v", f.capacity.reads, classCheckInterval)
		}
	})
}

// TestClassIsKnownOnceAPoolHasServers guards against a small pool whose permits come from the source for
// large pools for classHold after a start, because the first check found no servers.
func TestClassIsKnownOnceAPoolHasServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourcesFixture(0)
		f.Release(f.acquire(t), slipwick.EvidenceGood)
		time.Sleep(classCheckInterval)
		f.capacity.slots = 10
		f.Release(f.acquire(t), slipwick.EvidenceGood)
		f.checkGranted(t, "the first check with servers", 1, 0)
	})
}

// BenchmarkPermitSources measures what the choice of a source adds to a permit.
func BenchmarkPermitSources(b *testing.B) {
	for name, slots := range map[string]int{"coordinator": 10, "shares": 100} {
		b.Run(name, func(b *testing.B) {
			f := newSourcesFixture(slots)
			request := &slipwick.PermitRequest{
				Pool: "p",
			}
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				permit, _ := f.Acquire(ctx, request)
				f.Release(permit, slipwick.EvidenceGood)
			}
		})
	}
}
