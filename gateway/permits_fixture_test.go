package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// permits is a permit source for tests: it grants slots permits at a time, in the order of arrival, and
// records all calls.
type permits struct {
	// name returns the backend server for a request; nil names none. refuse returns a refusal; nil
	// refuses nothing.
	name   func(*slipwick.PermitRequest) string
	refuse func(*slipwick.PermitRequest) error
	// probe makes all permits those of probes.
	probe bool
	// pressure is what UnderPressure returns.
	pressure atomic.Bool

	slots chan struct{}

	mu       sync.Mutex
	lastID   uint64
	requests []slipwick.PermitRequest
	// held has the permits that are not released, released the evidence of each release.
	held     map[uint64]bool
	released []slipwick.Evidence
	invalid  []uint64
}

func newPermits(slots int) *permits {
	return &permits{
		slots: make(chan struct{}, slots),
		held:  make(map[uint64]bool),
	}
}

func (p *permits) Acquire(ctx context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	p.mu.Lock()
	p.requests = append(p.requests, *request)
	p.mu.Unlock()
	if p.refuse != nil {
		if err := p.refuse(request); err != nil {
			return slipwick.Permit{}, err
		}
	}
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return slipwick.Permit{}, &slipwick.Error{
			Kind:    slipwick.KindOverloaded,
			Message: "the request ended while it waited",
			Remedy:  "send it again",
			Outcome: slipwick.OutcomeNotRun,
			Cause:   ctx.Err(),
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.held[p.lastID] = true
	permit := slipwick.Permit{
		Pool:  request.Pool,
		ID:    p.lastID,
		Probe: p.probe,
	}
	if p.name != nil {
		permit.Backend = p.name(request)
	}
	return permit, nil
}

func (p *permits) Release(permit slipwick.Permit, evidence slipwick.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held[permit.ID] {
		p.invalid = append(p.invalid, permit.ID)
		return
	}
	delete(p.held, permit.ID)
	p.released = append(p.released, evidence)
	<-p.slots
}

func (p *permits) UnderPressure(string) bool { return p.pressure.Load() }

// calls returns the requests so far.
func (p *permits) calls() []slipwick.PermitRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]slipwick.PermitRequest(nil), p.requests...)
}

// checkNoLeak checks that each permit was released exactly once, within a moment, and that the balancer
// counts nothing in flight.
func (p *permits) checkNoLeak(t *testing.T, f *fixture, granted int) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.outstanding() == 0 && f.gateway.InFlight() == 0 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.held) != 0 || len(p.invalid) != 0 || int(p.lastID) != granted {
		t.Errorf("got %d permits of which %d are held and %d were released twice, want %d, 0, 0",
			p.lastID, len(p.held), len(p.invalid), granted)
	}
	if got := f.gateway.Balancer.RequestsInFlight("p"); got != 0 {
		t.Errorf("got %v requests in flight at the end, want 0", got)
	}
}

// evidence returns the evidence of each release so far.
func (p *permits) evidence() []slipwick.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]slipwick.Evidence(nil), p.released...)
}

func (p *permits) outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// overloaded returns a refusal.
func overloaded(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "the pool is full",
		Remedy:     "send the request after Retry-After",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

// newPermitFixture returns a gateway with a permit source.
func newPermitFixture(t *testing.T, source *permits, backends ...*backend) *fixture {
	t.Helper()
	f := newFixture(t, backends...)
	f.gateway.Permits = source
	return f
}
