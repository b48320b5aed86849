package gatewayd

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/routing"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

func overloadRefusal(pool, workspace string) *gateway.RequestSummary {
	return &gateway.RequestSummary{
		RequestID:  "q1",
		Route:      &routing.Route{},
		Pool:       pool,
		Workspace:  workspace,
		Result:     "refused",
		Reason:     gateway.ReasonOverloaded,
		RetryAfter: 350 * time.Millisecond,
	}
}

// safeBuffer is a buffer for concurrent use.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *safeBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.buffer.String()), "\n")
}

// TestOverloadIsLoggedByPool guards against an overload whose cause the log doesn't name, and a pool
// that is logged for ever.
func TestOverloadIsLoggedByPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		output := &safeBuffer{}
		log := zerolog.New(output)
		o := &overloads{}
		go o.run(ctx, &log)
		for range 7 {
			o.record(overloadRefusal("p", "a"))
		}
		o.record(overloadRefusal("p", "b"))
		o.record(&gateway.RequestSummary{
			Pool:   "p",
			Result: "delivered",
			Waited: 40 * time.Millisecond,
		})
		o.record(&gateway.RequestSummary{
			Pool:   "idle",
			Result: "delivered",
		})
		time.Sleep(5*overloadInterval + time.Second)
		lines := output.lines()
		if len(lines) != 1 {
			t.Fatalf("got %d lines, want one", len(lines))
		}
		for _, want := range []string{
			`"name":"pool-overloaded"`, `"pool":"p"`, `"refused":8`, `"waited":1`, `"longest_ms":40`,
			`"workspaces":2`, `"most":"a"`, `"most_refused":7`,
		} {
			if !strings.Contains(lines[0], want) {
				t.Errorf("got %s, want %s in it", lines[0], want)
			}
		}
		if got := o.refusedTotal("p"); got != 8 {
			t.Errorf("got %d refusals in all, want 8", got)
		}
	})
}

// TestOverloadReportsAreBounded guards against memory and log lines that grow with the names of pools
// and workspaces.
func TestOverloadReportsAreBounded(t *testing.T) {
	o := &overloads{}
	for i := range 2 * maxOverloadedPools {
		o.record(overloadRefusal(fmt.Sprint("p", i), "a"))
	}
	for i := range 2 * maxOverloadedWorkspaces {
		o.record(overloadRefusal("p0", fmt.Sprint("w", i)))
	}
	if got := len(o.pools); got != maxOverloadedPools {
		t.Errorf("got %d pools, want %d at most", got, maxOverloadedPools)
	}
	reports := o.take()
	if len(reports) != maxOverloadLines || reports[0].pool != "p0" || reports[0].refused != 2*maxOverloadedWorkspaces+1 {
		t.Errorf("got %d reports, first %+v; want %d, the pool with the most refusals first",
			len(reports), reports[0], maxOverloadLines)
	}
	if got := o.take(); len(got) != 0 {
		t.Errorf("got %d reports again, want none", len(got))
	}
}

// TestSingleOverloadLinesAreFew guards against refusals that use up the budget of all other lines.
func TestSingleOverloadLinesAreFew(t *testing.T) {
	output := &safeBuffer{}
	o := newObserver(zerolog.New(output), newMetrics(), "Slipwick-Request")
	o.overloads = &overloads{}
	for range 1000 {
		o.Ended(overloadRefusal("p", "a"))
	}
	lines := output.lines()
	if len(lines) < 1 || len(lines) > 2*overloadLinesPerSecond {
		t.Errorf("got %d lines for 1000 refusals in a moment, want %d", len(lines), overloadLinesPerSecond)
	}
	if !strings.Contains(lines[0], events.RequestOverloaded.Name) || !strings.Contains(lines[0], `"retry_after_ms":350`) {
		t.Errorf("got %s, want event %s with the time told", lines[0], events.RequestOverloaded.Name)
	}
	if got := o.overloads.refusedTotal("p"); got != 1000 {
		t.Errorf("got %d refusals counted, want all", got)
	}
}
